#pragma once

#include <cstddef>

namespace coriander::decision {

/** Runs that exist or may exist. */
struct RunCounts {
    std::size_t all = 0;
    /** Workers that take work. */
    std::size_t workers = 0;
};

/** How many tasks may be assigned, and up to how many runs on each worker. */
struct RunAllowance {
    std::size_t tasks = 0;
    std::size_t runsPerWorker = 0;
};

/**
 * Limits the number of runs, each of which takes memory of the owner and a row in the lists of its worker, also where
 * the tasks are so small that the capacity of the workers does not limit them. All jobs share the lower half of the
 * runs, of each worker and of all together. The upper half is left to jobs of which nothing runs, some tasks each, so
 * that the others do not keep them from starting.
 *
 * Load pattern: jobs of many thousand tasks that need next to nothing, beside ordinary jobs. Ordinary work does not
 * come near the limits: the deployments have at most some 60 tasks on a worker and 7,000 in all.
 *
 * Thread safety: pure.
 */
///@{
RunAllowance sharedRuns(const RunCounts &counts);
/** For a job of which nothing runs. @p together is the number of its tasks that start together. */
RunAllowance firstRuns(const RunCounts &counts, std::size_t together);
/** Whether a worker with this many runs has no shared ones left. */
bool hasNoSharedRuns(std::size_t runsOnWorker);
///@}

} // namespace coriander::decision
