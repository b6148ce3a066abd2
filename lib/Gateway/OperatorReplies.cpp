#include "corianderscale/Gateway/OperatorReplies.h"

namespace coriander {

namespace {

constexpr std::int64_t RetryAfterMs = 1000;

HttpResponse errorAnswer(int status, const ErrorBody &body)
{
    return jsonResponse(status, encodeMessage(body));
}

} // namespace

HttpResponse operatorJson(const Json &json)
{
    return jsonResponse(200, json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

HttpResponse operatorInvalid(const std::string &reason)
{
    return errorAnswer(400, {"invalid", Outcome::Rejected, reason, 0});
}

HttpResponse operatorUnauthenticated()
{
    HttpResponse response = errorAnswer(
        401, {"unauthenticated", Outcome::Rejected, "the bearer token of an operator of the document is required", 0});
    response.headers.emplace("WWW-Authenticate", "Bearer");
    return response;
}

HttpResponse operatorError(const StateError &error)
{
    switch (error.code) {
    case StateCode::NotFound:
        return errorAnswer(404, {"not-found", Outcome::Rejected, error.reason, 0});
    case StateCode::Conflict:
        return errorAnswer(409, {"conflict", Outcome::Rejected, error.reason, 0});
    case StateCode::Invalid:
        return errorAnswer(422, {"invalid", Outcome::Rejected, error.reason, 0});
    case StateCode::OutcomeUnknown:
        return errorAnswer(504, {"outcome-unknown", Outcome::Unknown, error.reason, RetryAfterMs});
    case StateCode::None:
    case StateCode::Unavailable:
        break;
    }
    return errorAnswer(503, {"cut-off", Outcome::NotRun, error.reason, RetryAfterMs});
}

} // namespace coriander
