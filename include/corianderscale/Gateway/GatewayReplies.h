#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Transport/Http.h"

#include <string>

namespace coriander {

/** The HTTP status of an error code; the table is in docs/interfaces-callers.md. */
int statusOfCode(const std::string &code);

/** An error answer; it has a `Retry-After` header when the error has a retry delay. */
HttpResponse errorResponse(const ErrorBody &error);

/** The response to a caller that passes on the answer of an endpoint. */
HttpResponse answerResponse(int status, std::string body, const AttemptId &attempt);

/**
 * The response to a caller for a request that has a record. @p answer is the complete answer of a finished or failed
 * request, which may be stored outside the record.
 */
HttpResponse recordResponse(const RequestRecord &record, const std::string &answer);

/** The job fields that its caller may see. */
Json jobToJson(const JobRecord &record);

} // namespace coriander
