#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskIds.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coriander {

void SchedulerCore::takeOver(TakeoverState state, Instant at)
{
    relinquish();
    m_phase = Phase::QueryingWorkers;
    m_epoch = state.epoch;
    m_draining = false;
    m_workersListed = false;
    m_queryDeadline = at.now + m_settings.timing.takeoverQueryTimeout;
    m_organisations = std::move(state.organisations);
    m_hooks = m_makeHooks();
    if (state.snapshot) {
        for (const SnapshotWorker &worker : state.snapshot->workers) {
            WorkerEntry &entry = m_workers[worker.info.id];
            if (entry.address.empty()) {
                entry.info = worker.info;
                entry.address = worker.address;
            }
        }
    }
    for (const auto &[row, version] : state.usage) {
        m_ledger.restore(row, version);
    }
    for (const auto &[row, version] : state.jobs) {
        if (!isTerminal(row.state)) {
            m_jobs.add(row, version);
        }
    }
    log("take-over", {}, m_epoch.count(), {}, fmt::format("{} open jobs", m_jobs.entries().size()));
}

void SchedulerCore::workersListed(Instant at)
{
    m_workersListed = true;
    adoptIfReady(at);
}

void SchedulerCore::adoptIfReady(Instant at)
{
    if (m_phase != Phase::QueryingWorkers) {
        return;
    }
    const bool allAnswered = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &item) {
        return item.second.address.empty() || item.second.takeoverReport.has_value();
    });
    if ((m_workersListed && allAnswered) || m_queryDeadline <= at.now) {
        adoptJobs(at);
    }
}

void SchedulerCore::adoptJobs(Instant at)
{
    m_phase = Phase::Active;
    queueEvent(decision::OrganisationsChanged{m_organisations});
    for (auto &[id, worker] : m_workers) {
        worker.nextContact = at.now;
        worker.lastAnswer = at.now;
        worker.lastRequestUnanswered = !worker.address.empty() && !worker.takeoverReport;
        if (!worker.address.empty()) {
            join(worker);
        }
    }
    std::vector<JobEntry *> queued;
    for (auto &[id, entry] : m_jobs.entries()) {
        if (entry.record.state == JobState::Queued) {
            queued.push_back(&entry);
        } else {
            adoptJob(entry, at);
        }
    }
    for (JobEntry *entry : queued) {
        submit(*entry, at);
    }
    for (auto &[id, worker] : m_workers) {
        if (worker.takeoverReport) {
            const WorkerReport report = std::move(*worker.takeoverReport);
            worker.takeoverReport.reset();
            handleTaskReports(worker, report, at);
        }
    }
    const std::vector<GangKey> adopted(m_gangsInTransition.begin(), m_gangsInTransition.end());
    for (const GangKey &key : adopted) {
        advanceGang(key, at);
    }
    ++m_placementRevision;
    processEvents(at);
}

void SchedulerCore::adoptJob(JobEntry &entry, Instant at)
{
    const JobRecord &record = entry.record;
    std::vector<WorkerId> workers;
    std::vector<GangMember> members;
    bool complete = !record.placements.empty() && record.state != JobState::Stopping;
    for (const TaskPlacement &placement : record.placements) {
        workers.push_back(placement.worker);
        members.push_back(adoptMember(placement, at));
        const GangMember &member = members.back();
        const WorkerEntry &worker = findOrAddWorker(placement.worker);
        const TaskReport *task = worker.takeoverReport ? findReportedTask(worker, placement.task) : nullptr;
        const bool stops = task != nullptr && (task->state == TaskState::Stopping || task->state == TaskState::Stopped);
        complete = complete && member.state == GangMemberState::Running && !stops && !worker.address.empty();
        m_ledger.openTask(placement.task,
                          placement.worker,
                          worker.info.incarnation,
                          {record.organisation, record.caller},
                          record.guaranteed,
                          at.wallNow);
    }
    const GangKey key{record.id, record.attempt};
    GangPlan plan = makePlan(record, workers, false);
    Gang gang{GangRun::adopt(std::move(plan), std::move(members), m_settings.timing)};
    gang.knownToLibrary = complete;
    if (!complete) {
        // An incomplete gang is stopped first; its job is submitted to the decision library again after that.
        gang.run.stop(record.spec.canCheckpoint, at.now + m_settings.timing.stopGrace, at.now);
    }
    log(complete ? "adopt-gang" : "stop-partial-gang", key.first, key.second, {}, toText(record.state));
    addGang(key, std::move(gang));
    if (!complete) {
        return;
    }
    entry.submitted = true;
    const Duration ran = record.startedUnixMs == 0 ? Duration(0) : at.wallNow - fromUnixMs(record.startedUnixMs);
    queueEvent(decision::JobAdopted{
        makeJobRequest(record, at), workers, at.now - std::max(Duration(0), ran), record.guaranteed, record.attempt});
    if (record.state == JobState::Starting) {
        entry.record.state = JobState::Running;
        entry.record.startedUnixMs = toUnixMs(at.wallNow);
        m_jobs.markChanged(entry);
    }
    if (record.cancelRequested) {
        queueEvent(decision::JobCancelled{record.id});
    }
}

GangMember SchedulerCore::adoptMember(const TaskPlacement &placement, Instant at) const
{
    const SchedulerTiming &timing = m_settings.timing;
    GangMember member;
    member.task = placement.task;
    member.worker = placement.worker;
    // A start order of an earlier owner may take effect until its startBy, on a worker that does not know this epoch
    // yet.
    member.mayRunUntil = at.now + timing.startWindow + timing.requestTimeout + timing.leaseTerm + timing.stopGrace;
    member.state = GangMemberState::Running;
    const auto worker = m_workers.find(placement.worker);
    if (worker == m_workers.end() || !worker->second.takeoverReport) {
        return member;
    }
    const TaskReport *task = findReportedTask(worker->second, placement.task);
    if (task == nullptr) {
        member.state = GangMemberState::Gone;
        return member;
    }
    if (task->state == TaskState::Reserved) {
        member.state = GangMemberState::Reserved;
        member.mayHoldUntil = at.now + timing.reservationTerm;
        return member;
    }
    return member;
}

const TaskReport *SchedulerCore::findReportedTask(const WorkerEntry &worker, const TaskId &task) const
{
    const auto found = std::find_if(worker.takeoverReport->tasks.begin(),
                                    worker.takeoverReport->tasks.end(),
                                    [&task](const TaskReport &report) { return report.task == task; });
    return found == worker.takeoverReport->tasks.end() ? nullptr : &*found;
}

} // namespace coriander
