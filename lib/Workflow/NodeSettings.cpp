#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/NodeDaemon.h"

#include <cstdlib>

namespace coriander::workflow {

namespace {

constexpr std::int64_t MaximumLeaseMs = 3600000;
/** Lower limit of the longest lease; a lease must last longer than the election of a new owner. */
constexpr std::int64_t MinimumLeaseMs = 4000;

constexpr double MaximumSeconds = 3600;
constexpr double MaximumCores = 1024;
/** Enough for the listeners, the store and some callers and workers. */
constexpr std::int64_t MinimumDescriptors = 256;
constexpr std::int64_t MaximumDescriptors = 1048576;
/** An idle process needs 9 MiB; less than this leaves nothing for requests and jobs. */
constexpr std::int64_t MinimumMemoryMib = 32;
constexpr std::int64_t MaximumMemoryMib = 1048576;
/** Share of the descriptors for connections to workers and the store. */
constexpr double OutgoingShare = 0.7;

/** Reads a number above 0 and at most @p maximum, which may have a fraction; @p fallback if the key is missing. */
double readPositiveNumber(YamlMap &settings, const std::string &key, double fallback, double maximum)
{
    const std::string text = settings.text(key, "");
    if (text.empty()) {
        return fallback;
    }
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !(value > 0) || value > maximum) {
        settings.fault(key, "expected a number above 0 and at most " + std::to_string(static_cast<int>(maximum)));
        return fallback;
    }
    return value;
}

} // namespace

NodeSettings readNodeSettings(YamlMap &settings)
{
    NodeSettings result;
    result.instance = settings.requiredText("instance");
    result.dataCentre = DataCentreId(settings.requiredText("data_centre"));
    result.callerListen = settings.requiredText("caller_listen");
    result.readinessListen = settings.requiredText("readiness_listen");
    result.metricsListen = settings.text("metrics_listen", "");
    result.relayListen = settings.text("relay_listen", "");
    result.store = settings.requiredText("store");
    result.advisor = settings.text("advisor", "");
    const auto milliseconds = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    result.longestLease = std::chrono::milliseconds(
        settings.integer("longest_lease_ms", milliseconds(result.longestLease), MinimumLeaseMs, MaximumLeaseMs));
    const double keepSeconds = readPositiveNumber(settings, "state_keep_s", 120, MaximumSeconds);
    result.stateRetention = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(keepSeconds));
    const double graceSeconds = readPositiveNumber(settings, "grace_s", 6, MaximumSeconds);
    result.grace = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(graceSeconds));
    result.processorShare = readPositiveNumber(settings, "processor_share", result.processorShare, MaximumCores);
    result.descriptors = static_cast<std::size_t>(settings.integer(
        "descriptors", static_cast<std::int64_t>(result.descriptors), MinimumDescriptors, MaximumDescriptors));
    result.memoryMib = static_cast<std::size_t>(
        settings.integer("memory_mb", static_cast<std::int64_t>(result.memoryMib), MinimumMemoryMib, MaximumMemoryMib));
    result.clients = readClientLimits(settings, result.memoryMib, result.descriptors);
    const std::string level = settings.choice("log_level", "info", {"debug", "info", "warning", "error"});
    setLogLevel(level == "debug"         ? LogLevel::Debug
                    : level == "info"    ? LogLevel::Info
                    : level == "warning" ? LogLevel::Warning
                                         : LogLevel::Error);
    return result;
}

std::size_t maximumOutgoingConnections(const NodeSettings &settings)
{
    return static_cast<std::size_t>(OutgoingShare * static_cast<double>(settings.descriptors));
}

} // namespace coriander::workflow
