#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander::decision {

/** What decides whether a step goes on waiting for the rack that it prefers. */
struct RackWait {
    /** How long the step has waited for room. */
    Duration waited{};
    /** Whether other tasks of the job run meanwhile. */
    bool jobRuns = false;
    /** Share of the pool that is in use, from 0 to 1, in the resource that the step needs most of. */
    double usedShare = 0;
};

/**
 * Whether a step that prefers a rack may start in others. Its tasks take several times as long there, so it waits for
 * its rack while the pool is busy; but a job must not stand still for long beside idle workers, because what fills the
 * rack may last.
 *
 * Load pattern: a pool with room almost everywhere, and one rack full of work that does not end soon.
 *
 * Thread safety: pure.
 */
bool mayLeaveRack(const RackWait &wait);

} // namespace coriander::decision
