#include "corianderscale/Decision/RunLimits.h"

#include <algorithm>

namespace coriander::decision {

namespace {

/** A run takes less than 2 kB of the owner: 10,000 took 18 MB. */
constexpr std::size_t MaximumRuns = 20000;
constexpr std::size_t MaximumRunsPerWorker = 2000;
/** Tasks that a job of which nothing runs may have in the upper half of the runs, if they start one by one. */
constexpr std::size_t FirstTasks = 16;

std::size_t maximumRuns(const RunCounts &counts)
{
    return std::min(MaximumRuns, counts.workers * MaximumRunsPerWorker);
}

std::size_t difference(std::size_t most, std::size_t used)
{
    return most - std::min(most, used);
}

} // namespace

RunAllowance sharedRuns(const RunCounts &counts)
{
    return {difference(maximumRuns(counts) / 2, counts.all), MaximumRunsPerWorker / 2};
}

RunAllowance firstRuns(const RunCounts &counts, std::size_t together)
{
    return {std::min(std::max(FirstTasks, together), difference(maximumRuns(counts), counts.all)),
            MaximumRunsPerWorker};
}

bool hasNoSharedRuns(std::size_t runsOnWorker)
{
    return runsOnWorker >= MaximumRunsPerWorker / 2;
}

} // namespace coriander::decision
