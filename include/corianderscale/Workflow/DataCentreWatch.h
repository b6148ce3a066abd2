#pragma once

#include "corianderscale/Workflow/WorkerBook.h"

#include <map>
#include <set>

namespace coriander::workflow {

/**
 * Notices that all workers of a data centre stopped answering at once, long before the calls to each of them time out.
 * Thread safety: none.
 */
class DataCentreWatch
{
public:
    /** The data centres that get no new work at @p now. Empty when all are silent: then the fault is on this side. */
    std::set<DataCentreId> silentAt(const WorkerBook &workers, MonotonicTime now);

private:
    struct Silence {
        MonotonicTime since;
        /** When a call to one of its workers was last seen to be overdue. */
        MonotonicTime overdueAt;
    };

    std::map<DataCentreId, Silence> m_silent;
};

} // namespace coriander::workflow
