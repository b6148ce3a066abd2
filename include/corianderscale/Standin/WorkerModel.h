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

/** A reservation lapses after this time unless the task was started; docs/design.md, section 8. */
inline constexpr Duration ReservationTerm = std::chrono::seconds(5);

/** Behaviour of a worker stand-in that is not part of the protocol. */
struct WorkerModelSettings {
    /** Every started task fails at once. */
    bool failAll = false;
    /** How often the use of running tasks is reported. */
    Duration usageInterval = std::chrono::seconds(60);
    /** A report that was not followed by release orders is repeated after this time. */
    Duration repeatInterval = std::chrono::seconds(1);
};

/** A started or ended task, for cross-checks by tests. */
struct LedgerEntry {
    bool started = false;
    TaskId task;
    JobId job;
    TaskState state = TaskState::Running;
    MonotonicTime at{};
};

/**
 * A worker as section 8 of docs/design.md describes it, with tasks as timers. Time is passed in.
 *
 * A task runs while its own lease holds: the term of its start order, extended by renewals. Precondition: times never
 * go backwards. Thread safety: not thread safe; the owner serialises access.
 */
class WorkerModel
{
public:
    WorkerModel(WorkerInfo info, WorkerModelSettings settings);

    /** Carries out orders in sequence and returns the reply. */
    WorkerReport handle(const WorkerOrders &orders, MonotonicTime now, WallTime wallNow);

    /** Ends tasks and leases whose time has come. */
    void advance(MonotonicTime now);

    /** The report to push to reportTo() now, if any is due. */
    std::optional<WorkerReport> takeReport(MonotonicTime now);

    /** Base address that reports go to; empty before the first order that names one. */
    const std::string &reportTo() const
    {
        return m_reportTo;
    }

    /** Started and ended tasks since the last call. */
    std::vector<LedgerEntry> takeLedger();

    /** What the worker is. */
    const WorkerInfo &info() const
    {
        return m_info;
    }

    /** Takes no new tasks from now on. */
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
        /** While stopping: when a checkpoint is written; NeverDue for none. */
        MonotonicTime checkpointAt = NeverDue;
        MonotonicTime stopsAt = NeverDue;
        MonotonicTime usageSince{};
        /** Whether the next report shows the running task because it has stored a checkpoint. */
        bool announce = false;
    };

    OrderResult carryOut(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    OrderResult reserve(const WorkerOrder &order, MonotonicTime now);
    OrderResult start(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    OrderResult stop(const WorkerOrder &order, MonotonicTime now);
    OrderResult checkpoint(const WorkerOrder &order, MonotonicTime now);
    OrderResult throttle(const WorkerOrder &order, MonotonicTime now);
    OrderResult release(const WorkerOrder &order);
    OrderResult renew(const WorkerOrder &order, MonotonicTime now, WallTime wallNow);
    WorkerReport replyTo(const WorkerOrders &orders, std::vector<OrderResult> results, MonotonicTime now);
    void advanceTask(Task &task, MonotonicTime now);
    void end(Task &task, TaskState state, const std::string &reason, MonotonicTime at);
    void countUsage(Task &task, MonotonicTime now);
    TaskReport reportOf(Task &task, MonotonicTime now);
    bool fits(const WorkerOrder &order) const;
    Task *find(const TaskId &id);

    WorkerInfo m_info;
    WorkerModelSettings m_settings;
    Epoch m_epoch;
    std::string m_reportTo;
    std::map<TaskId, Task> m_tasks;
    /** Run time that checkpoints of a job on this worker have saved. */
    std::map<JobId, Duration> m_saved;
    std::vector<LedgerEntry> m_ledger;
    std::int64_t m_sequence = 0;
    bool m_changed = false;
    MonotonicTime m_nextRepeat{};
    MonotonicTime m_nextUsage{};
};

} // namespace coriander
