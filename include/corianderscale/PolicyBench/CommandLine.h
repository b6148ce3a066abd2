#pragma once

namespace coriander::policybench {

/** The program `coriander-policy`; returns its exit code (section 5 of the design). */
int runPolicyTool(int argc, char **argv);

} // namespace coriander::policybench
