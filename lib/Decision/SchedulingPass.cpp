#include "corianderscale/Decision/Placement.h"

#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** Number of shapes that may fail to fit before a pass ends; bounds the time of one decision. */
constexpr std::size_t MaximumFailedShapes = 12;
/** Maximum number of jobs examined in one pass. */
constexpr std::size_t MaximumExamined = 400;
/** Maximum number of jobs of one caller and class examined in one pass. */
constexpr std::size_t MaximumExaminedPerCaller = 16;
/** Number of jobs of one caller and class that may fail to start in one pass before the rest are skipped. */
constexpr std::size_t MaximumFailedPerCaller = 4;
/** Maximum number of searches for preemption victims in one pass. */
constexpr std::size_t MaximumPreemptions = 3;
/** How long an assigned job waits for the jobs it preempts to stop, before it is queued again. */
constexpr Duration AssignedPatience = CheckpointBound + std::chrono::seconds(30);

struct FailedShape {
    std::int64_t tasks = 0;
    Resources size;
    Closeness closeness = Closeness::None;
    bool avoids = false;
};

/** Whether @p job cannot fit because it needs at least as much as the shape that did not fit. */
bool proves(const FailedShape &failed, const Job &job, const Resources &size)
{
    return !failed.avoids && job.request.tasks >= failed.tasks && job.request.closeness >= failed.closeness
        && size.cores >= failed.size.cores && size.memory >= failed.size.memory
        && size.accelerators >= failed.size.accelerators;
}

} // namespace

void Scheduler::Implementation::schedule()
{
    if (m_now >= m_nextRetry) {
        m_nextRetry = NeverDue;
        m_capacityFreed = true;
    }
    m_meanShare = 0;
    for (OrganisationIndex index = 0; index < m_shares.organisations().size(); ++index) {
        m_meanShare += m_shares.weighted(index, m_now);
    }
    m_meanShare /= std::max<double>(1.0, static_cast<double>(m_shares.organisations().size()));
    startAssigned();
    if (!m_capacityFreed) {
        const bool alone = m_policy.blocking == Blocking::Nobody || m_queue.size() == 1;
        if (m_fresh != nullptr && belowShare(*m_fresh)) {
            m_underServedAt = m_now;
        }
        if (m_fresh != nullptr && !alone) {
            passQueue();
        } else if (m_fresh != nullptr && m_fresh->state == JobState::Waiting) {
            Job &job = *m_fresh;
            m_fresh = nullptr;
            if (!tryClaim(job) && !tryPlace(job) && m_policy.preempts) {
                tryPreempt(job);
            }
        }
        return;
    }
    // A pass may itself free capacity, for example when an assigned job loses its workers to a claim.
    constexpr int MaximumPasses = 3;
    for (int pass = 0; pass < MaximumPasses && m_capacityFreed; ++pass) {
        m_capacityFreed = false;
        passClaims();
        passQueue();
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
    // Jobs on guarantees start first because they have waited for the longest grace period.
    std::stable_partition(ready.begin(), ready.end(), [](const Job *job) { return job->guaranteed; });
    for (Job *job : ready) {
        if (physicallyFits(*job)) {
            m_assigned.erase(job->sequence);
            begin(*job);
        }
    }
}

void Scheduler::Implementation::begin(Job &job)
{
    job.state = JobState::Starting;
    job.everStarted = true;
    ++job.attempt;
    m_decisions.emplace_back(
        StartGang{job.request.id, job.attempt, m_fleet.expand(job.parts), job.guaranteed, job.hasCheckpoint});
}

void Scheduler::Implementation::launch(
    Job &job, const Resources &size, GangParts parts, bool guaranteed, const std::vector<Job *> &victims)
{
    dequeue(job);
    job.size = size;
    job.parts = std::move(parts);
    job.guaranteed = guaranteed;
    m_fleet.occupy(job);
    m_shares.charge(job, m_fleet.usableCapacity(), 1, m_now);
    m_active.emplace(job.sequence, &job);
    if (guaranteed) {
        m_guarantees.claim(m_fleet, job.organisation, job, 1);
    }
    if (victims.empty() && physicallyFits(job)) {
        begin(job);
        return;
    }
    job.state = JobState::Assigned;
    job.assignedUntil = m_now + AssignedPatience;
    m_assigned.emplace(job.sequence, &job);
    makeRoom(job, victims, job.request.jobClass == JobClass::Urgent ? UrgentGrace : CheckpointBound);
    if (physicallyFits(job)) {
        m_assigned.erase(job.sequence);
        begin(job);
    }
}

void Scheduler::Implementation::makeRoom(Job &claimant, const std::vector<Job *> &victims, Duration grace)
{
    for (Job *victim : victims) {
        if (victim != &claimant) {
            stop(*victim, StopReason::Preempted, grace);
        }
    }
}

PlacementRequest Scheduler::Implementation::requestFor(const Job &job, const Resources &size) const
{
    PlacementRequest request;
    request.tasks = job.request.tasks;
    request.size = size;
    request.closeness = job.request.closeness;
    request.losesWork = !job.request.canCheckpoint;
    request.avoid = job.avoid;
    std::sort(request.avoid.begin(), request.avoid.end());
    if (!request.avoid.empty()) {
        // If the job cannot fit on the other workers, none is avoided; the job would otherwise wait forever.
        if (!fitsEmpty(usableWorkers(request.avoid), request)) {
            request.avoid.clear();
        }
    }
    return request;
}

std::vector<const FleetWorker *> Scheduler::Implementation::usableWorkers(const std::vector<WorkerIndex> &avoid) const
{
    std::vector<const FleetWorker *> workers;
    for (WorkerIndex index = 0; index < m_fleet.workers().size(); ++index) {
        if (m_fleet.usable(index) && !std::binary_search(avoid.begin(), avoid.end(), index)) {
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
    input.guaranteed = m_policy.honoursGuarantees ? m_guarantees.guaranteed(job.organisation) : 0;
    for (const Guarantee &guarantee : share.policy.guarantees) {
        input.guaranteed += m_policy.honoursGuarantees ? 0 : guarantee.accelerators.count() * guarantee.count;
    }
    return m_policy.mayBorrow(input);
}

bool Scheduler::Implementation::belowShare(const Job &job) const
{
    const double organisation = m_shares.heldByOrganisation(job.organisation);
    const double caller = m_shares.heldByCaller(job.caller);
    // In an organisation that holds its fair share or more, only callers below half of theirs count as below.
    constexpr double SmallCaller = 0.5;
    return organisation < 1.0 ? caller <= 1.0 || organisation < SmallCaller : caller < SmallCaller;
}

bool Scheduler::Implementation::takesHeadroom(const Job &job) const
{
    // Headroom is no longer kept when callers below their fair share have submitted no job for this long.
    constexpr Duration HeadroomMemory = std::chrono::minutes(30);
    const std::int64_t accelerators = gangAccelerators(job);
    if (m_policy.headroom <= 0 || accelerators == 0 || job.moved || job.request.jobClass == JobClass::Urgent
        || !m_underServedAt || m_now - *m_underServedAt > HeadroomMemory || belowShare(job)) {
        return false;
    }
    // Preempting a job that cannot checkpoint loses its work, so it borrows only within the organisation's fair share.
    if (!job.request.canCheckpoint && m_shares.heldByOrganisation(job.organisation) >= 1.0) {
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
    if (job.notBefore > m_now || !mayBorrow(job) || takesHeadroom(job)) {
        return false;
    }
    // A single task prefers probing a quarantined worker to using a good one; a gang probes only if it fits nowhere
    // else.
    if (job.request.tasks == 1 && tryProbe(job)) {
        return true;
    }
    const Resources size = sizeOf(job);
    PlacementRequest request = requestFor(job, size);
    const bool bound = m_reservation.holder != nullptr && m_reservation.holder != &job;
    if (bound && m_now + remainingRun(job) > m_reservation.at) {
        request.reserved = &m_reservation.workers;
    }
    std::optional<GangParts> parts = m_policy.chooseWorkers(m_fleet, request);
    if (!parts) {
        return job.request.tasks > 1 && tryProbe(job);
    }
    launch(job, size, std::move(*parts), false, {});
    return true;
}

bool Scheduler::Implementation::tryProbe(Job &job)
{
    const std::optional<WorkerIndex> worker = m_quarantine.dueForProbe(m_now);
    if (!worker) {
        return false;
    }
    const Resources size = sizeOf(job);
    PlacementRequest request = requestFor(job, size);
    const bool pressing = job.request.jobClass == JobClass::Urgent || job.request.deadline != NeverDue;
    // Jobs that are urgent or have a deadline probe a quarantined worker only if they cannot fit on the usable ones.
    if (pressing && fitsEmpty(usableWorkers({}), request)) {
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
    launch(job, size, std::move(*parts), false, {});
    return true;
}

bool Scheduler::Implementation::passQueue()
{
    std::vector<Job *> candidates;
    std::vector<FailedShape> failed;
    std::map<std::pair<JobClass, std::uint32_t>, std::size_t> failedPerCaller;
    std::map<std::pair<JobClass, std::uint32_t>, std::size_t> examinedPerCaller;
    bool placedAny = false;
    std::size_t preemptions = 0;
    std::set<OrganisationIndex> blocked;
    // The queue must not change while it is visited, so candidates are collected first, in order.
    m_queue.inOrder([this](const Job &job) { return orderOf(job); },
                    [&](Job &job) {
                        candidates.push_back(&job);
                        if (m_policy.blocking != Blocking::Nobody) {
                            return JobQueue::Next::Continue;
                        }
                        if (candidates.size() >= MaximumExamined) {
                            return JobQueue::Next::Stop;
                        }
                        // Without this limit the jobs of one caller could use up the whole pass.
                        return ++examinedPerCaller[{job.request.jobClass, job.caller}] >= MaximumExaminedPerCaller
                            ? JobQueue::Next::SkipCaller
                            : JobQueue::Next::Continue;
                    });
    for (Job *job : candidates) {
        if (job->state != JobState::Waiting || failed.size() >= MaximumFailedShapes
            || blocked.contains(job->organisation)) {
            continue;
        }
        std::size_t &callerFailures = failedPerCaller[{job->request.jobClass, job->caller}];
        if (callerFailures >= MaximumFailedPerCaller) {
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
        if (takesHeadroom(*job)) {
            ++callerFailures;
            continue;
        }
        const Resources size = sizeOf(*job);
        const bool hopeless = std::any_of(
            failed.begin(), failed.end(), [&](const FailedShape &shape) { return proves(shape, *job, size); });
        if (!hopeless && tryPlace(*job)) {
            placedAny = true;
            continue;
        }
        const bool mayPreempt = m_policy.preempts && (job->request.jobClass == JobClass::Urgent || belowShare(*job));
        if (mayPreempt && preemptions < MaximumPreemptions) {
            ++preemptions;
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
        if (!hopeless) {
            failed.push_back({job->request.tasks, size, job->request.closeness, !job->avoid.empty()});
            ++callerFailures;
        }
        if (m_policy.reserves && m_reservation.holder == nullptr) {
            reserveFor(*job, size);
        }
    }
    return placedAny;
}

double Scheduler::Implementation::victimCost(const Job &victim, const Job &claimant, bool claim) const
{
    if (victim.guaranteed || &victim == &claimant) {
        return NotAVictim;
    }
    if (claim && (victim.state == JobState::Stopping || victim.state == JobState::Assigned)) {
        // The victim is stopping already or has not started, so no work is lost. After a lost member the gang may
        // take the whole lease term to stop, so it is chosen last.
        constexpr double LostMemberCost = 1e6;
        return victim.stopReason == StopReason::MemberLost && victim.state == JobState::Stopping ? LostMemberCost : 0.0;
    }
    if (victim.state != JobState::Running && !(claim && victim.state == JobState::Starting)) {
        return NotAVictim;
    }
    VictimInput input;
    input.victim = &victim;
    input.claimant = &claimant;
    input.claim = claim;
    input.victimRan = victim.state == JobState::Running ? m_now - victim.startedAt : Duration::zero();
    const Duration sinceCheckpoint = m_now - victim.checkpointedAt;
    const bool keeps = victim.request.canCheckpoint && claimant.request.jobClass != JobClass::Urgent;
    input.lost = keeps || victim.state != JobState::Running ? Duration::zero() : sinceCheckpoint;
    input.victimLeft = remainingRun(victim);
    input.claimantRun = remainingRun(claimant);
    input.sameOrganisation = victim.organisation == claimant.organisation;
    input.victimOrganisationShare = m_shares.heldByOrganisation(victim.organisation);
    input.claimantOrganisationShare = m_shares.heldByOrganisation(claimant.organisation);
    input.victimCallerShare = m_shares.heldByCaller(victim.caller);
    input.claimantCallerShare = m_shares.heldByCaller(claimant.caller);
    input.claimantWaited = m_now - claimant.queuedAt;
    return m_policy.victimCost(input);
}

bool Scheduler::Implementation::tryPreempt(Job &job)
{
    if (job.notBefore > m_now || !mayBorrow(job)) {
        return false;
    }
    const Resources size = sizeOf(job);
    const PlacementRequest request = requestFor(job, size);
    const std::optional<VictimChoice> choice
        = chooseVictims(m_fleet, request, [&](const Job &victim) { return victimCost(victim, job, false); });
    const bool urgent = job.request.jobClass == JobClass::Urgent;
    // Half of the budget is kept for callers below their fair share.
    const double kept = belowShare(job) ? 0.0 : m_largestMoveBudget / 2;
    if (!choice || (!urgent && choice->cost > m_moveBudget - kept)) {
        return false;
    }
    m_moveBudget -= urgent ? 0.0 : choice->cost;
    launch(job, size, choice->parts, false, choice->victims);
    return true;
}

} // namespace coriander::decision
