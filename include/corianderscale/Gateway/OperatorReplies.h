#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Support/Error.h"
#include "corianderscale/Transport/Http.h"

#include <string>

namespace coriander {

/** @name Responses of the operators' routes. Thread safety: pure functions. */
///@{
HttpResponse operatorJson(const Json &json);
/** Status 400: the request is malformed. */
HttpResponse operatorInvalid(const std::string &reason);
/** Status 401: the token of an operator is missing or wrong. */
HttpResponse operatorUnauthenticated();
/** The response to a StateError: status 404, 409, 422 or 503, or 504 for an unknown outcome. */
HttpResponse operatorError(const StateError &error);
///@}

} // namespace coriander
