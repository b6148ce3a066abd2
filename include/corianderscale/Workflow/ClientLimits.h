#pragma once

#include "corianderscale/Decision/ConnectionAdmission.h"
#include "corianderscale/Support/YamlReader.h"
#include "corianderscale/Transport/AsyncHttpServer.h"

#include <cstddef>

namespace coriander::workflow {

/** A valid submission has at most about 5,100 values: 64 steps with 15 fields and up to 63 steps that come before. */
inline constexpr std::size_t DefaultSubmissionValues = 20000;

/** Bounds of what clients can make the process hold. Without values there are none, except for submissions. */
struct ClientLimits {
    decision::ConnectionLimits callers;
    decision::ConnectionLimits readiness;
    decision::ConnectionLimits metrics;
    /** Only the bytes are bounded; a neighbour opens a fixed number of connections. */
    decision::ConnectionLimits relay;
    /** Number of JSON values in a submission. */
    std::size_t submissionValues = DefaultSubmissionValues;
};

/**
 * Reads `request_bytes`, `connections`, `new_connections`, `incomplete_requests`, `connections_per_address` and
 * `submission_values`. The defaults follow from the memory and the descriptors of the process. Thread safety: pure.
 */
ClientLimits readClientLimits(YamlMap &settings, std::size_t memoryMib, std::size_t descriptors);

/** Limits of a request to the readiness and the metrics listener, which need no body. Thread safety: pure. */
AsyncHttpLimits smallRequestLimits();

} // namespace coriander::workflow
