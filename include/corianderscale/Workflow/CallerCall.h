#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/JobIntake.h"

#include <string>

namespace coriander::workflow {

/** A caller's call before its queue and credential are checked, so that any instance can serve it. */
struct CallerCall {
    /** HTTP method. */
    std::string method;
    std::string host;
    std::string path;
    std::string credential;
    std::string body;
    /** How long the caller waits for the answer, less the time to transfer the answer. */
    Duration timeLimit{};
};

/** An answer together with the configuration that decided it. */
struct RoutedAnswer {
    CallAnswer answer;
    ConfigurationVersion configuration;
};

} // namespace coriander::workflow
