#include "corianderscale/Workflow/ClientLimits.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

constexpr std::size_t BytesPerMib = 1024 * 1024;
/** Part of the memory for clients' requests; the rest is for the process itself, its jobs and its workers. */
constexpr std::size_t MemoryParts = 4;
/** Shares of the request memory. Readiness checks and metrics are small requests of few clients, and neighbours send
 * calls only while they lack the store or the configuration. Each has its own share, so that callers cannot use it up.
 */
constexpr std::size_t ReadinessMemoryPercent = 5;
constexpr std::size_t MetricsMemoryPercent = 5;
constexpr std::size_t RelayMemoryPercent = 20;
/** Shares of the descriptors. 70% are for connections to workers and the store; the 4% that remain besides these are
 * for neighbours, files and the listeners themselves. */
constexpr std::size_t CallerDescriptorPercent = 18;
constexpr std::size_t ReadinessDescriptorPercent = 5;
constexpr std::size_t MetricsDescriptorPercent = 3;

/** Clients of the readiness and metrics listeners send GET requests; some add a short body. */
constexpr std::size_t SmallBodyBytes = 4 * 1024;

/** The share for relayed calls holds one request of the largest size, as counted by completeRequestBytes(). */
constexpr std::int64_t MinimumRequestBytes = 6 * BytesPerMib;
constexpr std::int64_t MaximumRequestBytes = std::int64_t(1) << 40;
constexpr std::int64_t MinimumConnections = 8;
constexpr std::int64_t MaximumConnections = 1048576;
/** A valid submission must be accepted. */
constexpr std::int64_t MinimumSubmissionValues = 6000;
constexpr std::int64_t MaximumSubmissionValues = 10000000;

std::size_t readCount(
    YamlMap &settings, const std::string &key, std::size_t fallback, std::int64_t least, std::int64_t most)
{
    return static_cast<std::size_t>(settings.integer(key, static_cast<std::int64_t>(fallback), least, most));
}

decision::ConnectionLimits limitsFor(std::size_t bytes, std::size_t connections)
{
    decision::ConnectionLimits limits;
    limits.bytes = bytes;
    limits.connections = connections;
    // Half of the connections stay for clients that have sent a request, and a quarter for complete requests.
    limits.newConnections = connections / 2;
    limits.incompleteRequests = connections - connections / 4;
    return limits;
}

} // namespace

ClientLimits readClientLimits(YamlMap &settings, std::size_t memoryMib, std::size_t descriptors)
{
    const std::size_t bytes = readCount(
        settings, "request_bytes", memoryMib * BytesPerMib / MemoryParts, MinimumRequestBytes, MaximumRequestBytes);
    const std::size_t connections = readCount(
        settings, "connections", descriptors * CallerDescriptorPercent / 100, MinimumConnections, MaximumConnections);
    ClientLimits limits;
    limits.callers = limitsFor(bytes * (100 - ReadinessMemoryPercent - MetricsMemoryPercent - RelayMemoryPercent) / 100,
                               connections);
    limits.callers.newConnections
        = readCount(settings, "new_connections", limits.callers.newConnections, 1, MaximumConnections);
    limits.callers.incompleteRequests
        = readCount(settings, "incomplete_requests", limits.callers.incompleteRequests, 1, MaximumConnections);
    limits.callers.connectionsPerAddress = readCount(settings, "connections_per_address", 0, 0, MaximumConnections);
    limits.readiness = limitsFor(bytes * ReadinessMemoryPercent / 100, descriptors * ReadinessDescriptorPercent / 100);
    limits.metrics = limitsFor(bytes * MetricsMemoryPercent / 100, descriptors * MetricsDescriptorPercent / 100);
    limits.relay.bytes = bytes * RelayMemoryPercent / 100;
    limits.submissionValues = readCount(
        settings, "submission_values", limits.submissionValues, MinimumSubmissionValues, MaximumSubmissionValues);
    return limits;
}

AsyncHttpLimits smallRequestLimits()
{
    AsyncHttpLimits limits;
    limits.bodyBytes = SmallBodyBytes;
    return limits;
}

} // namespace coriander::workflow
