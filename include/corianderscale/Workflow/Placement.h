#pragma once

#include "corianderscale/Workflow/WorkerBook.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace coriander::workflow {

/** Tasks of one step that want workers. */
struct PlacementNeed {
    std::size_t tasks = 1;
    decision::Resources perTask;
    ServiceName service;
    std::string requiredLabel;
    RackId dataRack;
    bool sameRack = false;
    /** Most tasks of the step on one worker; 0 for no bound. */
    std::size_t mostPerWorker = 0;
    /** Tasks of the step that workers hold already; read only with a bound. */
    std::map<WorkerId, std::size_t> held;
    /** Workers to use only when nothing else is left. */
    std::set<WorkerId> avoid;
};

/** What a worker has free for the need; workers that may not be used have no entry. */
using FreeRoom = std::map<WorkerId, decision::Resources>;

/** Whether @p worker may take new runs at @p now. */
bool takesWork(const Worker &worker, MonotonicTime now);

/** Whether the worker fits service and label of the need. */
bool eligible(const Worker &worker, const PlacementNeed &need);

/**
 * Workers for all tasks at once, or none: in the data's rack, or in one rack, or across racks when no rack could ever
 * hold the tasks. Takes what it uses from @p room. Thread safety: pure but for @p room.
 */
std::vector<WorkerId> placeTogether(const WorkerBook &workers, const PlacementNeed &need, FreeRoom &room);

/** Workers for as many of the tasks as there is room for, in order. */
std::vector<WorkerId> placeEach(const WorkerBook &workers, const PlacementNeed &need, FreeRoom &room);

} // namespace coriander::workflow
