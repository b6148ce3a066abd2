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

/** First come, first served; a job that does not fit is passed over. No classes, shares or guarantees. */
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
    policy.chooseWorkers = placeBestFit;
    policy.mayBorrow = [](const LendingInput &input) {
        const std::int64_t bound = input.quota > 0 ? input.quota : input.guaranteed;
        return bound == 0 || input.heldByOrganisation == 0
            || input.heldByOrganisation + gangAccelerators(*input.job) <= bound;
    };
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
    return static_cast<double>(input.job->request.jobClass) * ClassSpacing + run * share / aging;
}

double stopCost(const VictimInput &input)
{
    const double accelerators = static_cast<double>(std::max<std::int64_t>(gangAccelerators(*input.victim), 1));
    // Restarting costs about half a minute of every accelerator of the gang, apart from lost work.
    constexpr double RestartSeconds = 30;
    const double cost = accelerators * (RestartSeconds + seconds(input.lost));
    if (input.claim) {
        return cost;
    }
    if (input.claimant->request.jobClass == JobClass::Urgent && input.victim->request.jobClass != JobClass::Urgent) {
        return cost;
    }
    return NotAVictim;
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
    if (name == "quota-best-fit") {
        return quotaBestFit();
    }
    return std::nullopt;
}

} // namespace coriander::decision
