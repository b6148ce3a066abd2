#include "corianderscale/Scheduler/SchedulerSettings.h"

#include <algorithm>

namespace coriander {

namespace {

/** Upper limit of each duration in the settings: one hour. */
constexpr std::int64_t MaximumDurationMs = 3600000;

Duration readMs(YamlMap &settings, const std::string &key, Duration defaultValue, std::int64_t minimumMs)
{
    const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(defaultValue).count();
    return std::chrono::milliseconds(settings.integer(key, ms, minimumMs, MaximumDurationMs));
}

} // namespace

SchedulerSettings readSchedulerSettings(YamlMap &settings)
{
    SchedulerSettings result;
    result.common = readCommonSettings(settings, "scheduler");
    SchedulerTiming &timing = result.timing;
    timing.leaseTerm = readMs(settings, "lease_term_ms", timing.leaseTerm, 1000);
    timing.renewalInterval = readMs(settings, "renewal_interval_ms", timing.leaseTerm / 3, 100);
    timing.workerLostTimeout = readMs(settings, "lost_after_ms", timing.renewalInterval * 2, 100);
    if (timing.renewalInterval * 2 > timing.leaseTerm) {
        settings.fault("renewal_interval_ms", "expected at most half of lease_term_ms");
    }
    if (timing.workerLostTimeout >= timing.leaseTerm) {
        settings.fault("lost_after_ms", "expected less than lease_term_ms");
    }
    timing.requestTimeout = std::min(timing.requestTimeout, timing.renewalInterval);
    timing.takeoverQueryTimeout = std::min(timing.takeoverQueryTimeout, timing.leaseTerm / 3);
    result.ownershipTerm = readMs(settings, "ownership_term_ms", result.ownershipTerm, 500);
    if (result.ownershipTerm >= timing.leaseTerm) {
        settings.fault("ownership_term_ms",
                       "expected less than lease_term_ms, so that leases do not expire during a change of owner");
    }
    result.scanInterval = readMs(settings, "scan_interval_ms", result.scanInterval, 100);
    result.lookupInterval = readMs(settings, "lookup_interval_ms", result.lookupInterval, 100);
    result.usageInterval = readMs(settings, "usage_interval_ms", result.usageInterval, 100);
    result.snapshotInterval = readMs(settings, "snapshot_interval_ms", result.snapshotInterval, 100);
    result.policy = settings.choice("policy", result.policy, {"corianderscale", "fifo-first-fit", "quota-best-fit"});
    return result;
}

} // namespace coriander
