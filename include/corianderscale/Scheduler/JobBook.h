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

/** A job as the owner holds it. */
struct JobEntry {
    /** What the row shall say. */
    JobRecord record;
    /** What the row says, as last read or written. */
    JobRecord base;
    RowVersion version;
    /** Grows with each change of the record. */
    std::int64_t revision = 0;
    std::int64_t writtenRevision = 0;
    /** Added to the attempts of the decision library, which counts from 1 after a takeover. */
    std::int64_t attemptBase = 0;
    /** Whether the decision library knows the job. */
    bool submitted = false;
    /** Usage rows that must be written before the job's row: worker and revision of the ledger. */
    std::map<WorkerId, std::int64_t> after;

    std::optional<StoreWrite> pending;
    std::int64_t pendingRevision = 0;
    JobRecord pendingRecord;
    bool inFlight = false;
    bool needsRead = false;
    MonotonicTime nextWrite{};
};

/** What a row read back means. */
enum class RowVerdict {
    /** Nothing new, or only a request to cancel, which the entry now shows. */
    Ours,
    /** Another owner has changed the row. */
    Foreign,
};

/**
 * The jobs that have not ended, their rows' versions and the writes that are due.
 *
 * Every write is conditional on the version that the entry was read or last written at. Thread safety: not thread safe.
 */
class JobBook
{
public:
    /** Whether the usage rows of a worker are written up to a revision. */
    using UsageWritten = std::function<bool(const WorkerId &worker, std::int64_t revision)>;

    /** Adds a job as read. Precondition: it is not known. */
    JobEntry &add(const JobRecord &record, RowVersion version);

    JobEntry *find(const JobId &job);

    /** Marks the record as changed: it will be written. Returns the revision that holds the change. */
    std::int64_t change(JobEntry &entry);

    /** Takes a row that was seen in a scan or read back. Precondition: the job is known. */
    RowVerdict rowSeen(JobEntry &entry, const JobRecord &row, RowVersion version);

    /** The writes that are due. */
    std::vector<StoreWrite> takeWrites(MonotonicTime now, const UsageWritten &usageWritten);

    /** The jobs whose rows must be read back, each once. */
    std::vector<JobId> takeReads();

    /** Takes the result of a write. */
    void written(const JobId &job, WriteOutcome outcome, RowVersion version, MonotonicTime now);

    /** Forgets a job that has ended; late rows of it are ignored by wasForgotten(). */
    void forget(const JobId &job);

    /** Whether the job has ended under this owner. */
    bool wasForgotten(const JobId &job) const
    {
        return m_forgotten.contains(job);
    }

    /** Whether nothing waits to be written. */
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
    std::set<JobId> m_forgotten;
    std::vector<JobId> m_forgetOrder;
    std::set<JobId> m_reads;
    /** Jobs that have something to write. */
    std::set<JobId> m_dirty;
};

} // namespace coriander
