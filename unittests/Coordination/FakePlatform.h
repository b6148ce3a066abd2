#pragma once

#include "corianderscale/Coordination/StoreEngine.h"
#include "corianderscale/Standin/TableModel.h"

#include <deque>
#include <string>
#include <utility>

namespace coriander {

/** Fault that the fake platform applies to one request. */
enum class PlatformFault {
    None,
    Unreachable,
    /** The request is lost and has no effect; the client sees a timeout. */
    RequestLost,
    /** The request takes effect; the client sees a broken connection. */
    AnswerLost,
    /** The request has no effect; the answer has status 503 and a Retry-After header of 0.05 s. */
    Refused,
};

/** Answers table requests at once from memory, and applies scripted faults to the next requests. */
class FakePlatform
{
public:
    explicit FakePlatform(Clock clock)
        : m_clock(std::move(clock))
    {
    }

    /** The StoreSender of the engine under test. */
    void send(const HttpRequest &request, MonotonicTime, const HttpCompletion &done)
    {
        const PlatformFault fault = takeFault();
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
            const HttpResponse response = handle(request);
            if (fault == PlatformFault::AnswerLost) {
                done(std::nullopt, {TransportCode::Broken, "reset"});
            } else {
                done(response, {});
            }
        }
    }

    std::deque<PlatformFault> scriptedFaults;
    /** The fault that is applied when the script is empty. */
    PlatformFault defaultFault = PlatformFault::None;
    std::vector<HttpRequest> requests;
    TableModel table;

private:
    PlatformFault takeFault()
    {
        if (scriptedFaults.empty()) {
            return defaultFault;
        }
        const PlatformFault fault = scriptedFaults.front();
        scriptedFaults.pop_front();
        return fault;
    }

    HttpResponse handle(const HttpRequest &request)
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
