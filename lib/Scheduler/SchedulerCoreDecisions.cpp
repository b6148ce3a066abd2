#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskIds.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace coriander {

namespace {

template<typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

constexpr std::array StopReasonNames = {
    std::pair{decision::StopReason::Preempted, "preempted"},
    std::pair{decision::StopReason::Cancelled, "cancelled"},
    std::pair{decision::StopReason::MemberLost, "member-lost"},
    std::pair{decision::StopReason::OverSize, "over-size"},
    std::pair{decision::StopReason::Compaction, "compaction"},
    std::pair{decision::StopReason::Drain, "drain"},
};

std::string nameOf(decision::StopReason reason)
{
    const auto *found = std::find_if(
        StopReasonNames.begin(), StopReasonNames.end(), [reason](const auto &item) { return item.first == reason; });
    return found == StopReasonNames.end() ? "unknown" : found->second;
}

decision::Closeness closenessOf(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::None:
        return decision::Closeness::None;
    case Adjacency::Rack:
        return decision::Closeness::Rack;
    case Adjacency::Worker:
        return decision::Closeness::Worker;
    }
    return decision::Closeness::None;
}

decision::JobClass classOf(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Urgent:
        return decision::JobClass::Urgent;
    case Urgency::Normal:
        return decision::JobClass::Normal;
    case Urgency::Background:
        return decision::JobClass::Background;
    }
    return decision::JobClass::Normal;
}

MonotonicTime toMonotonic(std::int64_t unixMs, Instant at)
{
    return at.now + (fromUnixMs(unixMs) - at.wallNow);
}

} // namespace

void SchedulerCore::queueEvent(decision::Event event)
{
    m_events.push_back(std::move(event));
}

void SchedulerCore::processEvents(Instant at)
{
    // While draining, events are not handled: the next owner learns the same from job rows and workers.
    while (m_phase == Phase::Active && !m_draining && !m_events.empty()) {
        const decision::Event event = std::move(m_events.front());
        m_events.pop_front();
        for (const decision::Decision &decision : m_hooks.handle(event, at.now)) {
            apply(decision, at);
        }
    }
}

void SchedulerCore::apply(const decision::Decision &decision, Instant at)
{
    std::visit(
        Overloaded{
            [&](const decision::StartGang &start) { startGang(start, at); },
            [&](const decision::StopGang &stop) { stopGang(stop, at); },
            [&](const decision::CheckpointGang &checkpoint) { checkpointGang(checkpoint); },
            [&](const decision::ThrottleTask &throttle) { throttleTask(throttle); },
            [&](const decision::RefuseJob &refuse) {
                endJob(refuse.job, JobState::Refused, refuse.code, refuse.reason, at);
            },
            [&](const decision::FailJob &fail) { endJob(fail.job, JobState::Failed, "failed", fail.reason, at); },
            [&](const decision::FinishJob &done) { endJob(done.job, JobState::Finished, "", "", at); },
            [&](const decision::CancelJob &cancel) {
                endJob(cancel.job, JobState::Cancelled, "cancelled", "cancelled by its caller", at);
            },
            [&](const decision::QuarantineWorker &quarantine) {
                log("quarantine-worker", {}, 0, quarantine.worker, quarantine.reason);
            },
            [&](const decision::ReleaseWorker &release) { log("release-worker", {}, 0, release.worker, ""); },
            [&](const decision::GuaranteeImpaired &impaired) {
                m_impairedGuarantees[impaired.organisation] = impaired.reason;
                log("guarantee-impaired", {}, 0, {}, impaired.organisation.value() + ": " + impaired.reason);
            },
            [&](const decision::GuaranteeRestored &restored) {
                m_impairedGuarantees.erase(restored.organisation);
                log("guarantee-restored", {}, 0, {}, restored.organisation.value());
            },
            [&](const decision::DeadlineAtRisk &risk) {
                if (JobEntry *entry = m_jobs.find(risk.job)) {
                    entry->record.code = "deadline-at-risk";
                    entry->record.reason = risk.reason;
                    m_jobs.markChanged(*entry);
                }
                log("deadline-at-risk", risk.job, 0, {}, risk.reason);
            },
        },
        decision);
}

void SchedulerCore::checkpointGang(const decision::CheckpointGang &checkpoint)
{
    const JobEntry *entry = m_jobs.find(checkpoint.job);
    Gang *gang = entry == nullptr ? nullptr : findGang({checkpoint.job, entry->attemptBase + checkpoint.attempt});
    if (gang == nullptr || gang->run.phase() != GangRun::Phase::Running) {
        return;
    }
    gang->checkpointing.clear();
    for (const GangMember &member : gang->run.members()) {
        if (member.state == GangMemberState::Running) {
            gang->checkpointing[member.task] = -1;
            WorkerEntry &worker = findOrAddWorker(member.worker);
            worker.tasksToCheckpoint.insert(member.task);
            worker.mayHaveOrders = true;
        }
    }
    log("checkpoint-gang", checkpoint.job, entry->record.attempt, {}, "");
}

void SchedulerCore::throttleTask(const decision::ThrottleTask &throttle)
{
    const JobEntry *entry = m_jobs.find(throttle.job);
    if (entry == nullptr) {
        return;
    }
    WorkerEntry &worker = findOrAddWorker(throttle.worker);
    for (const TaskPlacement &placement : entry->record.placements) {
        if (placement.worker == throttle.worker) {
            worker.throttles[placement.task] = throttle.cores;
            worker.mayHaveOrders = true;
        }
    }
    log("throttle-task", throttle.job, entry->record.attempt, throttle.worker, "");
}

void SchedulerCore::startGang(const decision::StartGang &start, Instant at)
{
    JobEntry *entry = m_jobs.find(start.job);
    if (entry == nullptr) {
        return;
    }
    JobRecord &record = entry->record;
    record.attempt = entry->attemptBase + start.attempt;
    record.state = JobState::Starting;
    record.guaranteed = start.guaranteed;
    record.code.clear();
    record.reason.clear();
    record.placements.clear();
    const bool resume = record.spec.canCheckpoint && (start.resume || record.checkpointed);
    Gang gang{GangRun(makePlan(record, start.placement, resume), m_settings.timing)};
    for (const GangMember &member : gang.run.members()) {
        record.placements.push_back({member.task, member.worker});
    }
    gang.recordRevision = m_jobs.markChanged(*entry);
    addGang({start.job, record.attempt}, std::move(gang));
    log("start-gang",
        start.job,
        record.attempt,
        start.placement.front(),
        fmt::format("{} tasks{}", start.placement.size(), start.guaranteed ? ", guaranteed" : ", borrowed"));
    advanceGang({start.job, record.attempt}, at);
}

GangPlan SchedulerCore::makePlan(const JobRecord &record, std::vector<WorkerId> workers, bool resume) const
{
    GangPlan plan;
    plan.job = record.id;
    plan.attempt = record.attempt;
    plan.workers = std::move(workers);
    plan.cores = record.spec.cores;
    plan.memory = record.spec.memory;
    plan.accelerators = record.spec.accelerators;
    plan.command = record.spec.command;
    plan.canCheckpoint = record.spec.canCheckpoint;
    plan.resume = resume;
    plan.guaranteed = record.guaranteed;
    return plan;
}

void SchedulerCore::stopGang(const decision::StopGang &stop, Instant at)
{
    JobEntry *entry = m_jobs.find(stop.job);
    if (entry == nullptr) {
        return;
    }
    const GangKey key{stop.job, entry->attemptBase + stop.attempt};
    Gang *gang = findGang(key);
    log("stop-gang", stop.job, key.second, {}, nameOf(stop.reason));
    if (gang == nullptr || gang->overRevision != 0) {
        // The gang has already ended; the decision library gets, or already got, the event of its end.
        return;
    }
    entry->record.state = JobState::Stopping;
    entry->record.code = nameOf(stop.reason);
    m_jobs.markChanged(*entry);
    gang->run.stop(stop.checkpoint, stop.stopBy, at.now);
    advanceGang(key, at);
}

void SchedulerCore::endJob(
    const JobId &job, JobState state, const std::string &code, const std::string &reason, Instant at)
{
    JobEntry *entry = m_jobs.find(job);
    if (entry == nullptr || isTerminal(entry->record.state)) {
        return;
    }
    entry->record.state = state;
    entry->record.code = code;
    entry->record.reason = reason;
    entry->record.endedUnixMs = toUnixMs(at.wallNow);
    m_jobs.markChanged(*entry);
    log(toText(state) + "-job", job, entry->record.attempt, {}, code.empty() ? reason : code + ": " + reason);
}

void SchedulerCore::submit(JobEntry &entry, Instant at)
{
    entry.submitted = true;
    entry.attemptBase = entry.record.attempt;
    queueEvent(decision::JobSubmitted{makeJobRequest(entry.record, at)});
    if (entry.record.cancelRequested) {
        queueEvent(decision::JobCancelled{entry.record.id});
    }
}

decision::JobRequest SchedulerCore::makeJobRequest(const JobRecord &record, Instant at) const
{
    const JobSpec &spec = record.spec;
    decision::JobRequest job;
    job.id = record.id;
    job.organisation = record.organisation;
    job.caller = record.caller;
    job.kind = spec.kind;
    job.tasks = spec.tasks;
    job.perTask = {spec.cores, spec.memory, spec.accelerators};
    job.closeness = closenessOf(spec.adjacency);
    job.jobClass = classOf(spec.urgency);
    job.declaredRun = std::chrono::milliseconds(spec.expectedRunMs);
    job.deadline = spec.deadlineUnixMs == 0 ? NeverDue : toMonotonic(spec.deadlineUnixMs, at);
    job.canCheckpoint = spec.canCheckpoint;
    job.useGuarantee = spec.useGuarantee;
    job.submittedAt = std::min(at.now, toMonotonic(record.submittedUnixMs, at));
    return job;
}

} // namespace coriander
