#pragma once

#include "corianderscale/Support/Time.h"

#include <chrono>

namespace coriander::decision {

/** What is known about a call that is refused because the store cannot be reached. */
struct CallerReturnInputs {
    /** How long the caller waits in total from now on, over all its tries. */
    Duration remaining{};
    /** How long the store has been unreachable. */
    Duration outage{};
};

/**
 * When a caller that was refused during an outage of the store should come back.
 *
 * Load pattern: the store is away for some seconds at the peak of the load, and callers try a few times within a few
 * seconds. An outage that has lasted long is expected to last longer, so the wait grows with it. Whole seconds, because
 * `Retry-After` has no fractions. A caller that has less than a second left is asked back at once, since after a wait
 * of a second it would have left.
 *
 * Thread safety: pure.
 */
std::chrono::seconds callerReturnAfter(const CallerReturnInputs &inputs);

} // namespace coriander::decision
