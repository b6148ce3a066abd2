#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander::decision {

/** A run on a worker that is about to leave. */
struct LeavingRun {
    /** Minimum time until the worker leaves. */
    Duration timeToLeave{};
    /** Expected time until the run ends. */
    Duration timeToEnd{};
};

/**
 * Whether a run should be stopped now, so that its task starts elsewhere, instead of being lost when its worker leaves.
 *
 * Load pattern: workers are taken away two seconds after a notice, a seventh of them at once. A gang loses all its
 * members with one worker, and the end of a run on a worker that has left is certain only after its lease. A run that
 * probably ends in time is left alone.
 *
 * Thread safety: pure.
 */
bool shouldEvacuate(const LeavingRun &run);

} // namespace coriander::decision
