#pragma once

#include "corianderscale/Daemon/StatusRoutes.h"
#include "corianderscale/Gateway/GatewayCore.h"
#include "corianderscale/Gateway/GatewayLoop.h"
#include "corianderscale/Transport/HttpServer.h"

#include <prometheus/family.h>
#include <prometheus/gauge.h>

#include <map>
#include <memory>
#include <string>

namespace coriander {

/** Adds the routes for callers. Handlers run on the gateway's thread. Precondition: the server is not started. */
void addCallerRoutes(HttpServer &server, GatewayLoop &loop, GatewayCore &core);

/**
 * Exports GatewayNumbers as Prometheus gauges.
 *
 * Thread safety: update() from one thread.
 */
class GatewayMetrics
{
public:
    explicit GatewayMetrics(prometheus::Registry &registry);

    void update(const GatewayNumbers &numbers);

private:
    void set(const std::string &name, const std::string &help, double value);

    prometheus::Registry &m_registry;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace coriander
