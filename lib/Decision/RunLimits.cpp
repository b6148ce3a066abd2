#include "corianderscale/Decision/RunLimits.h"

#include <algorithm>

namespace coriander::decision {

namespace {

/** A run takes up to 1.5 kB of the owner, and some 60 bytes in each list of its worker. */
constexpr std::size_t MaximumRuns = 20000;
constexpr std::size_t MaximumRunsPerWorker = 2000;
/** Tasks that a job of which nothing runs may have in the upper half of the runs. */
constexpr std::size_t FirstTasks = 16;

std::size_t difference(std::size_t most, std::size_t used)
{
    return most - std::min(most, used);
}

} // namespace

RunAllowance allowedRuns(const RunCounts &counts)
{
    const std::size_t most = std::min(MaximumRuns, counts.workers * MaximumRunsPerWorker);
    const std::size_t shared = difference(most / 2, counts.all);
    const std::size_t first = std::min(FirstTasks, difference(most, counts.all));
    if (counts.ofJob > 0 || shared >= first) {
        return {shared, MaximumRunsPerWorker / 2};
    }
    return {first, MaximumRunsPerWorker};
}

} // namespace coriander::decision
