#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <string>

namespace coriander {

/** Returns a hook that writes a log line for each report; @p listener names the server in it. Thread safety: any
 * thread. */
HttpRefusalHook logRefusals(std::string listener);

} // namespace coriander
