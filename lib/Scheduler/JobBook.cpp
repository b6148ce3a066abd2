#include "corianderscale/Scheduler/JobBook.h"

#include <algorithm>
#include <cassert>

namespace coriander {

namespace {

constexpr std::size_t OperationRandomBytes = 16;
/** Delay before a write with an unknown outcome is retried. */
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
/**
 * Ended jobs that are remembered, so that a scan that began before a job ended does not add the job again. A scan takes
 * far less time than it takes to end this many jobs.
 */
constexpr std::size_t MaximumForgotten = 20000;

bool sameProgress(const JobRecord &left, const JobRecord &right)
{
    return left.attempt == right.attempt && left.state == right.state;
}

} // namespace

JobEntry &JobBook::add(const JobRecord &record, RowVersion version)
{
    assert(!m_entries.contains(record.id) && "a job is added once");
    JobEntry &entry = m_entries[record.id];
    entry.record = record;
    entry.base = record;
    entry.version = version;
    return entry;
}

JobEntry *JobBook::find(const JobId &job)
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::int64_t JobBook::change(JobEntry &entry)
{
    m_dirty.insert(entry.record.id);
    return ++entry.revision;
}

RowVerdict JobBook::rowSeen(JobEntry &entry, const JobRecord &row, RowVersion version)
{
    if (row.cancelRequested) {
        entry.record.cancelRequested = true;
    }
    if (entry.pending && !entry.needsRead) {
        return RowVerdict::Ours;
    }
    if (version <= entry.version) {
        entry.needsRead = false;
        entry.pending.reset();
        return RowVerdict::Ours;
    }
    entry.needsRead = false;
    const bool pendingLanded = entry.pending && sameProgress(row, entry.pendingRecord);
    if (!pendingLanded && !sameProgress(row, entry.base)) {
        return RowVerdict::Foreign;
    }
    if (pendingLanded) {
        entry.writtenRevision = std::max(entry.writtenRevision, entry.pendingRevision);
    }
    entry.pending.reset();
    entry.base = row;
    entry.version = version;
    return RowVerdict::Ours;
}

std::vector<StoreWrite> JobBook::takeWrites(MonotonicTime now, const UsageWritten &usageWritten)
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
            std::erase_if(entry.after,
                          [&usageWritten](const auto &item) { return usageWritten(item.first, item.second); });
            if (!entry.after.empty()) {
                continue;
            }
            makeWrite(entry);
        }
        entry.inFlight = true;
        writes.push_back(*entry.pending);
    }
    return writes;
}

void JobBook::makeWrite(JobEntry &entry)
{
    entry.record.operation = OperationId(randomHex(OperationRandomBytes));
    entry.pendingRecord = entry.record;
    entry.pendingRevision = entry.revision;
    StoreWrite write;
    write.kind = StoreWrite::Kind::Job;
    write.unit = entry.record.id.value();
    write.transaction.operation = entry.record.operation;
    const std::string key = jobRowKey(entry.record.dataCentre, entry.record.id);
    write.transaction.conditions.push_back({key, entry.version});
    write.transaction.puts.push_back({key, encodeMessage(entry.record)});
    entry.pending = std::move(write);
}

std::vector<JobId> JobBook::takeReads()
{
    std::vector<JobId> jobs(m_reads.begin(), m_reads.end());
    m_reads.clear();
    return jobs;
}

void JobBook::written(const JobId &job, WriteOutcome outcome, RowVersion version, MonotonicTime now)
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
        m_reads.insert(job);
        return;
    }
    entry->base = entry->pendingRecord;
    entry->version = version;
    entry->writtenRevision = entry->pendingRevision;
    entry->pending.reset();
}

void JobBook::forget(const JobId &job)
{
    m_entries.erase(job);
    m_reads.erase(job);
    if (m_forgotten.insert(job).second) {
        m_forgetOrder.push_back(job);
    }
    if (m_forgetOrder.size() > MaximumForgotten) {
        const auto half = m_forgetOrder.begin() + MaximumForgotten / 2;
        std::for_each(m_forgetOrder.begin(), half, [this](const JobId &old) { m_forgotten.erase(old); });
        m_forgetOrder.erase(m_forgetOrder.begin(), half);
    }
}

} // namespace coriander
