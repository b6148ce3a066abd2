#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Placement.h"

#include <cstdint>
#include <map>

namespace coriander::workflow {

/**
 * Reserves racks for urgent work, so that it finds room without preempting other work. Their number follows the recent
 * demand of urgent work. Thread safety: none.
 */
class UrgentReserve
{
public:
    /** Number of accelerators that the unfinished urgent jobs of each pool request. */
    using Demand = std::map<ServiceName, std::int64_t>;

    /** Updates the reserve with the demand at @p now and marks the reserved entries of @p board. */
    void apply(const Demand &demand, PlacementBoard &board, MonotonicTime now);

private:
    struct Pool {
        /** Highest recent demand, in accelerators; decays exponentially while the demand is lower. */
        double peak = 0;
        MonotonicTime updatedAt;
        /** Number of racks reserved in the last pass. */
        std::size_t racks = 0;
    };

    std::map<ServiceName, Pool> m_pools;
};

} // namespace coriander::workflow
