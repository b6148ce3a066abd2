#pragma once

#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/PolicyBench/Stream.h"

#include <string>
#include <vector>

namespace coriander::policybench {

/** What became of one job. */
struct JobOutcome {
    const TimedJob *job = nullptr;
    MonotonicTime firstStart = NeverDue;
    MonotonicTime ended = NeverDue;
    bool finished = false;
    bool refused = false;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
};

/** What a stream gave under one policy. */
struct StreamResult {
    std::vector<JobOutcome> outcomes;
    /** Accelerator-seconds up to the horizon. */
    double capacity = 0;
    double used = 0;
    /** Accelerator-seconds whose work had to be repeated or that held accelerators without work. */
    double lost = 0;
    /** Accelerator-seconds of all work that was kept, after the horizon too. */
    double useful = 0;
    /** Time average of the share of free accelerators on workers of which not eight are free. */
    double unusableByWorker = 0;
    /** Time average of the share of free accelerators in racks of which not eight are free. */
    double unusableByRack = 0;
    std::int64_t preemptions = 0;
    std::int64_t decisions = 0;
    /** Wall time of each call of the scheduler, in ns; filled when asked for. */
    std::vector<double> callNanoseconds;
};

/**
 * Drives the decision library through a stream with manual time in one thread. Workers are timers: a gang runs for its
 * real run time, a checkpoint takes some seconds, a stop takes a part of its grace.
 *
 * The same stream and policy give the same result, apart from @c callNanoseconds.
 */
StreamResult runStream(const Stream &stream, const decision::Policy &policy, bool measureCalls = false);

} // namespace coriander::policybench
