#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

const char *stateName(JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return "waiting";
    case JobState::Assigned:
        return "assigned";
    case JobState::Starting:
        return "starting";
    case JobState::Running:
        return "running";
    case JobState::Stopping:
        return "stopping";
    }
    return "unknown";
}

const char *describeStop(StopReason reason)
{
    switch (reason) {
    case StopReason::Preempted:
        return "lent capacity was taken back";
    case StopReason::Cancelled:
        return "the job was cancelled";
    case StopReason::MemberLost:
        return "a worker of the gang was lost";
    case StopReason::OverSize:
        return "a task used more than its size";
    case StopReason::Compaction:
        return "the gang is moved to make room for a larger one";
    case StopReason::Drain:
        return "a worker of the gang is leaving";
    }
    return "unknown";
}

} // namespace

std::optional<Explanation> Scheduler::Implementation::explain(const JobId &id, MonotonicTime now) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const Job &job = *found->second;
    Explanation result;
    result.state = stateName(job.state);
    switch (job.state) {
    case JobState::Assigned:
        result.reason = "workers are chosen; lent jobs on them are still stopping";
        result.remedy = "starts when they have stopped, at the latest after the checkpoint grace period of 30 s";
        return result;
    case JobState::Starting:
        result.reason = "workers are reserving and starting its tasks";
        return result;
    case JobState::Running:
        result.reason = job.guaranteed ? "runs on its organisation's guarantee" : "runs on lent capacity";
        return result;
    case JobState::Stopping:
        result.reason = describeStop(job.stopReason);
        result.remedy = "returns to the queue when every member has stopped";
        return result;
    case JobState::Waiting:
        break;
    }
    const Resources size = taskSize(job);
    const std::string shape = std::to_string(job.request.tasks) + " tasks of "
        + std::to_string(size.accelerators.count()) + " accelerators, " + std::to_string(size.cores.count())
        + " millicores and " + std::to_string(size.memory.count()) + " MiB";
    if (job.notBefore > now) {
        result.reason = "the last attempt failed; the job is retried after a short delay";
        result.remedy = "wait for the retry";
        return result;
    }
    if (!m_anyWorkerKnown) {
        result.reason = "no worker has joined yet";
        result.remedy = "start workers, or wait until they report";
        return result;
    }
    if (!mayBorrow(job)) {
        result.reason = "the organisation is at its quota of "
            + std::to_string(m_shares.at(job.organisation).policy.quota.count()) + " accelerators";
        result.remedy = "wait until its other jobs end, or raise the quota";
        return result;
    }
    if (job.request.useGuarantee && m_impaired.contains(job.organisation)) {
        result.reason = "the organisation's guarantee is impaired: " + m_impaired.at(job.organisation).reason;
        result.remedy = "return or replace the lost workers";
        return result;
    }
    if (cutsIntoHeadroom(job)) {
        result.reason
            = "its organisation or caller holds more than its fair share while others below theirs submit work";
        result.remedy
            = "wait until more accelerators are free or its own jobs end; jobs that can checkpoint start earlier";
        return result;
    }
    const PlacementRequest request = makePlacementRequest(job, size);
    if (!m_policy.chooseWorkers(m_fleet, request)) {
        result.reason = "no workers have room for " + shape;
        result.remedy = m_reservation.holder == &job
            ? "workers are reserved for it; it starts when the jobs on them end"
            : "wait until jobs end or workers join; a smaller gang or a weaker adjacency would start earlier";
        if (job.request.useGuarantee) {
            result.reason += "; the guarantee is used by other jobs of the organisation or has another shape";
        }
        return result;
    }
    result.reason = "there is room, but jobs ahead of it in the queue or a reservation come first";
    result.remedy = "wait; the order is by class, fair share and expected run time";
    return result;
}

} // namespace coriander::decision
