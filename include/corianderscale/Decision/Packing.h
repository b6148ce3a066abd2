#pragma once

#include "corianderscale/Decision/Job.h"

#include <optional>
#include <vector>

namespace coriander::decision {

/** Accelerators that a guarantee holds on one worker. */
struct Pin {
    WorkerIndex worker = 0;
    std::int64_t accelerators = 0;
};

/** Capacity of one worker for guarantees. */
struct PackNode {
    WorkerIndex worker = 0;
    std::uint32_t rack = 0;
    std::int64_t free = 0;
};

/** One instance of a guaranteed shape. */
struct PackItem {
    std::int64_t accelerators = 0;
    Closeness closeness = Closeness::Rack;
};

/** Steps of the search for checking a document. */
inline constexpr std::int64_t DocumentPackBudget = 200000;
/** Steps of the search while the scheduler runs; bounds the time of one decision after a lost worker. */
inline constexpr std::int64_t RepairPackBudget = 5000;

/**
 * Packs all items at once, or returns no value. Exact unless @p budget steps are used up; then a packing may have been
 * missed, never invented. On failure @p failedItem is the first item that had no place in the deepest try.
 *
 * Worker items are tried in the tightest worker first and rack items in the tightest rack first. Thread safety: pure
 * function.
 */
std::optional<std::vector<std::vector<Pin>>> packItems(const std::vector<PackNode> &nodes,
                                                       const std::vector<PackItem> &items,
                                                       std::int64_t budget,
                                                       std::size_t &failedItem);

} // namespace coriander::decision
