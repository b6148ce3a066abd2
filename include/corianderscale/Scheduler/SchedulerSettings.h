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
    /** Interval between full scans of the job rows; job hints deliver new rows earlier. */
    Duration scanInterval = std::chrono::seconds(15);
    /** Interval between reads of the VM list, each followed by a look-up of its workers. */
    Duration lookupInterval = std::chrono::seconds(5);
    /** Minimum interval between two writes of a worker's usage rows, unless a job row depends on the write. */
    Duration usageInterval = std::chrono::seconds(60);
    /** Minimum interval between two snapshots. */
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
