#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Support/Error.h"
#include "corianderscale/Transport/Http.h"

#include <string>

namespace coriander {

/** @name Answers of the operators' routes. Thread safety: pure functions. */
///@{
HttpResponse operatorJson(const Json &json);
/** 400: the request itself is wrong. */
HttpResponse operatorInvalid(const std::string &reason);
/** 401. */
HttpResponse operatorUnauthenticated();
/** The answer to an error of the state: 404, 409, 422, 503, or 504 for an unknown outcome. */
HttpResponse operatorError(const StateError &error);
///@}

} // namespace coriander
