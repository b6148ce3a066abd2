#include "corianderscale/Gateway/GatewayReplies.h"

#include "corianderscale/Protocol/EndpointMessages.h"

#include <array>
#include <utility>

namespace coriander {

namespace {

constexpr std::array StatusOfCode = {
    std::pair{"invalid", 400},
    std::pair{"unauthenticated", 401},
    std::pair{"not-found", 404},
    std::pair{"can-never-run", 422},
    std::pair{"over-quota", 429},
    std::pair{"overloaded", 503},
    std::pair{"cut-off", 503},
    std::pair{"too-late", 504},
    std::pair{"outcome-unknown", 504},
};

constexpr int DefaultStatus = 500;
constexpr std::int64_t MsPerSecond = 1000;

} // namespace

int statusOfCode(const std::string &code)
{
    for (const auto &[name, status] : StatusOfCode) {
        if (code == name) {
            return status;
        }
    }
    return DefaultStatus;
}

HttpResponse errorResponse(const ErrorBody &error)
{
    HttpResponse response = jsonResponse(statusOfCode(error.code), encodeMessage(error));
    if (error.retryAfterMs > 0) {
        response.headers["Retry-After"] = std::to_string((error.retryAfterMs + MsPerSecond - 1) / MsPerSecond);
    }
    return response;
}

HttpResponse answerResponse(int status, std::string body, const AttemptId &attempt)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/octet-stream";
    response.headers[AttemptIdHeader] = attempt.value();
    response.headers[ContentDigestHeader] = contentDigest(body);
    response.body = std::move(body);
    return response;
}

HttpResponse recordResponse(const RequestRecord &record, const std::string &answer)
{
    switch (record.state) {
    case RequestState::Finished:
    case RequestState::Failed:
        return answerResponse(static_cast<int>(record.answerStatus), answer, record.attempt);
    case RequestState::NotRun:
        return errorResponse({record.code.empty() ? "overloaded" : record.code, Outcome::NotRun, record.reason, 0});
    case RequestState::Unknown:
        return errorResponse({"outcome-unknown", Outcome::Unknown, record.reason, 0});
    case RequestState::Claimed:
        break;
    }
    return errorResponse(
        {"outcome-unknown", Outcome::Unknown, "the request is in progress; retry with the same key", MsPerSecond});
}

Json jobToJson(const JobRecord &record)
{
    return {{"id", record.id.value()},
            {"dataCentre", record.dataCentre.value()},
            {"spec", record.spec.toJson()},
            {"state", toText(record.state)},
            {"cancelRequested", record.cancelRequested},
            {"code", record.code},
            {"reason", record.reason},
            {"attempt", record.attempt},
            {"submittedUnixMs", record.submittedUnixMs},
            {"startedUnixMs", record.startedUnixMs},
            {"endedUnixMs", record.endedUnixMs},
            {"guaranteedUsage", record.guaranteedUsage.toJson()},
            {"borrowedUsage", record.borrowedUsage.toJson()}};
}

} // namespace coriander
