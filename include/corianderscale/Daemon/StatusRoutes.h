#pragma once

#include "corianderscale/Transport/HttpServer.h"

#include <prometheus/registry.h>

#include <atomic>
#include <memory>

namespace coriander {

/** Readiness and metrics of a daemon. Thread safety: any thread. */
struct DaemonStatus {
    /** Whether the daemon accepts work; false while it starts and while it drains. */
    std::atomic<bool> ready = false;
    std::shared_ptr<prometheus::Registry> metrics = std::make_shared<prometheus::Registry>();
};

/**
 * Adds the routes `/metrics`, `/healthz` and `/readyz` to the server, which shares ownership of @p status.
 * Precondition: the server has not been started.
 */
void addStatusRoutes(HttpServer &server, const std::shared_ptr<DaemonStatus> &status);

} // namespace coriander
