#pragma once

#include "corianderscale/Protocol/WorkerMessages.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/** Names one attempt of a gang. */
using GangKey = std::pair<JobId, std::int64_t>;

/** One order of a request that awaits its answer. */
struct OrderReference {
    OrderKind kind = OrderKind::Renew;
    TaskId task;
    /** The gang of the task; empty job for orders that concern no gang. */
    GangKey gang;
    std::size_t member = 0;
};

/** A request to a worker that awaits its answer. */
struct PendingRequest {
    std::int64_t id = 0;
    std::vector<OrderReference> orders;
};

/** What the owner knows of one worker. */
struct WorkerEntry {
    WorkerInfo info;
    std::string address;
    /** Whether the decision library counts it. */
    bool joined = false;
    bool lost = false;
    /** Whether the last request got no answer. Gangs with a task here are not renewed meanwhile. */
    bool silent = false;
    /** Whether the platform's list no longer has it. */
    bool unlisted = false;
    MonotonicTime lastAnswer{};
    /** When it is next asked or renewed. */
    MonotonicTime nextContact{};
    /** Whether gangs may have orders for it. */
    bool attention = false;
    std::optional<PendingRequest> pending;
    /** What it said when a new owner asked. */
    std::optional<WorkerReport> answer;
    std::set<GangKey> gangs;
    /** Recorded tasks, and reservations nobody wants, that it may forget. */
    std::set<TaskId> releases;
    std::map<TaskId, MilliCores> throttles;
    /** Tasks that are to store a checkpoint and run on. */
    std::set<TaskId> checkpoints;
    /** Tasks of unknown or ended jobs, with when the stop is sent next. */
    std::map<TaskId, MonotonicTime> strays;
};

} // namespace coriander
