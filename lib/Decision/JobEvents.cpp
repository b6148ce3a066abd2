#include "corianderscale/Decision/Placement.h"

#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** Number of distinct workers, not in quarantine, on which a job may fail before the job is considered faulty. */
constexpr std::int64_t MaximumFailures = 3;
/** Delay before a gang is retried after a refused start or a failure. */
constexpr Duration RetryDelay = std::chrono::seconds(1);
/** Maximum number of workers that one job avoids. */
constexpr std::size_t MaximumAvoidedWorkers = 16;
/** Memory size of a job restarted after it exceeded its size, in percent of the observed use. */
constexpr std::int64_t RestartSizePercent = 125;
/**
 * Number of observations above the size before a job that exceeds its memory is stopped; the first observation
 * throttles the task.
 */
constexpr std::int64_t OverSizeObservationsToStop = 3;
/** Highest tolerated use, in percent of the size. */
constexpr std::int64_t OverSizeTolerancePercent = 110;

template<typename Unit>
bool exceeds(Unit used, Unit size)
{
    return used.count() * 100 > size.count() * OverSizeTolerancePercent;
}

template<typename Unit>
Unit enlarged(Unit used)
{
    return Unit(used.count() * RestartSizePercent / 100);
}

} // namespace

Job &Scheduler::Implementation::createJob(const JobRequest &request)
{
    auto owned = std::make_unique<Job>();
    Job &job = *owned;
    job.request = request;
    job.sequence = m_nextSequence++;
    job.organisation = m_shares.organisation(request.organisation);
    job.caller = m_shares.caller(job.organisation, request.caller);
    job.queuedAt = m_now;
    m_jobs[request.id] = std::move(owned);
    m_shares.countJob(job, 1);
    return job;
}

bool Scheduler::Implementation::canNeverRun(const Job &job, std::string &code, std::string &reason) const
{
    const JobRequest &request = job.request;
    if (request.tasks <= 0) {
        code = "can-never-run";
        reason = "the job has no tasks; submit at least one";
        return true;
    }
    const std::int64_t quota = m_shares.at(job.organisation).policy.quota.count();
    if (quota > 0 && gangAccelerators(job) > quota) {
        code = "over-quota";
        reason = "the job needs " + std::to_string(gangAccelerators(job))
            + " accelerators and the organisation's quota is " + std::to_string(quota);
        return true;
    }
    if (!m_anyWorkerKnown) {
        return false;
    }
    std::vector<const FleetWorker *> workers;
    for (const FleetWorker &worker : m_fleet.workers()) {
        if (worker.state != WorkerState::Vacant) {
            workers.push_back(&worker);
        }
    }
    const PlacementRequest wanted = makePlacementRequest(job, taskSize(job));
    if (workers.empty() || fitsWhenEmpty(workers, wanted)) {
        return false;
    }
    code = "can-never-run";
    const std::string where = request.closeness == Closeness::Worker ? "one worker"
        : request.closeness == Closeness::Rack                       ? "one rack"
                                                                     : "the data centre";
    reason = std::to_string(request.tasks) + " tasks of this size do not fit into " + where
        + " even when it is empty; ask for fewer or smaller tasks, or a weaker adjacency";
    return true;
}

void Scheduler::Implementation::on(const JobSubmitted &event)
{
    if (m_jobs.contains(event.job.id)) {
        return;
    }
    Job &job = createJob(event.job);
    std::string code;
    std::string reason;
    if (canNeverRun(job, code, reason)) {
        refuse(job, code, reason);
        return;
    }
    if (job.request.deadline <= m_now) {
        refuse(job, "too-late", "the deadline had passed when the job arrived");
        return;
    }
    enqueue(job);
    if (job.request.deadline != NeverDue) {
        m_deadlines.emplace(m_now, job.sequence, job.request.id);
        checkDeadlines();
    }
    m_submittedJob = &job;
    enforceQueueLimits(job);
}

void Scheduler::Implementation::enforceQueueLimits(const Job &newest)
{
    Job *victim = nullptr;
    std::string reason;
    if (m_queue.sizeOf(newest.caller) > MaximumWaitingJobsPerCaller) {
        victim = m_queue.findNewestLeastUrgent(newest.caller);
        reason = "the caller has " + std::to_string(MaximumWaitingJobsPerCaller) + " waiting jobs; submit again later";
    } else if (m_queue.size() > MaximumWaitingJobs) {
        victim = m_queue.findNewestLeastUrgent(std::nullopt);
        reason = "the data centre has " + std::to_string(MaximumWaitingJobs) + " waiting jobs; submit again later";
    }
    if (victim != nullptr) {
        refuse(*victim, "overloaded", reason);
    }
}

void Scheduler::Implementation::on(const JobAdopted &event)
{
    if (m_jobs.contains(event.job.id)) {
        return;
    }
    Job &job = createJob(event.job);
    job.attempt = event.attempt;
    job.state = JobState::Running;
    job.hasStarted = true;
    job.startedAt = std::min(event.startedAt, m_now);
    job.checkpointedAt = job.startedAt;
    job.size = taskSize(job);
    bool lostMember = false;
    for (const WorkerId &id : event.placement) {
        std::optional<WorkerIndex> worker = m_fleet.find(id);
        if (!worker) {
            // The worker has not joined yet. Until it does, it counts as lost and has no capacity.
            worker = m_fleet.join({id, RackId(), 0, {}});
            m_fleet.setState(*worker, WorkerState::Lost, m_now);
        }
        lostMember = lostMember || m_fleet.worker(*worker).state == WorkerState::Lost;
        const auto part = std::find_if(
            job.parts.begin(), job.parts.end(), [&](const GangPart &known) { return known.worker == *worker; });
        if (part != job.parts.end()) {
            ++part->tasks;
        } else {
            job.parts.push_back({*worker, 1});
        }
    }
    m_reservation.workers.resize(m_fleet.workers().size(), 0);
    m_fleet.allocate(job);
    m_shares.charge(job, m_fleet.usableCapacity(), 1, m_now);
    m_active.emplace(job.sequence, &job);
    if (event.guaranteed && m_policy.honoursGuarantees
        && m_guaranteeTable.tryCover(m_fleet, job.organisation, job.parts, job.size.accelerators.count())) {
        job.guaranteed = true;
        m_guaranteeTable.claim(m_fleet, job.organisation, job, 1);
    }
    if (lostMember) {
        stop(job, StopReason::MemberLost, MaximumCheckpointGrace);
    }
}

void Scheduler::Implementation::on(const JobCancelled &event)
{
    const auto found = m_jobs.find(event.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    job.cancelRequested = true;
    if (job.state != JobState::Waiting) {
        stop(job, StopReason::Cancelled, UrgentGrace);
        if (job.state != JobState::Waiting) {
            return;
        }
    }
    m_decisions.emplace_back(CancelJob{job.request.id});
    erase(job);
}

Job *Scheduler::Implementation::findAttempt(const JobId &id, std::int64_t attempt)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->attempt != attempt || !m_active.contains(found->second->sequence)
        || found->second->state == JobState::Assigned) {
        return nullptr;
    }
    return found->second.get();
}

void Scheduler::Implementation::on(const GangStarted &event)
{
    Job *job = findAttempt(event.job, event.attempt);
    if (job == nullptr || job->state != JobState::Starting) {
        return;
    }
    job->state = JobState::Running;
    job->startedAt = m_now;
    job->checkpointedAt = m_now;
}

void Scheduler::Implementation::on(const GangStartFailed &event)
{
    Job *job = findAttempt(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Running) {
        return;
    }
    std::vector<WorkerIndex> refusedBy;
    for (const WorkerId &id : event.refusedBy) {
        const std::optional<WorkerIndex> worker = m_fleet.find(id);
        if (worker && m_fleet.usable(*worker)) {
            m_quarantine.recordRefusal(*job, *worker, m_now);
            refusedBy.push_back(*worker);
        }
    }
    if (job->probe) {
        m_quarantine.recordProbe(*job->probe, false, m_now);
    }
    release(*job);
    if (job->cancelRequested) {
        m_decisions.emplace_back(CancelJob{job->request.id});
        erase(*job);
    } else {
        requeue(*job, RetryDelay);
    }
    for (const WorkerIndex worker : refusedBy) {
        quarantineIfSuspect(worker);
    }
}

void Scheduler::Implementation::on(const GangStopped &event)
{
    Job *job = findAttempt(event.job, event.attempt);
    if (job == nullptr) {
        return;
    }
    if (event.checkpointed && job->startedAt != MonotonicTime{}) {
        job->checkpointedRun += m_now - job->checkpointedAt;
        job->hasCheckpoint = true;
    }
    if (job->probe) {
        m_quarantine.recordProbe(*job->probe, false, m_now);
    }
    release(*job);
    if (job->cancelRequested) {
        m_decisions.emplace_back(CancelJob{job->request.id});
        erase(*job);
        return;
    }
    std::string code;
    std::string reason;
    if (canNeverRun(*job, code, reason)) {
        m_decisions.emplace_back(FailJob{job->request.id, "stopped, and cannot run again: " + reason});
        erase(*job);
        return;
    }
    requeue(*job, Duration::zero());
}

void Scheduler::Implementation::on(const GangCheckpointed &event)
{
    Job *job = findAttempt(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Starting) {
        return;
    }
    job->checkpointedRun += m_now - job->checkpointedAt;
    job->checkpointedAt = m_now;
    job->hasCheckpoint = true;
}

void Scheduler::Implementation::on(const GangEnded &event)
{
    Job *job = findAttempt(event.job, event.attempt);
    if (job == nullptr) {
        return;
    }
    if (!event.succeeded) {
        handleGangFailure(*job, event.failedOn);
        return;
    }
    m_estimator.recordRun(job->request, job->checkpointedRun + (m_now - job->checkpointedAt));
    m_quarantine.recordSuccess(*job, job->parts);
    if (job->probe && m_quarantine.contains(*job->probe)) {
        const WorkerIndex worker = *job->probe;
        if (m_quarantine.recordProbe(worker, true, m_now)) {
            m_quarantine.removeWorker(worker);
            m_fleet.setQuarantined(worker, false);
            m_decisions.emplace_back(ReleaseWorker{m_fleet.worker(worker).spec.id});
            m_fleetChanged = true;
        }
    }
    release(*job);
    m_decisions.emplace_back(FinishJob{job->request.id});
    erase(*job);
}

void Scheduler::Implementation::handleGangFailure(Job &job, const WorkerId &failedOn)
{
    const std::optional<WorkerIndex> worker = m_fleet.find(failedOn);
    if (worker) {
        m_quarantine.recordFailure(job, *worker, m_now);
        const bool known
            = std::find(job.avoidedWorkers.begin(), job.avoidedWorkers.end(), *worker) != job.avoidedWorkers.end();
        if (!known && !m_quarantine.contains(*worker)) {
            job.avoidedWorkers.push_back(*worker);
            if (job.avoidedWorkers.size() > MaximumAvoidedWorkers) {
                job.avoidedWorkers.erase(job.avoidedWorkers.begin());
            }
        }
    }
    ++job.failures;
    if (job.probe) {
        m_quarantine.recordProbe(*job.probe, worker != job.probe, m_now);
    }
    release(job);
    if (job.cancelRequested) {
        m_decisions.emplace_back(CancelJob{job.request.id});
        erase(job);
        return;
    }
    if (worker) {
        quarantineIfSuspect(*worker);
    }
    // Failures on workers that are now in quarantine do not count against the job.
    const auto blamed = std::count_if(job.avoidedWorkers.begin(),
                                      job.avoidedWorkers.end(),
                                      [this](WorkerIndex avoided) { return !m_quarantine.contains(avoided); });
    constexpr std::int64_t MaximumTotalFailures = 3 * MaximumFailures;
    if (blamed >= MaximumFailures || job.failures >= MaximumTotalFailures) {
        m_decisions.emplace_back(FailJob{job.request.id,
                                         "failed " + std::to_string(job.failures) + " times, on "
                                             + std::to_string(blamed) + " workers that are not in quarantine"});
        erase(job);
        return;
    }
    std::string code;
    std::string reason;
    if (canNeverRun(job, code, reason)) {
        m_decisions.emplace_back(FailJob{job.request.id, "failed, and cannot run again: " + reason});
        erase(job);
        return;
    }
    requeue(job, RetryDelay);
}

void Scheduler::Implementation::on(const UsageObserved &event)
{
    const auto found = m_jobs.find(event.job);
    if (found == m_jobs.end() || found->second->state != JobState::Running) {
        return;
    }
    Job &job = *found->second;
    m_estimator.recordUse(job.request, event.used);
    if (!exceeds(event.used.cores, job.size.cores) && !exceeds(event.used.memory, job.size.memory)) {
        return;
    }
    ++job.overSizeObservations;
    const bool memory = exceeds(event.used.memory, job.size.memory);
    if (!memory || job.overSizeObservations == 1) {
        if (job.overSizeObservations == 1) {
            m_decisions.emplace_back(ThrottleTask{job.request.id, event.worker, job.size.cores});
        }
        return;
    }
    if (job.overSizeObservations >= OverSizeObservationsToStop) {
        m_estimator.recordOverSize(job.request, {job.size.cores, enlarged(event.used.memory), {}});
        stop(job, StopReason::OverSize, MaximumCheckpointGrace);
    }
}

void Scheduler::Implementation::on(const Tick &) { }

void Scheduler::Implementation::enqueue(Job &job)
{
    job.state = JobState::Waiting;
    job.queuedAt = m_now;
    job.rank = m_policy.rank(job, remainingRun(job));
    m_queue.add(job);
    if (job.request.useGuarantee && m_policy.honoursGuarantees && job.request.perTask.accelerators.count() > 0) {
        m_claimants[job.organisation].emplace(job.request.jobClass, job.rank, job.sequence, &job);
    }
}

void Scheduler::Implementation::dequeue(Job &job)
{
    m_queue.remove(job);
    const auto claimants = m_claimants.find(job.organisation);
    if (claimants != m_claimants.end()) {
        claimants->second.erase({job.request.jobClass, job.rank, job.sequence, &job});
        if (claimants->second.empty()) {
            m_claimants.erase(claimants);
        }
    }
    if (m_reservation.holder == &job) {
        m_reservation.holder = nullptr;
        m_passNeeded = true;
    }
}

void Scheduler::Implementation::release(Job &job)
{
    if (job.guaranteed) {
        m_guaranteeTable.claim(m_fleet, job.organisation, job, -1);
        job.guaranteed = false;
    }
    m_shares.charge(job, m_fleet.usableCapacity(), -1, m_now);
    m_fleet.deallocate(job);
    m_active.erase(job.sequence);
    m_assigned.erase(job.sequence);
    job.probe.reset();
    job.overSizeObservations = 0;
    job.startedAt = {};
    m_passNeeded = true;
}

void Scheduler::Implementation::requeue(Job &job, Duration delay)
{
    job.notBefore = m_now + delay;
    if (delay > Duration::zero()) {
        m_nextRetry = std::min(m_nextRetry, job.notBefore);
    }
    enqueue(job);
}

void Scheduler::Implementation::refuse(Job &job, std::string code, std::string reason)
{
    if (job.hasStarted) {
        m_decisions.emplace_back(FailJob{job.request.id, code + ": " + reason});
    } else {
        m_decisions.emplace_back(RefuseJob{job.request.id, std::move(code), std::move(reason)});
    }
    erase(job);
}

void Scheduler::Implementation::erase(Job &job)
{
    if (job.state == JobState::Waiting && m_queue.contains(job)) {
        dequeue(job);
    }
    if (m_submittedJob == &job) {
        m_submittedJob = nullptr;
    }
    m_shares.countJob(job, -1);
    const JobId id = job.request.id;
    m_jobs.erase(id);
}

void Scheduler::Implementation::stop(Job &job, StopReason reason, Duration grace)
{
    if (job.state == JobState::Waiting || job.state == JobState::Stopping) {
        return;
    }
    if (job.state == JobState::Assigned) {
        release(job);
        requeue(job, Duration::zero());
        return;
    }
    job.preemptions += reason == StopReason::Preempted ? 1 : 0;
    job.movedByCompaction = reason == StopReason::Compaction;
    job.stopReason = reason;
    job.state = JobState::Stopping;
    const bool checkpoint = job.request.canCheckpoint && reason != StopReason::Cancelled;
    m_decisions.emplace_back(StopGang{job.request.id, job.attempt, reason, checkpoint, m_now + grace});
}

} // namespace coriander::decision
