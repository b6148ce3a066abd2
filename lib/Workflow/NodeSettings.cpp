#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/NodeDaemon.h"

#include <cstdlib>

namespace coriander::workflow {

namespace {

constexpr std::int64_t MaximumMs = 3600000;
/** A lease has to outlive the election of a new owner. */
constexpr std::int64_t LeastLeaseMs = 4000;

/** Seconds, also fractions of them. */
Duration readSeconds(YamlMap &settings, const std::string &key, Duration fallback)
{
    const std::string text = settings.text(key, "");
    if (text.empty()) {
        return fallback;
    }
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !(seconds > 0) || seconds * 1000 > MaximumMs) {
        settings.fault(key, "expected seconds above 0 and at most 3600");
        return fallback;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
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
    result.store = settings.requiredText("store");
    const auto milliseconds = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    result.longestLease = std::chrono::milliseconds(
        settings.integer("longest_lease_ms", milliseconds(result.longestLease), LeastLeaseMs, MaximumMs));
    result.grace = readSeconds(settings, "grace_s", result.grace);
    const std::string level = settings.choice("log_level", "info", {"debug", "info", "warning", "error"});
    setLogLevel(level == "debug"         ? LogLevel::Debug
                    : level == "info"    ? LogLevel::Info
                    : level == "warning" ? LogLevel::Warning
                                         : LogLevel::Error);
    return result;
}

} // namespace coriander::workflow
