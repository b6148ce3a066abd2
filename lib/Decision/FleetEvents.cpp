#include "corianderscale/Decision/Placement.h"

#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** How long the capacity of a lost worker still counts when deciding whether a job can ever run. */
constexpr Duration LostWorkerGrace = std::chrono::minutes(10);

} // namespace

void Scheduler::Implementation::on(const WorkerJoined &event)
{
    const WorkerIndex worker = m_fleet.join(event.worker);
    if (m_reservation.workers.size() < m_fleet.workers().size()) {
        m_reservation.workers.resize(m_fleet.workers().size(), 0);
    }
    m_anyWorkerKnown = true;
    m_fleetChanged = true;
    if (m_quarantine.contains(worker)) {
        m_fleet.setQuarantined(worker, true);
    }
}

void Scheduler::Implementation::on(const WorkerLost &event)
{
    const std::optional<WorkerIndex> worker = m_fleet.find(event.worker);
    if (!worker) {
        return;
    }
    m_fleet.setState(*worker, WorkerState::Lost, m_now);
    if (m_quarantine.contains(*worker)) {
        m_quarantine.removeWorker(*worker);
        m_fleet.setQuarantined(*worker, false);
    }
    const std::vector<Job *> jobs = m_fleet.worker(*worker).jobs;
    for (Job *job : jobs) {
        stop(*job, StopReason::MemberLost, MaximumCheckpointGrace);
    }
    m_fleetChanged = true;
}

void Scheduler::Implementation::on(const WorkerDraining &event)
{
    const std::optional<WorkerIndex> worker = m_fleet.find(event.worker);
    if (!worker || m_fleet.worker(*worker).state != WorkerState::Live) {
        return;
    }
    m_fleet.setState(*worker, WorkerState::Draining, m_now);
    const std::vector<Job *> jobs = m_fleet.worker(*worker).jobs;
    for (Job *job : jobs) {
        if (job->state == JobState::Assigned) {
            stop(*job, StopReason::Drain, Duration::zero());
        } else {
            revokeGuarantee(*job);
        }
    }
    m_fleetChanged = true;
}

void Scheduler::Implementation::on(const OrganisationsChanged &event)
{
    m_shares.setPolicies(event.organisations);
    m_fleetChanged = true;
    m_passNeeded = true;
    if (!m_policy.honoursGuarantees) {
        return;
    }
    for (OrganisationIndex index = 0; index < m_shares.organisations().size(); ++index) {
        m_guaranteeTable.setGuarantees(m_fleet, index, m_shares.at(index).policy.guarantees);
    }
}

void Scheduler::Implementation::applyFleetChange()
{
    m_fleetChanged = false;
    m_passNeeded = true;
    m_reservation.computedAt = {};
    m_fleet.removeLost(m_now - LostWorkerGrace);
    if (m_policy.honoursGuarantees) {
        GuaranteeTable::Repair repair = m_guaranteeTable.repair(m_fleet);
        while (!repair.uncovered.empty()) {
            for (const auto &[organisation, worker] : repair.uncovered) {
                revokeGuaranteesOn(organisation, worker);
            }
            repair = m_guaranteeTable.repair(m_fleet);
        }
        reportImpairedGuarantees();
    }
    refuseUnplaceableJobs();
}

void Scheduler::Implementation::revokeGuarantee(Job &job)
{
    if (!job.guaranteed) {
        return;
    }
    m_guaranteeTable.claim(m_fleet, job.organisation, job, -1);
    job.guaranteed = false;
}

void Scheduler::Implementation::revokeGuaranteesOn(OrganisationIndex organisation, WorkerIndex worker)
{
    const std::vector<Job *> jobs = m_fleet.worker(worker).jobs;
    for (Job *job : jobs) {
        if (job->guaranteed && job->organisation == organisation) {
            revokeGuarantee(*job);
        }
    }
}

void Scheduler::Implementation::reportImpairedGuarantees()
{
    for (OrganisationIndex index = 0; index < m_shares.organisations().size(); ++index) {
        std::string reason;
        const OrganisationId &id = m_shares.at(index).id;
        const auto known = m_impaired.find(index);
        if (m_guaranteeTable.countImpaired(index, reason) == 0) {
            if (known != m_impaired.end()) {
                m_impaired.erase(known);
                m_decisions.emplace_back(GuaranteeRestored{id});
            }
            continue;
        }
        if (known != m_impaired.end() && known->second.reason == reason) {
            continue;
        }
        const MonotonicTime since = known == m_impaired.end() ? m_now : known->second.since;
        m_impaired[index] = {reason, since};
        m_decisions.emplace_back(GuaranteeImpaired{id, reason, since});
    }
}

void Scheduler::Implementation::refuseUnplaceableJobs()
{
    std::vector<Job *> impossible;
    std::map<std::tuple<std::int64_t, Resources, Closeness, std::int64_t>, bool> verdicts;
    m_queue.forEach([&](Job &job) {
        const std::tuple key(job.request.tasks,
                             taskSize(job),
                             job.request.closeness,
                             m_shares.at(job.organisation).policy.quota.count());
        const auto [entry, added] = verdicts.try_emplace(key, false);
        if (added) {
            std::string code;
            std::string reason;
            entry->second = canNeverRun(job, code, reason);
        }
        if (entry->second) {
            impossible.push_back(&job);
        }
    });
    for (Job *job : impossible) {
        std::string code;
        std::string reason;
        canNeverRun(*job, code, reason);
        refuse(*job, code, reason);
    }
}

void Scheduler::Implementation::quarantineIfSuspect(WorkerIndex worker)
{
    std::string reason;
    const std::int64_t most = std::max<std::int64_t>(m_fleet.usableWorkers() / QuarantineDivisor, 1);
    if (!m_policy.quarantines || !m_fleet.usable(worker) || static_cast<std::int64_t>(m_quarantine.size()) >= most
        || !m_quarantine.isSuspect(worker, m_now, reason)) {
        return;
    }
    m_quarantine.admit(worker, m_now);
    m_fleet.setQuarantined(worker, true);
    const std::vector<Job *> jobs = m_fleet.worker(worker).jobs;
    for (Job *job : jobs) {
        if (job->state == JobState::Assigned) {
            stop(*job, StopReason::Drain, Duration::zero());
        } else {
            revokeGuarantee(*job);
        }
    }
    m_decisions.emplace_back(QuarantineWorker{m_fleet.worker(worker).spec.id, reason});
    m_fleetChanged = true;
}

} // namespace coriander::decision
