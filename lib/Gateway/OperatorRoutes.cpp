#include "corianderscale/Gateway/OperatorRoutes.h"

#include "corianderscale/Gateway/OperatorApi.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

namespace coriander {

namespace {

/** Maximum number of queued calls per thread. There are few operators; more calls indicate a faulty script. */
constexpr std::size_t MaximumQueuedCalls = 64;
constexpr Duration IdleWait = std::chrono::milliseconds(100);

/** A thread that runs calls sequentially. */
class CallThread
{
public:
    explicit CallThread(const std::string &name)
        : m_calls(MaximumQueuedCalls)
        , m_thread(name, [this] {
            if (const auto call = m_calls.pop(IdleWait)) {
                (*call)();
            }
        })
    {
    }

    void run(std::function<HttpResponse()> call, const HttpRespond &respond)
    {
        const bool taken = m_calls.push([call = std::move(call), respond] { respond(answer(call)); });
        if (!taken) {
            respond(
                jsonResponse(503,
                             encodeMessage(ErrorBody{"overloaded",
                                                     Outcome::NotRun,
                                                     "too many operator calls are queued at this gateway; retry later",
                                                     1000})));
        }
    }

private:
    static HttpResponse answer(const std::function<HttpResponse()> &call)
    {
        try {
            return call();
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Error, "operator-call-failed", {{"reason", exception.what()}});
            return jsonResponse(
                500,
                encodeMessage(ErrorBody{"internal",
                                        Outcome::Unknown,
                                        "internal error of the gateway; check the history before a retry",
                                        0}));
        }
    }

    BoundedRing<std::function<void()>> m_calls;
    DutyThread m_thread;
};

/** State of the operators' routes; owned by the route handlers of the server. */
struct OperatorRouteState {
    explicit OperatorRouteState(OperatorHooks hooks)
        : api(std::move(hooks))
    {
    }

    OperatorApi api;
    CallThread generalCalls{"operators"};
    /** Separate thread, because computing the totals of a day takes long and must not delay other calls. */
    CallThread totalsCalls{"operator-totals"};
};

using PlainCall = HttpResponse (OperatorApi::*)(const HttpRequest &);
using IdCall = HttpResponse (OperatorApi::*)(const HttpRequest &, const std::string &);

} // namespace

void registerOperatorRoutes(HttpServer &server, OperatorHooks hooks)
{
    const auto operators = std::make_shared<OperatorRouteState>(std::move(hooks));
    const auto plain = [&](const std::string &method, const std::string &path, CallThread &callThread, PlainCall call) {
        server.route(
            method,
            "/v1/operator/" + path,
            [operators, &callThread, call](const HttpRequest &request, const auto &, const HttpRespond &respond) {
                // Captures a plain pointer: the thread that runs the call must not release the last reference and
                // destroy itself.
                callThread.run([api = &operators->api, request, call] { return (api->*call)(request); }, respond);
            });
    };
    const auto withId = [&](const std::string &method, const std::string &path, IdCall call) {
        server.route(
            method,
            "/v1/operator/" + path + "/{id}",
            [operators, call](const HttpRequest &request, const auto &captures, const HttpRespond &respond) {
                operators->generalCalls.run(
                    [api = &operators->api, request, call, id = captures.front()] { return (api->*call)(request, id); },
                    respond);
            });
    };
    plain("POST", "check", operators->generalCalls, &OperatorApi::check);
    plain("POST", "diff", operators->generalCalls, &OperatorApi::diff);
    plain("POST", "apply", operators->generalCalls, &OperatorApi::apply);
    plain("POST", "promote", operators->generalCalls, &OperatorApi::promote);
    plain("GET", "status", operators->generalCalls, &OperatorApi::status);
    plain("GET", "history", operators->generalCalls, &OperatorApi::history);
    plain("GET", "document", operators->generalCalls, &OperatorApi::document);
    plain("GET", "totals", operators->totalsCalls, &OperatorApi::totals);
    plain("GET", "jobs", operators->generalCalls, &OperatorApi::listJobs);
    withId("GET", "jobs", &OperatorApi::getJob);
    withId("DELETE", "jobs", &OperatorApi::cancelJob);
    plain("GET", "workers", operators->generalCalls, &OperatorApi::workers);
    plain("GET", "endpoints", operators->generalCalls, &OperatorApi::endpoints);
    plain("GET", "guarantees", operators->generalCalls, &OperatorApi::guarantees);
    withId("GET", "explain", &OperatorApi::explain);
    plain("GET", "timeline", operators->generalCalls, &OperatorApi::timeline);
}

} // namespace coriander
