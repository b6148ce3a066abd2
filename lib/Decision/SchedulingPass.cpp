#include "corianderscale/Decision/Placement.h"

#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** Number of job shapes (see FailedShape) that may fail to fit before a pass ends; bounds the time of one decision. */
constexpr std::size_t MaximumFailedShapes = 12;
/** Maximum number of jobs examined in one pass. */
constexpr std::size_t MaximumExaminedJobs = 400;
/** Maximum number of jobs of one caller and class examined in one pass. */
constexpr std::size_t MaximumExaminedJobsPerCaller = 16;
/** Number of jobs of one caller and class that may fail to start in one pass before the rest are skipped. */
constexpr std::size_t MaximumFailedJobsPerCaller = 4;
/** Maximum number of searches for preemption victims in one pass. */
constexpr std::size_t MaximumVictimSearches = 3;
/** How long an assigned job waits for the jobs it preempts to stop, before it is queued again. */
constexpr Duration AssignmentTimeout = MaximumCheckpointGrace + std::chrono::seconds(30);

/** What a job that did not fit needs: tasks, size of one task and closeness. */
struct FailedShape {
    std::int64_t tasks = 0;
    Resources size;
    Closeness closeness = Closeness::None;
    bool avoidsWorkers = false;
};

/** Whether @p job cannot fit because it needs at least as much as the shape that did not fit. */
bool impliesNoFit(const FailedShape &failed, const Job &job, const Resources &size)
{
    return !failed.avoidsWorkers && job.request.tasks >= failed.tasks && job.request.closeness >= failed.closeness
        && size.cores >= failed.size.cores && size.memory >= failed.size.memory
        && size.accelerators >= failed.size.accelerators;
}

} // namespace

void Scheduler::Implementation::schedule()
{
    if (m_now >= m_nextRetry) {
        m_nextRetry = NeverDue;
        m_passNeeded = true;
    }
    // Service is the decayed share of the fleet held over time, see ServiceMeter.
    m_meanWeightedService = 0;
    for (OrganisationIndex index = 0; index < m_shares.organisations().size(); ++index) {
        m_meanWeightedService += m_shares.weightedService(index, m_now);
    }
    m_meanWeightedService /= std::max<double>(1.0, static_cast<double>(m_shares.organisations().size()));
    startAssigned();
    if (!m_passNeeded) {
        // Whether the submitted job may be placed without regard to the other queued jobs.
        const bool mayIgnoreQueue = m_policy.blocking == Blocking::Nobody || m_queue.size() == 1;
        if (m_submittedJob != nullptr && isBelowFairShare(*m_submittedJob)) {
            m_lastUnderServedSubmission = m_now;
        }
        if (m_submittedJob != nullptr && !mayIgnoreQueue) {
            placeQueuedJobs();
        } else if (m_submittedJob != nullptr && m_submittedJob->state == JobState::Waiting) {
            Job &job = *m_submittedJob;
            m_submittedJob = nullptr;
            if (!tryClaim(job) && !tryPlace(job) && m_policy.preempts) {
                tryPreempt(job);
            }
        }
        return;
    }
    // A pass may itself free capacity, for example when an assigned job loses its workers to a claim.
    constexpr int MaximumPasses = 3;
    for (int pass = 0; pass < MaximumPasses && m_passNeeded; ++pass) {
        m_passNeeded = false;
        placeClaimants();
        placeQueuedJobs();
    }
}

bool Scheduler::Implementation::physicallyFits(const Job &job) const
{
    return std::all_of(job.parts.begin(), job.parts.end(), [&](const GangPart &part) {
        Resources free = m_fleet.worker(part.worker).spec.capacity;
        for (const Job *other : m_fleet.worker(part.worker).jobs) {
            if (other->state == JobState::Assigned) {
                continue;
            }
            for (const GangPart &used : other->parts) {
                if (used.worker == part.worker) {
                    free = free - other->size * used.tasks;
                }
            }
        }
        return countFitting(free, job.size, part.tasks) >= part.tasks;
    });
}

void Scheduler::Implementation::startAssigned()
{
    std::vector<Job *> ready;
    for (const auto &[sequence, job] : m_assigned) {
        ready.push_back(job);
    }
    // Jobs on guarantees start first, because the victims that they wait for may have the longest grace period.
    std::stable_partition(ready.begin(), ready.end(), [](const Job *job) { return job->guaranteed; });
    for (Job *job : ready) {
        if (physicallyFits(*job)) {
            m_assigned.erase(job->sequence);
            startGang(*job);
        }
    }
}

void Scheduler::Implementation::startGang(Job &job)
{
    job.state = JobState::Starting;
    job.hasStarted = true;
    ++job.attempt;
    m_decisions.emplace_back(
        StartGang{job.request.id, job.attempt, m_fleet.expand(job.parts), job.guaranteed, job.hasCheckpoint});
}

void Scheduler::Implementation::assignWorkers(
    Job &job, const Resources &size, GangParts parts, bool guaranteed, const std::vector<Job *> &victims)
{
    dequeue(job);
    job.size = size;
    job.parts = std::move(parts);
    job.guaranteed = guaranteed;
    m_fleet.allocate(job);
    m_shares.charge(job, m_fleet.usableCapacity(), /*sign=*/1, m_now);
    m_active.emplace(job.sequence, &job);
    if (guaranteed) {
        m_guaranteeTable.claim(m_fleet, job.organisation, job, /*sign=*/1);
    }
    if (victims.empty() && physicallyFits(job)) {
        startGang(job);
        return;
    }
    job.state = JobState::Assigned;
    job.assignedUntil = m_now + AssignmentTimeout;
    m_assigned.emplace(job.sequence, &job);
    preemptVictims(job, victims, job.request.jobClass == JobClass::Urgent ? UrgentGrace : MaximumCheckpointGrace);
    if (physicallyFits(job)) {
        m_assigned.erase(job.sequence);
        startGang(job);
    }
}

void Scheduler::Implementation::preemptVictims(Job &claimant, const std::vector<Job *> &victims, Duration grace)
{
    for (Job *victim : victims) {
        if (victim != &claimant) {
            stop(*victim, StopReason::Preempted, grace);
        }
    }
}

PlacementRequest Scheduler::Implementation::makePlacementRequest(const Job &job, const Resources &size) const
{
    PlacementRequest request;
    request.tasks = job.request.tasks;
    request.size = size;
    request.closeness = job.request.closeness;
    request.losesWork = !job.request.canCheckpoint;
    request.avoidedWorkers = job.avoidedWorkers;
    std::sort(request.avoidedWorkers.begin(), request.avoidedWorkers.end());
    if (!request.avoidedWorkers.empty()) {
        // If the job cannot fit on the other workers, none is avoided; the job would otherwise wait forever.
        if (!fitsWhenEmpty(usableWorkers(request.avoidedWorkers), request)) {
            request.avoidedWorkers.clear();
        }
    }
    return request;
}

std::vector<const FleetWorker *> Scheduler::Implementation::usableWorkers(
    const std::vector<WorkerIndex> &avoidedWorkers) const
{
    std::vector<const FleetWorker *> workers;
    for (WorkerIndex index = 0; index < m_fleet.workers().size(); ++index) {
        if (m_fleet.usable(index) && !std::binary_search(avoidedWorkers.begin(), avoidedWorkers.end(), index)) {
            workers.push_back(&m_fleet.worker(index));
        }
    }
    return workers;
}

bool Scheduler::Implementation::mayBorrow(const Job &job) const
{
    LendingInput input;
    input.job = &job;
    const OrganisationShare &share = m_shares.at(job.organisation);
    input.heldByOrganisation = share.accelerators;
    input.quota = share.policy.quota.count();
    input.guaranteedAccelerators = m_policy.honoursGuarantees ? m_guaranteeTable.guaranteed(job.organisation) : 0;
    for (const Guarantee &guarantee : share.policy.guarantees) {
        input.guaranteedAccelerators
            += m_policy.honoursGuarantees ? 0 : guarantee.accelerators.count() * guarantee.count;
    }
    return m_policy.mayBorrow(input);
}

bool Scheduler::Implementation::isBelowFairShare(const Job &job) const
{
    const double organisation = m_shares.organisationShareRatio(job.organisation);
    const double caller = m_shares.callerShareRatio(job.caller);
    // In an organisation that holds its fair share or more, only callers below half of theirs count as below. In an
    // organisation below half of its fair share, all callers do.
    constexpr double SmallShare = 0.5;
    return organisation < 1.0 ? caller <= 1.0 || organisation < SmallShare : caller < SmallShare;
}

bool Scheduler::Implementation::cutsIntoHeadroom(const Job &job) const
{
    // Headroom is kept for this long after a caller below its fair share last submitted a job.
    constexpr Duration HeadroomDuration = std::chrono::minutes(30);
    const std::int64_t accelerators = gangAccelerators(job);
    if (m_policy.headroom <= 0 || accelerators == 0 || job.movedByCompaction || job.request.jobClass == JobClass::Urgent
        || !m_lastUnderServedSubmission || m_now - *m_lastUnderServedSubmission > HeadroomDuration
        || isBelowFairShare(job)) {
        return false;
    }
    // A job that cannot checkpoint loses its work when it is preempted, so such a job borrows only while its
    // organisation holds less than its fair share.
    if (!job.request.canCheckpoint && m_shares.organisationShareRatio(job.organisation) >= 1.0) {
        return true;
    }
    std::int64_t free = 0;
    for (const FleetRack &rack : m_fleet.racks()) {
        free += rack.freeAccelerators;
    }
    const auto total = static_cast<double>(m_fleet.usableCapacity().accelerators.count());
    return static_cast<double>(free - accelerators) < m_policy.headroom * total;
}

bool Scheduler::Implementation::tryPlace(Job &job)
{
    if (job.notBefore > m_now || !mayBorrow(job) || cutsIntoHeadroom(job)) {
        return false;
    }
    // A single task prefers probing a quarantined worker to using a good one; a gang probes only if it fits nowhere
    // else.
    if (job.request.tasks == 1 && tryProbe(job)) {
        return true;
    }
    const Resources size = taskSize(job);
    PlacementRequest request = makePlacementRequest(job, size);
    // Workers reserved for another job are excluded unless this job ends before they are expected to be free.
    const bool reservedForOther = m_reservation.holder != nullptr && m_reservation.holder != &job;
    if (reservedForOther && m_now + remainingRun(job) > m_reservation.expectedFreeAt) {
        request.reserved = &m_reservation.workers;
    }
    std::optional<GangParts> parts = m_policy.chooseWorkers(m_fleet, request);
    if (!parts) {
        return job.request.tasks > 1 && tryProbe(job);
    }
    assignWorkers(job, size, std::move(*parts), false, {});
    return true;
}

bool Scheduler::Implementation::tryProbe(Job &job)
{
    const std::optional<WorkerIndex> worker = m_quarantine.dueForProbe(m_now);
    if (!worker) {
        return false;
    }
    const Resources size = taskSize(job);
    PlacementRequest request = makePlacementRequest(job, size);
    const bool timeCritical = job.request.jobClass == JobClass::Urgent || job.request.deadline != NeverDue;
    // Jobs that are urgent or have a deadline probe a quarantined worker only if they cannot fit on the usable ones.
    if (timeCritical && fitsWhenEmpty(usableWorkers({}), request)) {
        return false;
    }
    request.probe = worker;
    std::optional<GangParts> parts = m_policy.chooseWorkers(m_fleet, request);
    const auto onProbe = [&worker](const GangPart &part) {
        return part.worker == *worker;
    };
    if (!parts || std::none_of(parts->begin(), parts->end(), onProbe)) {
        return false;
    }
    m_quarantine.beginProbe(*worker);
    job.probe = worker;
    assignWorkers(job, size, std::move(*parts), false, {});
    return true;
}

bool Scheduler::Implementation::placeQueuedJobs()
{
    std::vector<Job *> candidates;
    std::vector<FailedShape> failed;
    std::map<std::pair<JobClass, std::uint32_t>, std::size_t> failedPerCaller;
    std::map<std::pair<JobClass, std::uint32_t>, std::size_t> examinedPerCaller;
    bool placedAny = false;
    std::size_t victimSearches = 0;
    std::set<OrganisationIndex> blocked;
    // The queue must not change while it is visited, so candidates are collected first, in order.
    m_queue.visitInOrder([this](const Job &job) { return queueScore(job); },
                         [&](Job &job) {
                             candidates.push_back(&job);
                             if (m_policy.blocking != Blocking::Nobody) {
                                 return JobQueue::Next::Continue;
                             }
                             if (candidates.size() >= MaximumExaminedJobs) {
                                 return JobQueue::Next::Stop;
                             }
                             // Without this limit the jobs of one caller could use up the whole pass.
                             return ++examinedPerCaller[{job.request.jobClass, job.caller}]
                                     >= MaximumExaminedJobsPerCaller
                                 ? JobQueue::Next::SkipCaller
                                 : JobQueue::Next::Continue;
                         });
    for (Job *job : candidates) {
        if (job->state != JobState::Waiting || failed.size() >= MaximumFailedShapes
            || blocked.contains(job->organisation)) {
            continue;
        }
        std::size_t &callerFailures = failedPerCaller[{job->request.jobClass, job->caller}];
        if (callerFailures >= MaximumFailedJobsPerCaller) {
            continue;
        }
        if (job->notBefore > m_now) {
            m_nextRetry = std::min(m_nextRetry, job->notBefore);
            continue;
        }
        if (!mayBorrow(*job)) {
            if (m_policy.blocking != Blocking::Nobody) {
                blocked.insert(job->organisation);
            }
            continue;
        }
        if (cutsIntoHeadroom(*job)) {
            ++callerFailures;
            continue;
        }
        const Resources size = taskSize(*job);
        const bool cannotFit = std::any_of(
            failed.begin(), failed.end(), [&](const FailedShape &shape) { return impliesNoFit(shape, *job, size); });
        if (!cannotFit && tryPlace(*job)) {
            placedAny = true;
            continue;
        }
        const bool mayPreempt
            = m_policy.preempts && (job->request.jobClass == JobClass::Urgent || isBelowFairShare(*job));
        if (mayPreempt && victimSearches < MaximumVictimSearches) {
            ++victimSearches;
            if (tryPreempt(*job)) {
                placedAny = true;
                continue;
            }
        }
        if (m_policy.blocking == Blocking::Everybody) {
            break;
        }
        if (m_policy.blocking == Blocking::Organisation) {
            blocked.insert(job->organisation);
            continue;
        }
        if (!cannotFit) {
            failed.push_back({job->request.tasks, size, job->request.closeness, !job->avoidedWorkers.empty()});
            ++callerFailures;
        }
        if (m_policy.reserves && m_reservation.holder == nullptr) {
            reserveWorkers(*job, size);
        }
    }
    return placedAny;
}

double Scheduler::Implementation::victimCost(const Job &victim, const Job &claimant, bool claim) const
{
    if (victim.guaranteed || &victim == &claimant) {
        return NotPreemptible;
    }
    if (claim && (victim.state == JobState::Stopping || victim.state == JobState::Assigned)) {
        // The victim is stopping already or has not started, so no work is lost. After a lost member the gang may
        // take the whole lease term to stop, so it is chosen last. The cost is in accelerator-seconds.
        constexpr double LostMemberCost = 1e6;
        return victim.stopReason == StopReason::MemberLost && victim.state == JobState::Stopping ? LostMemberCost : 0.0;
    }
    if (victim.state != JobState::Running && !(claim && victim.state == JobState::Starting)) {
        return NotPreemptible;
    }
    VictimInput input;
    input.victim = &victim;
    input.claimant = &claimant;
    input.claim = claim;
    input.victimRan = victim.state == JobState::Running ? m_now - victim.startedAt : Duration::zero();
    const Duration sinceCheckpoint = m_now - victim.checkpointedAt;
    const bool keepsWork = victim.request.canCheckpoint && claimant.request.jobClass != JobClass::Urgent;
    input.lostRunTime = keepsWork || victim.state != JobState::Running ? Duration::zero() : sinceCheckpoint;
    input.victimRemaining = remainingRun(victim);
    input.claimantRemaining = remainingRun(claimant);
    input.sameOrganisation = victim.organisation == claimant.organisation;
    input.victimOrganisationShare = m_shares.organisationShareRatio(victim.organisation);
    input.claimantOrganisationShare = m_shares.organisationShareRatio(claimant.organisation);
    input.victimCallerShare = m_shares.callerShareRatio(victim.caller);
    input.claimantCallerShare = m_shares.callerShareRatio(claimant.caller);
    input.claimantWaited = m_now - claimant.queuedAt;
    return m_policy.victimCost(input);
}

bool Scheduler::Implementation::tryPreempt(Job &job)
{
    if (job.notBefore > m_now || !mayBorrow(job)) {
        return false;
    }
    const Resources size = taskSize(job);
    const PlacementRequest request = makePlacementRequest(job, size);
    const std::optional<VictimChoice> choice
        = chooseVictims(m_fleet, request, [&](const Job &victim) { return victimCost(victim, job, false); });
    const bool urgent = job.request.jobClass == JobClass::Urgent;
    // Half of the budget (accelerator-seconds that preemption may cost) is kept for callers below their fair share.
    const double withheldBudget = isBelowFairShare(job) ? 0.0 : m_maximumDisruptionBudget / 2;
    if (!choice || (!urgent && choice->cost > m_disruptionBudget - withheldBudget)) {
        return false;
    }
    m_disruptionBudget -= urgent ? 0.0 : choice->cost;
    assignWorkers(job, size, choice->parts, false, choice->victims);
    return true;
}

} // namespace coriander::decision
