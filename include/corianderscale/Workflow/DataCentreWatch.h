#pragma once

#include "corianderscale/Workflow/WorkerTable.h"

#include <map>
#include <set>

namespace coriander::workflow {

/**
 * Detects that all workers of a data centre stopped answering, before the orders to each of them time out.
 * Thread safety: none.
 */
class DataCentreWatch
{
public:
    /** The silent data centres, which get no new work at @p now. Empty if all are silent, because the fault is then
     * probably on the side of this instance. */
    std::set<DataCentreId> silentDataCentres(const WorkerTable &workers, MonotonicTime now);

private:
    struct SilentDataCentre {
        MonotonicTime since;
        /** When an order to one of its workers was last found overdue. */
        MonotonicTime overdueAt;
    };

    std::map<DataCentreId, SilentDataCentre> m_silent;
};

} // namespace coriander::workflow
