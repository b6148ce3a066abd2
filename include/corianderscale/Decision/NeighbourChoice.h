#pragma once

#include "corianderscale/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coriander::decision {

/** An instance that may serve a call in place of another one. */
struct NeighbourView {
    bool sameDataCentre = false;
    /** Time since it last did not answer or had no store; no value if that never happened. */
    std::optional<Duration> sinceFailure;
};

/**
 * The neighbours to ask for a call that this instance cannot serve, as indices in the order of asking.
 *
 * Load pattern: the store turns a third of the instances away while callers keep their connections to them. The calls
 * of one instance spread over all its neighbours by @p seed. Those of the same data centre come first, because traffic
 * between data centres costs money. Neighbours that failed lately are asked last, and not at all while others are left.
 *
 * Thread safety: pure.
 */
std::vector<std::size_t> chooseNeighbours(const std::vector<NeighbourView> &neighbours,
                                          std::uint64_t seed,
                                          std::size_t most);

} // namespace coriander::decision
