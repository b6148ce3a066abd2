#pragma once

#include <cstddef>

namespace coriander::decision {

/** Failed runs on one worker since its last completed one. */
struct FailuresOnWorker {
    int inRow = 0;
    /** Number of different jobs that they belong to. */
    std::size_t jobs = 0;
    /** Whether the job that failed last also fails on other workers, and none of its tasks has been done. */
    bool jobFailsElsewhere = false;
};

/**
 * Whether the failures are the worker's fault, so that it gets no new work for a while. A single failure may be the
 * task's, and the failures of a job that fails everywhere are the job's.
 *
 * Load pattern: a job that can never be done and has tasks on all workers of a pool; and workers that fail all they
 * start.
 *
 * Thread safety: pure.
 */
bool isWorkerToBlame(const FailuresOnWorker &failures);

} // namespace coriander::decision
