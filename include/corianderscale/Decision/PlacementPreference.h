#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander::decision {

/** What decides whether a step goes on waiting for the workers that it prefers. */
struct PlacementWait {
    /** How long the step has waited for room. */
    Duration waited{};
    /** Whether the tasks last until their job is cancelled. */
    bool lasts = false;
    /** Whether other tasks of the job run meanwhile. */
    bool jobRuns = false;
    /** Share of the pool that is in use, from 0 to 1, in the resource that the step needs most of. */
    double usedShare = 0;
};

/**
 * Whether a step may start on workers that it does not prefer: outside of its rack, where its tasks take several times
 * as long, on workers that are avoided, because their runs fail or are slow, or on workers that are kept free for
 * others. It waits for better ones while the pool is busy; but a job must not stand still for long beside idle workers,
 * because what fills the rack may last, the failures may be the job's own, and the others may not find room at all.
 *
 * Load patterns: a pool with room almost everywhere, and one rack full of work that does not end soon; a job whose
 * tasks fail on each worker that has room for them; a gang for which each worker is kept free that some task uses.
 *
 * Thread safety: pure.
 */
bool endsPreferences(const PlacementWait &wait);

} // namespace coriander::decision
