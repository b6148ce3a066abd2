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
 * Adds up the usage that workers report in one row per civil day, worker and incarnation. Each report counts exactly
 * once.
 *
 * Reports are cumulative per task, and only reports of open tasks count. A task stays open, in memory and in the rows,
 * until its worker has released it, so that late, repeated and reordered reports count once, even under a new owner.
 * Usage between a report before midnight and one after it is split between the days in proportion to time.
 *
 * Thread safety: not thread safe.
 */
class UsageLedger
{
public:
    /** @p interval is the minimum interval between two writes of a worker's rows, unless a job row depends on them. */
    UsageLedger(DataCentreId dataCentre, CivilDays days, Duration interval);

    /** Sets the time zone whose civil days usage is counted by from now on. */
    void setDays(const CivilDays &days)
    {
        m_days = days;
    }

    /** Loads a row that an earlier owner wrote. The rows of a worker incarnation may be passed in any order. */
    void restore(const UsageRecord &row, RowVersion version);

    /**
     * Opens a task: from now on reports of it by this incarnation of the worker count. If @p incarnation is empty
     * because it is not known, the first report sets it. Has no effect on a task that is already open.
     */
    void openTask(const TaskId &task,
                  const WorkerId &worker,
                  const InstanceId &incarnation,
                  const CallerKey &caller,
                  bool guaranteed,
                  WallTime now);

    /** Marks the row of an open task for writing, so that a later owner knows the task and counts its late reports. */
    void markForWrite(const TaskId &task, WallTime now);

    /** Adds the usage since the last counted report of the task. Returns false when the task is not open. */
    bool countReport(const WorkerId &worker, const InstanceId &incarnation, const TaskReport &report, WallTime now);

    /** Closes a task that its worker has released; later reports of it do not count. */
    void closeTask(const TaskId &task);

    /** Closes the tasks of all other incarnations of the worker; their reports no longer count. */
    void closeOtherIncarnations(const WorkerId &worker, const InstanceId &incarnation);

    /** Usage counted so far for an open task; zero for other tasks. */
    UsageTotals countedUsage(const TaskId &task) const;

    /** Number of open tasks. */
    std::size_t openTasks() const
    {
        return m_tasks.size();
    }

    /** @name Writing */
    ///@{
    /** Revision that contains everything counted so far; incremented with each change of any row. */
    std::int64_t revision() const
    {
        return m_revision;
    }
    /** Whether the rows of the worker are written at least up to @p revision. */
    bool isWritten(const WorkerId &worker, std::int64_t revision) const;
    /** Makes the rows of the worker due now, because a job row depends on them. */
    void requestWrite(const WorkerId &worker);
    /** Returns the writes that are due and marks them as in flight. */
    std::vector<StoreWrite> takeWrites(MonotonicTime now, WallTime wallNow);
    /** Handles the result of a write. Returns false for a conflict, which means that another owner wrote the row. */
    bool handleWriteResult(const std::string &subject, WriteOutcome outcome, RowVersion version, MonotonicTime now);
    /** When the next write is due. */
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

    /** The rows of one incarnation of a worker, which are written in one transaction. */
    struct IncarnationRows {
        WorkerId worker;
        InstanceId incarnation;
        std::map<std::string, DayRow> days;
        std::int64_t sequence = 0;
        std::int64_t revision = 0;
        std::int64_t writtenRevision = 0;
        bool writeRequested = false;
        MonotonicTime nextWrite{};
        bool inFlight = false;
        std::optional<StoreWrite> pending;
        std::int64_t pendingRevision = 0;
        std::vector<std::string> pendingDays;
    };

    IncarnationRows &rowsOf(const WorkerId &worker, const InstanceId &incarnation);
    void addToDays(IncarnationRows &rows, const OpenTask &task, const UsageTotals &added, WallTime from, WallTime to);
    void markDirty(IncarnationRows &rows, const std::string &day);
    StoreWrite makeWrite(IncarnationRows &rows, WallTime wallNow);
    UsageRecord makeRow(const IncarnationRows &rows, const std::string &day, const DayRow &row, WallTime wallNow) const;
    bool isDue(const IncarnationRows &rows, MonotonicTime now) const;

    DataCentreId m_dataCentre;
    CivilDays m_days;
    Duration m_writeInterval;
    /** Incremented with each change of any row; a write records it to tell which changes the write contains. */
    std::int64_t m_revision = 0;
    std::map<TaskId, OpenTask> m_tasks;
    std::map<WorkerId, std::map<InstanceId, IncarnationRows>> m_rows;
};

} // namespace coriander
