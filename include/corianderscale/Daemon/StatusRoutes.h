#pragma once

#include "corianderscale/Transport/HttpServer.h"

#include <prometheus/registry.h>

#include <atomic>
#include <memory>

namespace coriander {

/** What every daemon tells about itself. Thread safety: any thread. */
struct DaemonStatus {
    /** Whether the daemon takes work; false before it is set up and while it drains. */
    std::atomic<bool> ready = false;
    std::shared_ptr<prometheus::Registry> metrics = std::make_shared<prometheus::Registry>();
};

/**
 * Adds `/metrics`, `/healthz` and `/readyz` to the server. Precondition: the server is not started. The status is
 * shared and lives as long as the server.
 */
void addStatusRoutes(HttpServer &server, const std::shared_ptr<DaemonStatus> &status);

} // namespace coriander
