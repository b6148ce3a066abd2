#pragma once

#include "corianderscale/Coordination/StoreEngine.h"
#include "corianderscale/Standin/TableModel.h"

#include <deque>
#include <string>
#include <utility>

namespace coriander {

/** What the fake platform does with one request. */
enum class PlatformFault {
    None,
    Unreachable,
    /** Lost before it took effect; the client sees a timeout. */
    RequestLost,
    /** Takes effect; the client sees a broken connection. */
    AnswerLost,
    /** 503 without effect. */
    Refused,
};

/** Answers table requests at once from memory, with a script of faults for the next requests. */
class FakePlatform
{
public:
    explicit FakePlatform(Clock clock)
        : m_clock(std::move(clock))
    {
    }

    /** Bound to an engine as its sender. */
    void send(const HttpRequest &request, MonotonicTime, const HttpCompletion &done)
    {
        const PlatformFault fault = next();
        requests.push_back(request);
        if (fault == PlatformFault::Unreachable) {
            done(std::nullopt, {TransportCode::Unreachable, "refused"});
        } else if (fault == PlatformFault::RequestLost) {
            done(std::nullopt, {TransportCode::Timeout, "no answer"});
        } else if (fault == PlatformFault::Refused) {
            HttpResponse response = jsonResponse(503, "{}");
            response.headers["Retry-After"] = "0.05";
            done(response, {});
        } else {
            const HttpResponse response = answer(request);
            if (fault == PlatformFault::AnswerLost) {
                done(std::nullopt, {TransportCode::Broken, "reset"});
            } else {
                done(response, {});
            }
        }
    }

    std::deque<PlatformFault> script;
    /** The fault when the script is empty. */
    PlatformFault otherwise = PlatformFault::None;
    std::vector<HttpRequest> requests;
    TableModel table;

private:
    PlatformFault next()
    {
        if (script.empty()) {
            return otherwise;
        }
        const PlatformFault fault = script.front();
        script.pop_front();
        return fault;
    }

    HttpResponse answer(const HttpRequest &request)
    {
        ProtocolError error;
        if (request.path == "/table/txn") {
            const auto result = table.commit(*decodeMessage<TableTransaction>(request.body, error), m_clock.now());
            return jsonResponse(result.committed ? 200 : 409, encodeMessage(result));
        }
        return jsonResponse(200, encodeMessage(table.read(*decodeMessage<TableRead>(request.body, error))));
    }

    Clock m_clock;
};

} // namespace coriander
