#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskNames.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coriander {

void SchedulerCore::takeOver(Takeover state, Instant at)
{
    relinquish();
    m_phase = Phase::Asking;
    m_epoch = state.epoch;
    m_draining = false;
    m_listed = false;
    m_askUntil = at.now + m_settings.timing.askLimit;
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
    m_listed = true;
    adoptWhenAnswered(at);
}

void SchedulerCore::adoptWhenAnswered(Instant at)
{
    if (m_phase != Phase::Asking) {
        return;
    }
    const bool all = std::all_of(m_workers.begin(), m_workers.end(), [](const auto &item) {
        return item.second.address.empty() || item.second.answer.has_value();
    });
    if ((m_listed && all) || m_askUntil <= at.now) {
        adoptAll(at);
    }
}

void SchedulerCore::adoptAll(Instant at)
{
    m_phase = Phase::Active;
    emit(decision::OrganisationsChanged{m_organisations});
    for (auto &[id, worker] : m_workers) {
        worker.nextContact = at.now;
        worker.lastAnswer = at.now;
        worker.silent = !worker.address.empty() && !worker.answer;
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
        if (worker.answer) {
            const WorkerReport report = std::move(*worker.answer);
            worker.answer.reset();
            takeTasks(worker, report, at);
        }
    }
    const std::vector<GangKey> adopted(m_transient.begin(), m_transient.end());
    for (const GangKey &key : adopted) {
        pump(key, at);
    }
    ++m_placementRevision;
    settle(at);
}

void SchedulerCore::adoptJob(JobEntry &entry, Instant at)
{
    const JobRecord &record = entry.record;
    std::vector<WorkerId> workers;
    std::vector<GangMember> members;
    bool whole = !record.placements.empty() && record.state != JobState::Stopping;
    for (const TaskPlacement &placement : record.placements) {
        workers.push_back(placement.worker);
        members.push_back(adoptMember(placement, at));
        const GangMember &member = members.back();
        const WorkerEntry &worker = workerOf(placement.worker);
        const TaskReport *task = worker.answer ? answeredTask(worker, placement.task) : nullptr;
        const bool stops = task != nullptr && (task->state == TaskState::Stopping || task->state == TaskState::Stopped);
        whole = whole && member.state == GangMemberState::Running && !stops && !worker.address.empty();
        m_ledger.open(placement.task,
                      placement.worker,
                      worker.info.incarnation,
                      {record.organisation, record.caller},
                      record.guaranteed,
                      at.wallNow);
    }
    const GangKey key{record.id, record.attempt};
    GangPlan plan = planOf(record, workers, false);
    Gang gang{GangRun::adopt(std::move(plan), std::move(members), m_settings.timing)};
    gang.known = whole;
    if (!whole) {
        // An incomplete gang is stopped first; its job is submitted to the decision library again after that.
        gang.run.stop(record.spec.canCheckpoint, at.now + m_settings.timing.stopGrace, at.now);
    }
    log(whole ? "adopt-gang" : "stop-partial-gang", key.first, key.second, {}, toText(record.state));
    addGang(key, std::move(gang));
    if (!whole) {
        return;
    }
    entry.submitted = true;
    const Duration ran = record.startedUnixMs == 0 ? Duration(0) : at.wallNow - fromUnixMs(record.startedUnixMs);
    emit(decision::JobAdopted{
        requestOf(record, at), workers, at.now - std::max(Duration(0), ran), record.guaranteed, record.attempt});
    if (record.state == JobState::Starting) {
        entry.record.state = JobState::Running;
        entry.record.startedUnixMs = toUnixMs(at.wallNow);
        m_jobs.change(entry);
    }
    if (record.cancelRequested) {
        emit(decision::JobCancelled{record.id});
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
    member.mayRunUntil = at.now + timing.startWindow + timing.requestLimit + timing.leaseTerm + timing.stopGrace;
    member.state = GangMemberState::Running;
    const auto worker = m_workers.find(placement.worker);
    if (worker == m_workers.end() || !worker->second.answer) {
        return member;
    }
    const TaskReport *task = answeredTask(worker->second, placement.task);
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

const TaskReport *SchedulerCore::answeredTask(const WorkerEntry &worker, const TaskId &task) const
{
    const auto found = std::find_if(worker.answer->tasks.begin(),
                                    worker.answer->tasks.end(),
                                    [&task](const TaskReport &report) { return report.task == task; });
    return found == worker.answer->tasks.end() ? nullptr : &*found;
}

} // namespace coriander
