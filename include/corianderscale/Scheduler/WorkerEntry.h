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

/** Identifies one attempt of a gang: job and attempt number. */
using GangKey = std::pair<JobId, std::int64_t>;

/** One order of a request whose answer is outstanding. */
struct OrderReference {
    OrderKind kind = OrderKind::Renew;
    TaskId task;
    /** The gang of the task; the job is empty for orders that concern no gang. */
    GangKey gang;
    std::size_t member = 0;
};

/** A request to a worker whose answer is outstanding. */
struct PendingRequest {
    std::int64_t id = 0;
    std::vector<OrderReference> orders;
};

/** State that the owner keeps for one worker. */
struct WorkerEntry {
    WorkerInfo info;
    std::string address;
    /** Whether the worker is part of the decision library's fleet. */
    bool joined = false;
    /** Whether the worker did not answer for SchedulerTiming::workerLostTimeout. */
    bool lost = false;
    /** Whether the last request got no answer. Until the next answer, gangs with a task here are not renewed. */
    bool lastRequestUnanswered = false;
    /** Whether the worker is missing from the platform's VM list. */
    bool unlisted = false;
    MonotonicTime lastAnswer{};
    /** When the next query or renewal is due. */
    MonotonicTime nextContact{};
    /** Whether orders other than renewals may be due for the worker. */
    bool mayHaveOrders = false;
    std::optional<PendingRequest> pending;
    /** Answer to the query of a new owner. */
    std::optional<WorkerReport> takeoverReport;
    std::set<GangKey> gangs;
    /** Tasks whose end is recorded and unused reservations, which the worker may drop. */
    std::set<TaskId> tasksToRelease;
    std::map<TaskId, MilliCores> throttles;
    /** Tasks that must store a checkpoint and continue to run. */
    std::set<TaskId> tasksToCheckpoint;
    /** Tasks of unknown or ended jobs, each with the time when its stop order is sent next. */
    std::map<TaskId, MonotonicTime> unknownTasks;
};

} // namespace coriander
