#pragma once

#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/PolicyBench/Stream.h"

#include <string>
#include <vector>

namespace coriander::policybench {

/** Outcome of one job. */
struct JobOutcome {
    const TimedJob *job = nullptr;
    MonotonicTime firstStart = NeverDue;
    MonotonicTime ended = NeverDue;
    bool finished = false;
    bool refused = false;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
};

/** Result of running a stream under one policy. */
struct StreamResult {
    std::vector<JobOutcome> outcomes;
    /** Accelerator-seconds up to the horizon. */
    double capacity = 0;
    double used = 0;
    /** Accelerator-seconds whose work had to be repeated or in which a gang held accelerators without working. */
    double lost = 0;
    /** Accelerator-seconds of all work that was kept, after the horizon too. */
    double useful = 0;
    /** Time average of the share of free accelerators that are on workers with fewer than eight free ones. */
    double unusableByWorker = 0;
    /** Time average of the share of free accelerators that are in racks with fewer than eight free ones. */
    double unusableByRack = 0;
    std::int64_t preemptions = 0;
    std::int64_t decisions = 0;
    /** Wall time of each call of the scheduler, in ns; empty unless @c measureCalls is set. */
    std::vector<double> callNanoseconds;
};

/**
 * Runs a stream through the decision library in one thread, with simulated time. Workers are simulated by timers: a
 * gang runs for its real run time, a checkpoint takes some seconds, a stop takes part of its grace period.
 *
 * The same stream and policy give the same result, apart from @c callNanoseconds.
 */
StreamResult runStream(const Stream &stream, const decision::Policy &policy, bool measureCalls = false);

} // namespace coriander::policybench
