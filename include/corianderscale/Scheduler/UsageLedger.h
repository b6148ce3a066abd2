#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Protocol/WorkerMessages.h"
#include "corianderscale/Scheduler/CivilDay.h"
#include "corianderscale/Scheduler/StoreWrite.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/**
 * Counts the use that workers report, once, into one row per civil day, worker and incarnation.
 *
 * Reports are cumulative per task. Only tasks that were opened count; a task stays open, also in the rows, until its
 * worker has released it, so that late, repeated and reordered reports count once, also under a new owner. Use between
 * two reports that lie on both sides of midnight is split in proportion to time.
 *
 * Thread safety: not thread safe.
 */
class UsageLedger
{
public:
    /** @p interval is the least time between two writes of a worker's rows that nothing waits for. */
    UsageLedger(DataCentreId dataCentre, CivilDays days, Duration interval);

    /** Days follow another time zone from now on. */
    void setDays(const CivilDays &days)
    {
        m_days = days;
    }

    /** Takes a row of an earlier owner. Rows of one worker incarnation may come in any order. */
    void restore(const UsageRecord &row, RowVersion version);

    /**
     * From now on reports of the task by this run of the worker count. @p incarnation may be empty when it is not
     * known; then the first report decides. Has no effect on a task that is open.
     */
    void open(const TaskId &task,
              const WorkerId &worker,
              const InstanceId &incarnation,
              const CallerKey &caller,
              bool guaranteed,
              WallTime now);

    /** Writes down that the task is open, so that a later owner counts a report that comes late. */
    void keep(const TaskId &task, WallTime now);

    /** Counts what a report adds. Returns false when the task is not open. */
    bool count(const WorkerId &worker, const InstanceId &incarnation, const TaskReport &report, WallTime now);

    /** The worker has released the task; later reports of it do not count. */
    void close(const TaskId &task);

    /** The worker has a new incarnation; reports of earlier ones no longer count. */
    void closeOlder(const WorkerId &worker, const InstanceId &incarnation);

    /** What was counted of an open task. */
    UsageTotals counted(const TaskId &task) const;

    /** Number of open tasks. */
    std::size_t openTasks() const
    {
        return m_tasks.size();
    }

    /** @name Writing */
    ///@{
    /** Marks all that was counted until now. */
    std::int64_t revision() const
    {
        return m_changes;
    }
    /** Whether the rows of the worker are written at least up to @p revision. */
    bool isWritten(const WorkerId &worker, std::int64_t revision) const;
    /** Something waits for the rows of the worker: they are written without delay. */
    void hurry(const WorkerId &worker);
    /** The writes that are due. */
    std::vector<StoreWrite> takeWrites(MonotonicTime now, WallTime wallNow);
    /** Takes the result of a write. Returns false for a conflict: another owner has written the row. */
    bool written(const std::string &unit, WriteOutcome outcome, RowVersion version, MonotonicTime now);
    /** When a write is next due. */
    MonotonicTime nextDue() const;
    ///@}

private:
    struct OpenTask {
        WorkerId worker;
        InstanceId incarnation;
        CallerKey caller;
        bool guaranteed = false;
        std::int64_t sequence = 0;
        UsageTotals counted;
        WallTime countedAt{};
    };

    struct DayRow {
        std::map<CallerKey, CallerUsage> usage;
        RowVersion version;
        bool dirty = false;
    };

    /** The rows of one incarnation of a worker, written together. */
    struct Unit {
        WorkerId worker;
        InstanceId incarnation;
        std::map<std::string, DayRow> days;
        std::int64_t sequence = 0;
        std::int64_t revision = 0;
        std::int64_t writtenRevision = 0;
        bool hurried = false;
        MonotonicTime nextWrite{};
        bool inFlight = false;
        std::optional<StoreWrite> pending;
        std::int64_t pendingRevision = 0;
        std::vector<std::string> pendingDays;
    };

    Unit &unitOf(const WorkerId &worker, const InstanceId &incarnation);
    void addToDays(Unit &unit, const OpenTask &task, const UsageTotals &added, WallTime from, WallTime to);
    void touch(Unit &unit, const std::string &day);
    StoreWrite makeWrite(Unit &unit, WallTime wallNow);
    UsageRecord makeRow(const Unit &unit, const std::string &day, const DayRow &row, WallTime wallNow) const;
    bool isDue(const Unit &unit, MonotonicTime now) const;

    DataCentreId m_dataCentre;
    CivilDays m_days;
    Duration m_interval;
    /** Grows with each change of any row; marks which changes a write contains. */
    std::int64_t m_changes = 0;
    std::map<TaskId, OpenTask> m_tasks;
    std::map<WorkerId, std::map<InstanceId, Unit>> m_units;
};

} // namespace coriander
