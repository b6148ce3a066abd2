#pragma once

#include "corianderscale/Daemon/CommonSettings.h"
#include "corianderscale/Scheduler/SchedulerTiming.h"

#include <string>

namespace coriander {

/** Settings of the scheduler daemon. */
struct SchedulerSettings {
    CommonSettings common;
    SchedulerTiming timing;
    /** Term of the ownership of the data centre. */
    Duration ownershipTerm = std::chrono::seconds(10);
    /** How often all job rows are read; hints bring new rows earlier. */
    Duration scanInterval = std::chrono::seconds(15);
    /** How often the VM list is read and workers are looked up. */
    Duration lookupInterval = std::chrono::seconds(5);
    /** Least time between two writes of a worker's usage that nothing waits for. */
    Duration usageInterval = std::chrono::seconds(60);
    /** Least time between two snapshots. */
    Duration snapshotInterval = std::chrono::seconds(5);
    /** Decision policy; see decision::makePolicy(). */
    std::string policy = "corianderscale";
};

/**
 * Reads the common keys and `lease_term_ms`, `renewal_interval_ms`, `lost_after_ms`, `ownership_term_ms`,
 * `scan_interval_ms`, `lookup_interval_ms`, `usage_interval_ms`, `snapshot_interval_ms` and `policy`.
 */
SchedulerSettings readSchedulerSettings(YamlMap &settings);

} // namespace coriander
