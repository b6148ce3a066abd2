#pragma once

#include "corianderscale/Protocol/WorkerMessages.h"
#include "corianderscale/Standin/TaskScript.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/** A reservation expires after this time unless its task was started; see docs/design.md, section 8. */
inline constexpr Duration ReservationTimeout = std::chrono::seconds(5);

/** Behaviour of a worker stand-in that is not part of the protocol. */
struct WorkerModelSettings {
    /** Whether every task fails as soon as it is started. */
    bool failsAllTasks = false;
    /** Interval between reports of the resource usage of running tasks. */
    Duration usageInterval = std::chrono::seconds(60);
    /** Time after which a report of ended tasks is repeated when no release orders have arrived. */
    Duration repeatInterval = std::chrono::seconds(1);
};

/** The start or end of a task, recorded for checks by tests. */
struct TaskEvent {
    bool started = false;
    TaskId task;
    JobId job;
    TaskState state = TaskState::Running;
    MonotonicTime at{};
};

/**
 * Model of a worker as described in section 8 of docs/design.md. Tasks are simulated by timers; the caller passes the
 * time to each function.
 *
 * A task runs only while its lease is valid: for the time in its start order, extended by renew orders. Precondition:
 * times never go backwards. Thread safety: not thread safe; the caller serialises access.
 */
class WorkerModel
{
public:
    WorkerModel(WorkerInfo info, WorkerModelSettings settings);

    /** Executes orders in sequence and returns the reply. */
    WorkerReport handle(const WorkerOrders &orders, MonotonicTime now, WallTime wallNow);

    /** Ends tasks that are due or whose lease has expired, and removes expired reservations. */
    void advance(MonotonicTime now);

    /** Returns the report to push to reportTo() now, if one is due. */
    std::optional<WorkerReport> takeReport(MonotonicTime now);

    /** Base address to which reports are sent; empty before the first order that names one. */
    const std::string &reportTo() const
    {
        return m_reportTo;
    }

    /** Returns the starts and ends of tasks since the last call. */
    std::vector<TaskEvent> takeLedger();

    /** Identity, state and size of the worker. */
    const WorkerInfo &info() const
    {
        return m_info;
    }

    /** Refuses all new reservations from now on. */
    void leave()
    {
        m_info.state = "leaving";
    }

    /** Tasks that run or are being stopped. */
    std::vector<TaskId> activeTasks() const;

private:
    struct Task {
        TaskReport report;
        MilliCores cores;
        MemoryMib memory;
        Accelerators accelerators;
        TaskScript script;
        MonotonicTime reservedUntil{};
        MonotonicTime leaseUntil{};
        MonotonicTime endsAt{};
        /** Time at which the checkpoint in progress is complete; NeverDue for none. */
        MonotonicTime checkpointAt = NeverDue;
        MonotonicTime stopsAt = NeverDue;
        MonotonicTime usageCountedUntil{};
        /** Whether the next report includes the running task because it has written a checkpoint. */
        bool hasUnreportedCheckpoint = false;
    };

    OrderResult executeOrder(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    OrderResult reserve(const WorkerOrder &order, MonotonicTime now);
    OrderResult start(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    OrderResult stop(const WorkerOrder &order, MonotonicTime now);
    OrderResult checkpoint(const WorkerOrder &order, MonotonicTime now);
    OrderResult throttle(const WorkerOrder &order, MonotonicTime now);
    OrderResult release(const WorkerOrder &order);
    OrderResult renew(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    WorkerReport makeReply(const WorkerOrders &orders, std::vector<OrderResult> results, MonotonicTime now);
    void updateTask(Task &task, MonotonicTime now);
    void endTask(Task &task, TaskState state, const std::string &reason, MonotonicTime at);
    void addUsage(Task &task, MonotonicTime now);
    TaskReport makeTaskReport(Task &task, MonotonicTime now);
    bool hasCapacityFor(const WorkerOrder &order) const;
    Task *findTask(const TaskId &id);

    WorkerInfo m_info;
    WorkerModelSettings m_settings;
    Epoch m_epoch;
    std::string m_reportTo;
    std::map<TaskId, Task> m_tasks;
    /** Run time of each job that its last checkpoint on this worker preserves. */
    std::map<JobId, Duration> m_checkpointedRunTime;
    std::vector<TaskEvent> m_ledger;
    std::int64_t m_sequence = 0;
    bool m_hasUnreportedChange = false;
    MonotonicTime m_nextRepeat{};
    MonotonicTime m_nextUsage{};
};

} // namespace coriander
