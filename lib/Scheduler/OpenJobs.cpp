#include "corianderscale/Scheduler/OpenJobs.h"

#include <algorithm>
#include <cassert>

namespace coriander {

namespace {

constexpr std::size_t OperationIdBytes = 16;
/** Delay before a write with an unknown outcome is retried. */
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
/**
 * Ended jobs that are remembered, so that a scan that began before a job ended does not add the job again. A scan takes
 * far less time than it takes to end this many jobs.
 */
constexpr std::size_t MaximumEndedJobs = 20000;

bool sameAttemptAndState(const JobRecord &left, const JobRecord &right)
{
    return left.attempt == right.attempt && left.state == right.state;
}

} // namespace

JobEntry &OpenJobs::add(const JobRecord &record, RowVersion version)
{
    assert(!m_entries.contains(record.id) && "a job is added once");
    JobEntry &entry = m_entries[record.id];
    entry.record = record;
    entry.storedRecord = record;
    entry.version = version;
    return entry;
}

JobEntry *OpenJobs::find(const JobId &job)
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::int64_t OpenJobs::markChanged(JobEntry &entry)
{
    m_dirty.insert(entry.record.id);
    return ++entry.revision;
}

RowCheck OpenJobs::reconcileRow(JobEntry &entry, const JobRecord &row, RowVersion version)
{
    if (row.cancelRequested) {
        entry.record.cancelRequested = true;
    }
    if (entry.pending && !entry.needsRead) {
        return RowCheck::Consistent;
    }
    if (version <= entry.version) {
        entry.needsRead = false;
        entry.pending.reset();
        return RowCheck::Consistent;
    }
    entry.needsRead = false;
    const bool pendingCommitted = entry.pending && sameAttemptAndState(row, entry.pendingRecord);
    if (!pendingCommitted && !sameAttemptAndState(row, entry.storedRecord)) {
        return RowCheck::ForeignChange;
    }
    if (pendingCommitted) {
        entry.writtenRevision = std::max(entry.writtenRevision, entry.pendingRevision);
    }
    entry.pending.reset();
    entry.storedRecord = row;
    entry.version = version;
    return RowCheck::Consistent;
}

std::vector<StoreWrite> OpenJobs::takeWrites(MonotonicTime now, const UsageWritten &usageWritten)
{
    std::vector<StoreWrite> writes;
    for (auto dirty = m_dirty.begin(); dirty != m_dirty.end();) {
        JobEntry *found = find(*dirty);
        if (found == nullptr || (!found->pending && found->writtenRevision >= found->revision)) {
            dirty = m_dirty.erase(dirty);
            continue;
        }
        ++dirty;
        JobEntry &entry = *found;
        if (entry.inFlight || entry.needsRead || entry.nextWrite > now) {
            continue;
        }
        if (!entry.pending) {
            std::erase_if(entry.usageDependencies,
                          [&usageWritten](const auto &item) { return usageWritten(item.first, item.second); });
            if (!entry.usageDependencies.empty()) {
                continue;
            }
            makeWrite(entry);
        }
        entry.inFlight = true;
        writes.push_back(*entry.pending);
    }
    return writes;
}

void OpenJobs::makeWrite(JobEntry &entry)
{
    entry.record.operation = OperationId(randomHex(OperationIdBytes));
    entry.pendingRecord = entry.record;
    entry.pendingRevision = entry.revision;
    StoreWrite write;
    write.kind = StoreWrite::Kind::Job;
    write.subject = entry.record.id.value();
    write.transaction.operation = entry.record.operation;
    const std::string key = jobRowKey(entry.record.dataCentre, entry.record.id);
    write.transaction.conditions.push_back({key, entry.version});
    write.transaction.puts.push_back({key, encodeMessage(entry.record)});
    entry.pending = std::move(write);
}

std::vector<JobId> OpenJobs::takeReads()
{
    std::vector<JobId> jobs(m_jobsToRead.begin(), m_jobsToRead.end());
    m_jobsToRead.clear();
    return jobs;
}

void OpenJobs::handleWriteResult(const JobId &job, WriteOutcome outcome, RowVersion version, MonotonicTime now)
{
    JobEntry *entry = find(job);
    if (entry == nullptr || !entry->pending) {
        return;
    }
    entry->inFlight = false;
    if (outcome == WriteOutcome::Unknown) {
        entry->nextWrite = now + RetryInterval;
        return;
    }
    if (outcome == WriteOutcome::Conflict) {
        entry->needsRead = true;
        m_jobsToRead.insert(job);
        return;
    }
    entry->storedRecord = entry->pendingRecord;
    entry->version = version;
    entry->writtenRevision = entry->pendingRevision;
    entry->pending.reset();
}

void OpenJobs::removeEnded(const JobId &job)
{
    m_entries.erase(job);
    m_jobsToRead.erase(job);
    if (m_endedJobs.insert(job).second) {
        m_endedOrder.push_back(job);
    }
    if (m_endedOrder.size() > MaximumEndedJobs) {
        const auto half = m_endedOrder.begin() + MaximumEndedJobs / 2;
        std::for_each(m_endedOrder.begin(), half, [this](const JobId &old) { m_endedJobs.erase(old); });
        m_endedOrder.erase(m_endedOrder.begin(), half);
    }
}

} // namespace coriander
