#pragma once

#include "corianderscale/Decision/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriander::decision::test {

/** One instance of a guaranteed shape. */
struct ExactItem {
    std::string organisation;
    std::int64_t accelerators = 0;
    Closeness closeness = Closeness::Rack;
};

/** A usable worker. */
struct ExactWorker {
    std::string id;
    std::string rack;
    std::int64_t accelerators = 0;
};

/** Accelerators that an organisation's jobs on guarantees use, by organisation and worker. */
using ExactClaims = std::map<std::pair<std::string, std::string>, std::int64_t>;

/**
 * Whether all items can be placed at once so that each organisation's claims lie within its own items. Tries every
 * worker or rack for each item; the split over workers is decided by a maximum flow with lower bounds. Shares no code
 * with the library.
 */
bool isPackable(const std::vector<ExactWorker> &workers,
                const std::vector<ExactItem> &items,
                const ExactClaims &claims);

} // namespace coriander::decision::test
