#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Placement.h"

#include <cstdint>
#include <map>

namespace coriander::workflow {

/**
 * Racks that are kept for urgent work, so that it finds room without stopping other work. Their number follows what
 * urgent work asked for lately. Thread safety: none.
 */
class UrgentReserve
{
public:
    /** Accelerators that the unfinished urgent jobs of each pool ask for. */
    using Demand = std::map<ServiceName, std::int64_t>;

    /** Takes note of the demand at @p now and marks the reserved entries of @p board. */
    void apply(const Demand &demand, PlacementBoard &board, MonotonicTime now);

private:
    struct Pool {
        /** Highest recent demand, in accelerators; decays when the demand falls. */
        double peak = 0;
        MonotonicTime updatedAt;
        /** Racks that are reserved now. */
        std::size_t racks = 0;
    };

    std::map<ServiceName, Pool> m_pools;
};

} // namespace coriander::workflow
