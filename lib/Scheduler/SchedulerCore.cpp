#include "corianderscale/Scheduler/SchedulerCore.h"

#include <algorithm>
#include <utility>

namespace coriander {

SchedulerCore::SchedulerCore(CoreSettings settings, std::function<DecisionHooks()> makeHooks, Log log)
    : m_settings(std::move(settings))
    , m_makeHooks(std::move(makeHooks))
    , m_log(std::move(log))
    , m_ledger(m_settings.dataCentre, m_settings.days, m_settings.usageInterval)
{
}

void SchedulerCore::relinquish()
{
    m_phase = Phase::Idle;
    m_stepDownReason.clear();
    m_gangs.clear();
    m_gangsInTransition.clear();
    m_events.clear();
    m_impairedGuarantees.clear();
    m_jobs = OpenJobs();
    m_ledger = UsageLedger(m_settings.dataCentre, m_settings.days, m_settings.usageInterval);
    for (auto &[id, worker] : m_workers) {
        WorkerEntry cleared;
        cleared.info = std::move(worker.info);
        cleared.address = std::move(worker.address);
        cleared.unlisted = worker.unlisted;
        worker = std::move(cleared);
    }
}

bool SchedulerCore::isSettled() const
{
    const bool inTransition = std::any_of(m_gangs.begin(), m_gangs.end(), [](const auto &item) {
        const GangRun::Phase phase = item.second.run.phase();
        return phase != GangRun::Phase::Running && phase != GangRun::Phase::Recording;
    });
    return m_phase != Phase::Active || (!inTransition && m_jobs.isClean());
}

void SchedulerCore::setOrganisations(std::vector<decision::OrganisationPolicy> organisations, Instant at)
{
    m_organisations = std::move(organisations);
    if (m_phase == Phase::Active) {
        queueEvent(decision::OrganisationsChanged{m_organisations});
        processEvents(at);
    }
}

void SchedulerCore::setDays(const CivilDays &days)
{
    m_settings.days = days;
    m_ledger.setDays(days);
}

void SchedulerCore::jobSeen(const JobRecord &row, RowVersion version, Instant at)
{
    if (m_phase != Phase::Active) {
        return;
    }
    JobEntry *entry = m_jobs.find(row.id);
    if (entry == nullptr) {
        if (isTerminal(row.state) || m_jobs.hasEnded(row.id)) {
            return;
        }
        if (row.state != JobState::Queued) {
            m_stepDownReason = "job " + row.id.value() + " was started by another owner";
            return;
        }
        submit(m_jobs.add(row, version), at);
        processEvents(at);
        return;
    }
    const bool cancelledBefore = entry->record.cancelRequested;
    if (m_jobs.reconcileRow(*entry, row, version) == RowCheck::ForeignChange) {
        m_stepDownReason = "job " + row.id.value() + " was changed by another owner";
        return;
    }
    if (!cancelledBefore && entry->record.cancelRequested && entry->submitted) {
        queueEvent(decision::JobCancelled{row.id});
    }
    releaseRecorded(row.id, at);
    processEvents(at);
}

void SchedulerCore::writeDone(
    StoreWrite::Kind kind, const std::string &subject, WriteOutcome outcome, RowVersion version, Instant at)
{
    if (m_phase != Phase::Active) {
        return;
    }
    if (kind == StoreWrite::Kind::Usage) {
        if (!m_ledger.handleWriteResult(subject, outcome, version, at.now)) {
            m_stepDownReason = "the usage of " + subject + " was written by another owner";
        }
        return;
    }
    const JobId job(subject);
    m_jobs.handleWriteResult(job, outcome, version, at.now);
    releaseRecorded(job, at);
    processEvents(at);
}

void SchedulerCore::tick(Instant at)
{
    if (m_phase == Phase::QueryingWorkers) {
        adoptIfReady(at);
    }
    if (m_phase != Phase::Active) {
        return;
    }
    const std::vector<GangKey> keys(m_gangsInTransition.begin(), m_gangsInTransition.end());
    for (const GangKey &key : keys) {
        advanceGang(key, at);
    }
    expireWorkers(at);
    if (m_hooks.nextTick() <= at.now) {
        queueEvent(decision::Tick{});
    }
    processEvents(at);
}

std::vector<StoreWrite> SchedulerCore::takeWrites(Instant at)
{
    if (m_phase != Phase::Active) {
        return {};
    }
    std::vector<StoreWrite> writes = m_ledger.takeWrites(at.now, at.wallNow);
    std::vector<StoreWrite> jobs = m_jobs.takeWrites(
        at.now, [this](const WorkerId &worker, std::int64_t revision) { return m_ledger.isWritten(worker, revision); });
    std::move(jobs.begin(), jobs.end(), std::back_inserter(writes));
    return writes;
}

std::vector<JobId> SchedulerCore::takeReads()
{
    return m_jobs.takeReads();
}

Snapshot SchedulerCore::snapshot() const
{
    Snapshot snapshot;
    snapshot.dataCentre = m_settings.dataCentre;
    snapshot.owner = m_settings.instance;
    snapshot.epoch = m_epoch;
    for (const auto &[id, worker] : m_workers) {
        snapshot.workers.push_back({worker.info, worker.address});
    }
    for (const auto &[key, gang] : m_gangs) {
        if (gang.run.isRenewable()) {
            snapshot.gangs.push_back({key.first, key.second, gang.run.plan().workers});
        }
    }
    return snapshot;
}

void SchedulerCore::log(
    const std::string &event, const JobId &job, std::int64_t attempt, const WorkerId &worker, const std::string &reason)
{
    m_log({event, job, attempt, worker, reason});
}

} // namespace coriander
