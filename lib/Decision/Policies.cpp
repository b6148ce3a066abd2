#include "corianderscale/Decision/Placement.h"
#include "corianderscale/Decision/Scheduler.h"

#include <algorithm>
#include <cmath>

namespace coriander::decision {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double byArrival(const Job &job, Duration)
{
    return static_cast<double>(job.sequence);
}

double arrivalOrder(const OrderInput &input)
{
    return static_cast<double>(input.job->sequence);
}

double neverPreempt(const VictimInput &)
{
    return NotPreemptible;
}

/** First come, first served; a job that does not fit blocks all later ones. No classes, shares or guarantees. */
Policy fifoFirstFit()
{
    Policy policy;
    policy.name = "fifo-first-fit";
    policy.rank = byArrival;
    policy.order = arrivalOrder;
    policy.chooseWorkers = placeFirstFit;
    policy.victimCost = neverPreempt;
    policy.mayBorrow = [](const LendingInput &) {
        return true;
    };
    policy.blocking = Blocking::Everybody;
    return policy;
}

/**
 * Every organisation stays within its quota, or within its guarantees when it has no quota; nothing is lent. A job
 * larger than that limit starts only while its organisation holds nothing, because it would never run otherwise.
 */
Policy quotaBestFit()
{
    Policy policy = fifoFirstFit();
    policy.name = "quota-best-fit";
    policy.blocking = Blocking::Organisation;
    policy.chooseWorkers = placeBestFit;
    policy.mayBorrow = [](const LendingInput &input) {
        const std::int64_t bound = input.quota > 0 ? input.quota : input.guaranteedAccelerators;
        return bound == 0 || input.heldByOrganisation == 0
            || input.heldByOrganisation + gangAccelerators(*input.job) <= bound;
    };
    return policy;
}

/** Like fifo-first-fit, but jobs that fit may overtake one that does not; a stronger baseline without a target. */
Policy fifoBackfill()
{
    Policy policy = fifoFirstFit();
    policy.name = "fifo-backfill";
    policy.blocking = Blocking::Nobody;
    return policy;
}

double shortestFirst(const Job &, Duration expectedRun)
{
    return seconds(expectedRun);
}

double fairShareScore(const OrderInput &input)
{
    // Classes are strict: the spacing exceeds any score within a class.
    constexpr double ClassSpacing = 1e12;
    // Without this floor a caller without any service would always come first.
    constexpr double ShareFloor = 0.25;
    const double run = std::max(seconds(input.expectedRun), 1.0);
    const double share = (ShareFloor + input.organisationShare) * (ShareFloor + input.callerShare);
    // The score falls with the waiting time relative to the run time, so that long jobs do not starve.
    const double aging = 1.0 + seconds(input.waited) / run;
    const double score = input.job->movedByCompaction ? 0.0 : run * share / aging;
    return static_cast<double>(input.job->request.jobClass) * ClassSpacing + score;
}

/** A victim must have run this long, and must still need this long, to be preempted by a job that is not urgent. */
constexpr Duration MinimumRunTime = std::chrono::minutes(2);
/** Jobs of a caller below this part of its fair share are not preempted when only its organisation is over-served. */
constexpr double SmallCallerShare = 0.5;
/** Minimum ratio of the share of the victim's caller to that of the claimant's caller. */
constexpr double MinimumShareRatio = 2.0;
/**
 * A job that has waited this many times its run time, and at least MinimumStarvationWait, may preempt jobs of
 * over-served callers and organisations.
 */
constexpr std::int64_t StarvationWaitFactor = 3;
constexpr Duration MinimumStarvationWait = std::chrono::minutes(10);
/** Minimum ratio of the victim's remaining run time to the claimant's run time for a preemption by a shorter job. */
constexpr double MinimumRunTimeRatio = 4.0;

double preemptionCost(const VictimInput &input)
{
    const double accelerators = static_cast<double>(std::max<std::int64_t>(gangAccelerators(*input.victim), 1));
    // Restarting costs about 30 s on every accelerator of the gang, in addition to the lost work.
    constexpr double RestartSeconds = 30;
    const double cost = accelerators * (RestartSeconds + seconds(input.lostRunTime));
    if (input.claim) {
        return cost;
    }
    const JobClass claimant = input.claimant->request.jobClass;
    const JobClass victim = input.victim->request.jobClass;
    if (claimant == JobClass::Urgent && victim != JobClass::Urgent) {
        return cost;
    }
    // A claimant that is not urgent only preempts jobs that have run for a while and will not end soon.
    if (claimant > victim || input.victimRan < MinimumRunTime || input.victimRemaining < MinimumRunTime) {
        return NotPreemptible;
    }
    const bool moreUrgent = claimant < victim;
    const bool callerOverServed = input.victimCallerShare > 1.0;
    const bool organisationOverServed = input.victimOrganisationShare > 1.0;
    const bool underServed = input.sameOrganisation
        ? callerOverServed && input.victimCallerShare > MinimumShareRatio * input.claimantCallerShare
        : organisationOverServed && input.victimCallerShare > SmallCallerShare && input.claimantOrganisationShare < 1.0;
    const bool starving
        = input.claimantWaited > std::max(MinimumStarvationWait, StarvationWaitFactor * input.claimantRemaining)
        && (input.sameOrganisation ? callerOverServed : organisationOverServed);
    if (input.lostRunTime > Duration::zero() && !underServed && !starving) {
        return NotPreemptible;
    }
    const bool muchShorter = seconds(input.claimantRemaining) * MinimumRunTimeRatio < seconds(input.victimRemaining)
        && (input.sameOrganisation || input.claimantOrganisationShare < 1.0 || organisationOverServed);
    return moreUrgent || underServed || starving || muchShorter ? cost : NotPreemptible;
}

Policy corianderscale()
{
    Policy policy;
    policy.name = "corianderscale";
    policy.rank = shortestFirst;
    policy.order = fairShareScore;
    policy.chooseWorkers = placeTightest;
    policy.victimCost = preemptionCost;
    policy.mayBorrow = [](const LendingInput &input) {
        return input.quota == 0 || input.heldByOrganisation + gangAccelerators(*input.job) <= input.quota;
    };
    policy.honoursGuarantees = true;
    policy.preempts = true;
    policy.reserves = true;
    policy.learns = true;
    policy.quarantines = true;
    policy.checkpoints = true;
    policy.compacts = true;
    policy.headroom = 0.1;
    return policy;
}

} // namespace

std::optional<Policy> makePolicy(std::string_view name)
{
    if (name == "corianderscale") {
        return corianderscale();
    }
    if (name == "fifo-first-fit") {
        return fifoFirstFit();
    }
    if (name == "fifo-backfill") {
        return fifoBackfill();
    }
    if (name == "quota-best-fit") {
        return quotaBestFit();
    }
    return std::nullopt;
}

} // namespace coriander::decision
