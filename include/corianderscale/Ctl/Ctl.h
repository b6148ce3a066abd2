#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/Http.h"

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace coriander {

/** Network, clock, environment and output streams of corianderctl. Tests replace them. */
struct CtlHooks {
    /** Sends a request to the base address of a gateway and waits for the answer, at most for the given duration. */
    std::function<std::optional<HttpResponse>(const std::string &, const HttpRequest &, Duration, TransportError &)>
        send;
    Clock clock;
    std::function<void(Duration)> sleep;
    /** Value of the environment variable CORIANDER_TOKEN; empty when it is not set. */
    std::string tokenVariable;
    std::ostream *out = nullptr;
    std::ostream *err = nullptr;
};

/**
 * Runs one command of corianderctl and returns its exit code. @p arguments does not include the program name. Thread
 * safety: one thread.
 */
int runCtl(const std::vector<std::string> &arguments, const CtlHooks &hooks);

} // namespace coriander
