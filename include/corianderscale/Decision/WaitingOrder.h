#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander::decision {

/** Work that waits for room. */
struct WaitingWork {
    /** Priority of its queue; 0 is the most urgent. */
    int priority = 0;
    /** Whether the organisation's guarantee covers the work. */
    bool guaranteed = false;
    /** Whether the work runs until it is cancelled, so that it has no end by which it could be late. */
    bool lasting = false;
    /** When it would end if it started now, counted from its submission or due time. */
    Duration endsAfter{};
    /** Its latency objective, counted from the same time. */
    Duration objective{};
};

/**
 * Rank of waiting work; lower ranks are placed first, equal ranks by their objectives.
 *
 * Load pattern: a flood far beyond what the fleet can take, in waves of all priorities. Work that would end late earns
 * its caller less and gives way by one and a half priorities. Work that would end after several times its objective is
 * worth nothing more to its caller, so it gives way to all work that still is; it is done when there is room again.
 *
 * Work that lasts serves users of its own, who have nothing while it waits; it comes before all work without a
 * guarantee.
 *
 * Thread safety: pure.
 */
double waitingRank(const WaitingWork &work);

} // namespace coriander::decision
