#include "corianderscale/Gateway/OperatorRoutes.h"

#include "corianderscale/Gateway/OperatorApi.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

namespace coriander {

namespace {

/** Operators are few; more calls than this at once are a mistake of a script. */
constexpr std::size_t WaitingCalls = 64;
constexpr Duration IdleWait = std::chrono::milliseconds(100);

/** A thread that runs calls one after the other. */
class CallLane
{
public:
    explicit CallLane(const std::string &name)
        : m_calls(WaitingCalls)
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
            respond(jsonResponse(
                503,
                encodeMessage(ErrorBody{"overloaded", Outcome::NotRun, "too many operators' calls wait here", 1000})));
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
                encodeMessage(ErrorBody{"internal", Outcome::Unknown, "the gateway failed; look at the history", 0}));
        }
    }

    BoundedRing<std::function<void()>> m_calls;
    DutyThread m_thread;
};

/** Lives as long as the server's routes. */
struct OperatorServer {
    explicit OperatorServer(OperatorHooks hooks)
        : api(std::move(hooks))
    {
    }

    OperatorApi api;
    CallLane calls{"operators"};
    /** Counting a day takes long; other calls do not wait for it. */
    CallLane counts{"operator-totals"};
};

using PlainCall = HttpResponse (OperatorApi::*)(const HttpRequest &);
using IdCall = HttpResponse (OperatorApi::*)(const HttpRequest &, const std::string &);

} // namespace

void registerOperatorRoutes(HttpServer &server, OperatorHooks hooks)
{
    const auto operators = std::make_shared<OperatorServer>(std::move(hooks));
    const auto plain = [&](const std::string &method, const std::string &path, CallLane &lane, PlainCall call) {
        server.route(method,
                     "/v1/operator/" + path,
                     [operators, &lane, call](const HttpRequest &request, const auto &, const HttpRespond &respond) {
                         // A plain pointer: the last reference must not go away on the lane's own thread.
                         lane.run([api = &operators->api, request, call] { return (api->*call)(request); }, respond);
                     });
    };
    const auto withId = [&](const std::string &method, const std::string &path, IdCall call) {
        server.route(
            method,
            "/v1/operator/" + path + "/{id}",
            [operators, call](const HttpRequest &request, const auto &captures, const HttpRespond &respond) {
                operators->calls.run(
                    [api = &operators->api, request, call, id = captures.front()] { return (api->*call)(request, id); },
                    respond);
            });
    };
    plain("POST", "check", operators->calls, &OperatorApi::check);
    plain("POST", "diff", operators->calls, &OperatorApi::diff);
    plain("POST", "apply", operators->calls, &OperatorApi::apply);
    plain("POST", "promote", operators->calls, &OperatorApi::promote);
    plain("GET", "status", operators->calls, &OperatorApi::status);
    plain("GET", "history", operators->calls, &OperatorApi::history);
    plain("GET", "document", operators->calls, &OperatorApi::document);
    plain("GET", "totals", operators->counts, &OperatorApi::totals);
    plain("GET", "jobs", operators->calls, &OperatorApi::listJobs);
    withId("GET", "jobs", &OperatorApi::getJob);
    withId("DELETE", "jobs", &OperatorApi::cancelJob);
    plain("GET", "workers", operators->calls, &OperatorApi::workers);
    plain("GET", "endpoints", operators->calls, &OperatorApi::endpoints);
    plain("GET", "guarantees", operators->calls, &OperatorApi::guarantees);
    withId("GET", "explain", &OperatorApi::explain);
    plain("GET", "timeline", operators->calls, &OperatorApi::timeline);
}

} // namespace coriander
