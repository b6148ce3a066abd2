#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Transport/Http.h"

#include <string>

namespace coriander {

/** The HTTP status that goes with an error code; the table is in docs/interfaces-callers.md. */
int statusOfCode(const std::string &code);

/** An error answer with `Retry-After` when the error says when to ask again. */
HttpResponse errorResponse(const ErrorBody &error);

/** The answer of an endpoint as the caller receives it. */
HttpResponse answerResponse(int status, std::string body, const AttemptId &attempt);

/**
 * What a caller is told of a request that has a record. @p answer is the whole answer of a finished or failed request,
 * which may be stored apart from the record.
 */
HttpResponse recordResponse(const RequestRecord &record, const std::string &answer);

/** What a caller may know of a job. */
Json jobToJson(const JobRecord &record);

} // namespace coriander
