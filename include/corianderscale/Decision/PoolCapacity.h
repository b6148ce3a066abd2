#pragma once

#include "corianderscale/Decision/Types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace coriander::decision {

/**
 * What the workers of one pool could hold if they were empty. A step that they could not hold even then is left out of
 * planning, so that its cost does not follow the number of its tasks and occurrences.
 *
 * Load pattern: a flood of jobs that can never be done, among jobs that can. The cost of an answer follows the number
 * of different capacities in the pool, which is far below the number of workers.
 *
 * Thread safety: none.
 */
class PoolCapacity
{
public:
    /** Tasks that must find room at the same time: one, or all members of a gang. */
    struct Need {
        Resources perTask;
        std::size_t tasks = 1;
        /** Label that a worker must have; empty for any worker. */
        std::string label;
        /** Maximum number of the tasks on one worker; 0 for no limit. */
        std::size_t maximumPerWorker = 0;
    };

    void add(const Resources &capacity, const std::vector<std::string> &labels);

    bool canHold(const Need &need) const;

private:
    /** Number of workers of each capacity, by label; under the empty label those of all workers. */
    std::map<std::string, std::map<Resources, std::size_t>> m_workers;
};

/** Number of tasks of this size that fit into @p room, at most @p most. */
std::size_t countFitting(const Resources &size, const Resources &room, std::size_t most);

} // namespace coriander::decision
