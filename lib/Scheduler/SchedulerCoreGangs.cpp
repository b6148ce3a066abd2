#include "corianderscale/Scheduler/SchedulerCore.h"

#include <algorithm>
#include <utility>

namespace coriander {

SchedulerCore::Gang *SchedulerCore::findGang(const GangKey &key)
{
    const auto found = m_gangs.find(key);
    return found == m_gangs.end() ? nullptr : &found->second;
}

WorkerEntry &SchedulerCore::findOrAddWorker(const WorkerId &id)
{
    const auto [found, isNew] = m_workers.try_emplace(id);
    if (isNew) {
        // The worker is known only from a placement. Until the VM list contains it, the entry is removed when no gang
        // uses it.
        found->second.info.id = id;
        found->second.unlisted = true;
    }
    return found->second;
}

void SchedulerCore::addGang(const GangKey &key, Gang gang)
{
    for (const GangMember &member : gang.run.members()) {
        findOrAddWorker(member.worker).gangs.insert(key);
    }
    m_gangs.insert_or_assign(key, std::move(gang));
    m_gangsInTransition.insert(key);
}

void SchedulerCore::eraseGang(const GangKey &key)
{
    const Gang *gang = findGang(key);
    if (gang == nullptr) {
        return;
    }
    for (const GangMember &member : gang->run.members()) {
        findOrAddWorker(member.worker).gangs.erase(key);
    }
    m_gangsInTransition.erase(key);
    m_gangs.erase(key);
}

void SchedulerCore::markForOrders(const Gang &gang)
{
    for (const GangMember &member : gang.run.members()) {
        findOrAddWorker(member.worker).mayHaveOrders = true;
    }
}

void SchedulerCore::advanceGang(const GangKey &key, Instant at)
{
    Gang *gang = findGang(key);
    if (gang == nullptr || gang->overRevision != 0) {
        return;
    }
    const GangRun::Phase before = gang->run.phase();
    const std::vector<GangOutcome> outcomes = gang->run.advance(at.now);
    const GangRun::Phase after = gang->run.phase();
    const bool stable = after == GangRun::Phase::Running || after == GangRun::Phase::Over;
    if (stable) {
        m_gangsInTransition.erase(key);
    } else {
        m_gangsInTransition.insert(key);
    }
    if (before != after || !stable) {
        markForOrders(*gang);
    }
    if (before != after) {
        ++m_placementRevision;
    }
    for (const GangOutcome &outcome : outcomes) {
        handleOutcome(key, outcome, at);
    }
}

void SchedulerCore::handleOutcome(const GangKey &key, const GangOutcome &outcome, Instant at)
{
    if (!std::holds_alternative<GangStartedOutcome>(outcome)) {
        finishGang(key, outcome, at);
        return;
    }
    JobEntry *entry = m_jobs.find(key.first);
    if (entry == nullptr) {
        return;
    }
    entry->record.state = JobState::Running;
    entry->record.startedUnixMs = toUnixMs(at.wallNow);
    m_jobs.markChanged(*entry);
    log("gang-started", key.first, key.second, {}, "");
    queueEvent(decision::GangStarted{key.first, key.second - entry->attemptBase});
}

void SchedulerCore::finishGang(const GangKey &key, const GangOutcome &outcome, Instant at)
{
    Gang &gang = m_gangs.at(key);
    JobEntry *entry = m_jobs.find(key.first);
    if (entry == nullptr) {
        eraseGang(key);
        return;
    }
    addUsage(gang, *entry, at);
    entry->record.state = JobState::Queued;
    entry->record.placements.clear();
    const std::int64_t attempt = key.second - entry->attemptBase;
    if (const auto *failed = std::get_if<GangStartFailedOutcome>(&outcome)) {
        entry->record.code = "start-failed";
        log("gang-start-failed",
            key.first,
            key.second,
            failed->refusedBy.empty() ? WorkerId() : failed->refusedBy[0],
            "");
        if (gang.knownToLibrary) {
            queueEvent(decision::GangStartFailed{key.first, attempt, failed->refusedBy});
        }
    } else if (const auto *stopped = std::get_if<GangStoppedOutcome>(&outcome)) {
        entry->record.checkpointed = entry->record.checkpointed || stopped->checkpointed;
        log("gang-stopped", key.first, key.second, {}, stopped->checkpointed ? "checkpointed" : "not checkpointed");
        if (gang.knownToLibrary) {
            queueEvent(decision::GangStopped{key.first, attempt, stopped->checkpointed});
        }
    } else if (const auto *ended = std::get_if<GangEndedOutcome>(&outcome)) {
        log("gang-ended", key.first, key.second, ended->failedOn, ended->succeeded ? "succeeded" : "failed");
        if (gang.knownToLibrary) {
            queueEvent(decision::GangEnded{key.first, attempt, ended->succeeded, ended->failedOn});
        }
    }
    if (!gang.knownToLibrary) {
        endOrResubmit(key, outcome, at);
    }
    gang.overRevision = m_jobs.markChanged(*entry);
}

void SchedulerCore::endOrResubmit(const GangKey &key, const GangOutcome &outcome, Instant at)
{
    const auto *ended = std::get_if<GangEndedOutcome>(&outcome);
    if (ended != nullptr && ended->succeeded) {
        endJob(key.first, JobState::Finished, "", "", at);
        return;
    }
    JobEntry &entry = *m_jobs.find(key.first);
    if (entry.record.cancelRequested) {
        endJob(key.first, JobState::Cancelled, "cancelled", "cancelled by its caller", at);
        return;
    }
    submit(entry, at);
}

void SchedulerCore::addUsage(Gang &gang, JobEntry &entry, Instant at)
{
    UsageTotals &totals = gang.run.plan().guaranteed ? entry.record.guaranteedUsage : entry.record.borrowedUsage;
    for (const GangMember &member : gang.run.members()) {
        totals += m_ledger.countedUsage(member.task);
        if (member.state != GangMemberState::Ended) {
            m_ledger.markForWrite(member.task, at.wallNow);
        }
        entry.usageDependencies[member.worker] = m_ledger.revision();
        m_ledger.requestWrite(member.worker);
    }
}

void SchedulerCore::releaseRecorded(const JobId &job, Instant at)
{
    JobEntry *entry = m_jobs.find(job);
    if (entry == nullptr) {
        return;
    }
    std::vector<GangKey> recorded;
    for (auto gang = m_gangs.lower_bound({job, 0}); gang != m_gangs.end() && gang->first.first == job; ++gang) {
        Gang &item = gang->second;
        if (item.overRevision != 0 && item.overRevision <= entry->writtenRevision) {
            recorded.push_back(gang->first);
            continue;
        }
        if (item.run.phase() == GangRun::Phase::Recording && item.recordRevision <= entry->writtenRevision) {
            item.run.markRecorded();
            markForOrders(item);
        }
    }
    for (const GangKey &key : recorded) {
        releaseMembers(m_gangs.at(key));
        eraseGang(key);
    }
    const bool written = entry->writtenRevision >= entry->revision;
    const auto remaining = m_gangs.lower_bound({job, 0});
    const bool gangsLeft = remaining != m_gangs.end() && remaining->first.first == job;
    if (written && !gangsLeft && isTerminal(entry->record.state)) {
        m_jobs.removeEnded(job);
    }
    static_cast<void>(at);
}

void SchedulerCore::releaseMembers(const Gang &gang)
{
    for (const GangMember &member : gang.run.members()) {
        WorkerEntry &worker = findOrAddWorker(member.worker);
        if (member.state == GangMemberState::Ended) {
            worker.tasksToRelease.insert(member.task);
            worker.mayHaveOrders = true;
        } else if (!worker.lost) {
            m_ledger.closeTask(member.task);
        }
    }
}

} // namespace coriander
