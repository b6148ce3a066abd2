#pragma once

#include "corianderscale/Workflow/Placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace coriander::workflow {

/** Runs to preempt so that tasks find room, and where the tasks are then placed. */
struct ReclaimPlan {
    /** One entry of the board for each task. */
    std::vector<std::size_t> entries;
    std::vector<std::pair<WorkerId, RunKey>> victims;
    /** Sum of the costs of the victims. */
    double cost = 0;
};

/** Cost of preempting a run, or no value if it must not be preempted. */
using VictimCost = std::function<std::optional<double>(const Worker &, const Run &)>;

/**
 * Plans how to make room for all tasks of @p need at low cost: in one rack if the need asks for it and a rack can hold
 * them, else anywhere. Room of runs that are being stopped counts as free. No value if preempting all victims does not
 * make enough room.
 *
 * Thread safety: pure, except for @p costOf.
 */
std::optional<ReclaimPlan> planReclaim(const PlacementBoard &board,
                                       const PlacementNeed &need,
                                       const VictimCost &costOf);

} // namespace coriander::workflow
