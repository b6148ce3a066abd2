#pragma once

#include "corianderscale/Workflow/Placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace coriander::workflow {

/** Room for tasks that is made by stopping runs. */
struct ReclaimPlan {
    /** One entry of the board for each task. */
    std::vector<std::size_t> entries;
    std::vector<std::pair<WorkerId, RunKey>> victims;
    double cost = 0;
};

/** Cost of stopping a run, or no value when it must go on. */
using VictimCost = std::function<std::optional<double>(const Worker &, const Run &)>;

/**
 * The cheapest way to make room for all tasks of @p need: in one rack when they want that and a rack can hold them,
 * else anywhere. Runs that are being stopped count as free. No value when even stopping all victims is not enough.
 *
 * Thread safety: pure but for the hook.
 */
std::optional<ReclaimPlan> planReclaim(const PlacementBoard &board,
                                       const PlacementNeed &need,
                                       const VictimCost &costOf);

} // namespace coriander::workflow
