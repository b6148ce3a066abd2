#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Scheduler/StoreWrite.h"
#include "corianderscale/Support/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/** State that the owner, the scheduler instance responsible for the data centre, keeps for one open job. */
struct JobEntry {
    /** The wanted content of the job row, including changes that are not written yet. */
    JobRecord record;
    /** The record in the job row, as last read or written. */
    JobRecord storedRecord;
    RowVersion version;
    /** Incremented with each change of the record. */
    std::int64_t revision = 0;
    std::int64_t writtenRevision = 0;
    /**
     * Added to an attempt number of the decision library, gives the attempt number in the row. The library counts from
     * 1 when a job is submitted to it, also after a takeover.
     */
    std::int64_t attemptBase = 0;
    /** Whether the decision library knows the job. */
    bool submitted = false;
    /** For each worker, the usage ledger revision up to which its usage rows must be written before the job row. */
    std::map<WorkerId, std::int64_t> usageDependencies;

    /** The last write that was made, until it is known whether it took effect. Repeated after an unknown result. */
    std::optional<StoreWrite> pending;
    /** Revision of pendingRecord. */
    std::int64_t pendingRevision = 0;
    /** The record that the pending write contains. */
    JobRecord pendingRecord;
    /** Whether the pending write was handed out and its result has not arrived. */
    bool inFlight = false;
    /** Whether the row must be read before the next write, after a conflict. */
    bool needsRead = false;
    /** No write is handed out before this time. */
    MonotonicTime nextWrite{};
};

/** Result of comparing a row that was read with the entry. */
enum class RowCheck {
    /** The row was not changed, or only by a cancel request, which the entry now contains. */
    Consistent,
    /** Another owner has changed the row. */
    ForeignChange,
};

/**
 * The jobs that have not ended, with the versions of their rows and the writes that are due.
 *
 * Every write is conditional on the version at which the row was last read or written. Thread safety: not thread safe.
 */
class OpenJobs
{
public:
    /** Whether the usage rows of a worker are written at least up to a revision. */
    using UsageWritten = std::function<bool(const WorkerId &worker, std::int64_t revision)>;

    /** Adds a job from its row. Precondition: the job was not added before. */
    JobEntry &add(const JobRecord &record, RowVersion version);

    JobEntry *find(const JobId &job);

    /** Marks the record as changed, so that it is written. Returns the revision that contains the change. */
    std::int64_t markChanged(JobEntry &entry);

    /** Compares a row from a scan or a read with the entry and updates the entry. Precondition: the job is known. */
    RowCheck reconcileRow(JobEntry &entry, const JobRecord &row, RowVersion version);

    /** Returns the writes that are due and marks them as in flight. */
    std::vector<StoreWrite> takeWrites(MonotonicTime now, const UsageWritten &usageWritten);

    /** Returns the jobs whose rows must be read after a conflict, each once. */
    std::vector<JobId> takeReads();

    /** Handles the result of a write. */
    void handleWriteResult(const JobId &job, WriteOutcome outcome, RowVersion version, MonotonicTime now);

    /** Removes a job that has ended. If an outdated read shows its row again, hasEnded() tells it from a new job. */
    void removeEnded(const JobId &job);

    /** Whether the job has ended under this owner. */
    bool hasEnded(const JobId &job) const
    {
        return m_endedJobs.contains(job);
    }

    /** Whether all changes are written. */
    bool isClean() const
    {
        return m_dirty.empty();
    }

    const std::map<JobId, JobEntry> &entries() const
    {
        return m_entries;
    }
    std::map<JobId, JobEntry> &entries()
    {
        return m_entries;
    }

private:
    static void makeWrite(JobEntry &entry);

    std::map<JobId, JobEntry> m_entries;
    std::set<JobId> m_endedJobs;
    /** The jobs of m_endedJobs, oldest first. */
    std::vector<JobId> m_endedOrder;
    std::set<JobId> m_jobsToRead;
    /** Jobs that have something to write. */
    std::set<JobId> m_dirty;
};

} // namespace coriander
