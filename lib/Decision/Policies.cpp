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

double neverVictim(const VictimInput &)
{
    return NotAVictim;
}

/** First come, first served; the first job that does not fit holds up all others. No classes, shares or guarantees. */
Policy fifoFirstFit()
{
    Policy policy;
    policy.name = "fifo-first-fit";
    policy.rank = byArrival;
    policy.order = arrivalOrder;
    policy.chooseWorkers = placeFirstFit;
    policy.victimCost = neverVictim;
    policy.mayBorrow = [](const LendingInput &) {
        return true;
    };
    policy.blocking = Blocking::Everybody;
    return policy;
}

/**
 * Every organisation stays inside its quota, or its guarantees when it has no quota; nothing is lent. A job larger than
 * that bound runs alone, because it would never run otherwise.
 */
Policy quotaBestFit()
{
    Policy policy = fifoFirstFit();
    policy.name = "quota-best-fit";
    policy.blocking = Blocking::Organisation;
    policy.chooseWorkers = placeBestFit;
    policy.mayBorrow = [](const LendingInput &input) {
        const std::int64_t bound = input.quota > 0 ? input.quota : input.guaranteed;
        return bound == 0 || input.heldByOrganisation == 0
            || input.heldByOrganisation + gangAccelerators(*input.job) <= bound;
    };
    return policy;
}

/** Like fifo-first-fit, but jobs that fit pass the one that does not; a stronger baseline without a target. */
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

double fairShortest(const OrderInput &input)
{
    // Classes are strict: the spacing exceeds any score inside a class.
    constexpr double ClassSpacing = 1e12;
    // Keeps a caller without any service from passing all others for ever.
    constexpr double ShareFloor = 0.25;
    const double run = std::max(seconds(input.expectedRun), 1.0);
    const double share = (ShareFloor + input.organisationShare) * (ShareFloor + input.callerShare);
    // The wait relative to the run time lets long jobs rise, so that none starves.
    const double aging = 1.0 + seconds(input.waited) / run;
    const double score = input.job->moved ? 0.0 : run * share / aging;
    return static_cast<double>(input.job->request.jobClass) * ClassSpacing + score;
}

/** Run time before a job may be stopped for fairness, and run time it must have left. */
constexpr Duration LeastRun = std::chrono::minutes(2);
/** A caller below this part of its organisation's share is not made to pay for the organisation. */
constexpr double SmallCaller = 0.5;
/** How far the share of a victim must exceed that of the claimant. */
constexpr double ShareGap = 2.0;
/** A job that waits this many times its run time, and at least this long, may stop jobs of over-served callers. */
constexpr std::int64_t StarvationFactor = 3;
constexpr Duration LeastStarvation = std::chrono::minutes(10);
/** How many times longer than the claimant a victim must still run. */
constexpr double ShorterFactor = 4.0;

double stopCost(const VictimInput &input)
{
    const double accelerators = static_cast<double>(std::max<std::int64_t>(gangAccelerators(*input.victim), 1));
    // Restarting costs about half a minute of every accelerator of the gang, apart from lost work.
    constexpr double RestartSeconds = 30;
    const double cost = accelerators * (RestartSeconds + seconds(input.lost));
    if (input.claim) {
        return cost;
    }
    const JobClass claimant = input.claimant->request.jobClass;
    const JobClass victim = input.victim->request.jobClass;
    if (claimant == JobClass::Urgent && victim != JobClass::Urgent) {
        return cost;
    }
    // Without urgency only work is stopped that has run for a while and goes on.
    if (claimant > victim || input.victimRan < LeastRun || input.victimLeft < LeastRun) {
        return NotAVictim;
    }
    const bool moreUrgent = claimant < victim;
    const bool callerAbove = input.victimCallerShare > 1.0;
    const bool organisationAbove = input.victimOrganisationShare > 1.0;
    const bool underServed = input.sameOrganisation
        ? callerAbove && input.victimCallerShare > ShareGap * input.claimantCallerShare
        : organisationAbove && input.victimCallerShare > SmallCaller && input.claimantOrganisationShare < 1.0;
    const bool starving = input.claimantWaited > std::max(LeastStarvation, StarvationFactor * input.claimantRun)
        && (input.sameOrganisation ? callerAbove : organisationAbove);
    if (input.lost > Duration::zero() && !underServed && !starving) {
        return NotAVictim;
    }
    const bool muchShorter = seconds(input.claimantRun) * ShorterFactor < seconds(input.victimLeft)
        && (input.sameOrganisation || input.claimantOrganisationShare < 1.0 || organisationAbove);
    return moreUrgent || underServed || starving || muchShorter ? cost : NotAVictim;
}

Policy corianderscale()
{
    Policy policy;
    policy.name = "corianderscale";
    policy.rank = shortestFirst;
    policy.order = fairShortest;
    policy.chooseWorkers = placeTightest;
    policy.victimCost = stopCost;
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
