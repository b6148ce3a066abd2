#include "corianderscale/Gateway/GatewayRoutes.h"

#include "corianderscale/Gateway/GatewayReplies.h"

#include <prometheus/gauge.h>

namespace coriander {

namespace {

using Captures = std::vector<std::string>;
using CoreHandler = std::function<void(const HttpRequest &, const Captures &, const HttpRespond &)>;

HttpHandler onLoop(GatewayLoop &loop, CoreHandler handler)
{
    return [&loop, handler = std::move(handler)](
               const HttpRequest &request, const Captures &captures, const HttpRespond &respond) {
        if (!loop.acceptsWork()) {
            respond(errorResponse({"overloaded", Outcome::Rejected, "the gateway is overloaded; retry later", 1000}));
            return;
        }
        loop.post([handler, request, captures, respond] { handler(request, captures, respond); });
    };
}

} // namespace

void addCallerRoutes(HttpServer &server, GatewayLoop &loop, GatewayCore &core)
{
    CallerApi &api = core.api();
    const auto add = [&server, &loop](const char *method, const char *pattern, CoreHandler handler) {
        server.route(method, pattern, onLoop(loop, std::move(handler)));
    };
    add("POST", "/v1/requests/{service}", [&api](const auto &request, const Captures &captures, const auto &respond) {
        api.postRequest(request, captures.front(), respond);
    });
    add("GET", "/v1/requests/{key}", [&api](const auto &request, const Captures &captures, const auto &respond) {
        api.getRequest(request, captures.front(), respond);
    });
    add("POST", "/v1/jobs", [&api](const auto &request, const Captures &, const auto &respond) {
        api.postJob(request, respond);
    });
    add("GET", "/v1/jobs", [&api](const auto &request, const Captures &, const auto &respond) {
        api.listJobs(request, respond);
    });
    add("GET", "/v1/jobs/{id}", [&api](const auto &request, const Captures &captures, const auto &respond) {
        api.getJob(request, captures.front(), respond);
    });
    add("DELETE", "/v1/jobs/{id}", [&api](const auto &request, const Captures &captures, const auto &respond) {
        api.deleteJob(request, captures.front(), respond);
    });
}

GatewayMetrics::GatewayMetrics(prometheus::Registry &registry)
    : m_registry(registry)
{
}

void GatewayMetrics::set(const std::string &name, const std::string &help, double value)
{
    prometheus::Gauge *&gauge = m_gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({});
    }
    gauge->Set(value);
}

void GatewayMetrics::update(const GatewayNumbers &numbers)
{
    const auto number = [](auto value) {
        return static_cast<double>(value);
    };
    set("coriander_gateway_queued_urgent_requests", "Urgent requests in the queue", number(numbers.queuedUrgent));
    set("coriander_gateway_queued_normal_requests", "Normal requests in the queue", number(numbers.queuedNormal));
    set("coriander_gateway_queued_background_requests",
        "Background requests in the queue",
        number(numbers.queuedBackground));
    set("coriander_gateway_in_progress_requests",
        "Requests and job calls that have not been answered yet",
        number(numbers.inProgress));
    set("coriander_gateway_active_claims", "Claims that this gateway works on", number(numbers.activeClaims));
    set("coriander_gateway_uncommitted_counts",
        "Counts that are not in the table yet",
        number(numbers.uncommittedCounts));
    set("coriander_gateway_unprotected_releases",
        "Releases of counts without a copy at any peer, since the start",
        number(numbers.unprotectedReleases));
    set("coriander_gateway_counter_copies", "Counter rows held for other gateways", number(numbers.counterCopies));
    set("coriander_gateway_sent_attempts", "Attempts sent since the start", number(numbers.sends));
    set("coriander_gateway_slot_full_attempts",
        "Attempts refused with slot-full, since the start",
        number(numbers.slotFullSends));
    set("coriander_gateway_usable_endpoints", "Endpoints that may get new work", number(numbers.usableEndpoints));
    set("coriander_gateway_ejected_endpoints",
        "Endpoints ejected because of failed sends",
        number(numbers.ejectedEndpoints));
}

} // namespace coriander
