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

/** How corianderctl reaches the world; tests replace the hooks. */
struct CtlHooks {
    /** Sends a request to the base address of a gateway and waits for the answer. */
    std::function<std::optional<HttpResponse>(const std::string &, const HttpRequest &, Duration, TransportError &)>
        send;
    Clock clock;
    std::function<void(Duration)> sleep;
    /** The environment variable CORIANDER_TOKEN, or empty text. */
    std::string tokenVariable;
    std::ostream *out = nullptr;
    std::ostream *err = nullptr;
};

/**
 * Runs one command of corianderctl; returns its exit code. @p arguments are those after the program's name. Thread
 * safety: one thread.
 */
int runCtl(const std::vector<std::string> &arguments, const CtlHooks &hooks);

} // namespace coriander
