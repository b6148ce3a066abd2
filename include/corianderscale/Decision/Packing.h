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

/** Maximum number of search steps when a document is checked. */
inline constexpr std::int64_t DocumentPackSteps = 200000;
/** Maximum number of search steps while the scheduler runs; bounds the time of one decision after a lost worker. */
inline constexpr std::int64_t RepairPackSteps = 5000;

/**
 * Packs all items at once, or returns no value. Exact unless the search uses up @p budget steps; it may then miss an
 * existing packing, but a returned packing is always valid. On failure @p failedItem is the first item without a place
 * on the deepest path of the search.
 *
 * Items for one worker are tried on the worker with the fewest free accelerators first, items for one rack in the rack
 * with the fewest free accelerators first. Thread safety: pure function.
 */
std::optional<std::vector<std::vector<Pin>>> packItems(const std::vector<PackNode> &nodes,
                                                       const std::vector<PackItem> &items,
                                                       std::int64_t budget,
                                                       std::size_t &failedItem);

} // namespace coriander::decision
