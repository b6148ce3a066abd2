#pragma once

#include "corianderscale/Support/Time.h"

#include <functional>

namespace coriander {

/** Returns a random number from 0 up to but not including 1. */
using RandomUnit = std::function<double()>;

/**
 * Returns a RandomUnit whose generator is seeded by the operating system. Thread safety: the result is not thread safe.
 */
RandomUnit systemRandomUnit();

/** Limits of the exponential delay between tries. */
struct BackoffSettings {
    Duration initialDelay = std::chrono::milliseconds(20);
    Duration maximumDelay = std::chrono::milliseconds(500);
};

/**
 * Returns the delay to wait after @p tries failed tries. It starts at the initial delay, doubles with each further
 * try up to the maximum, and is then scaled by a random factor from 0.5 up to 1. The jitter keeps instances that failed
 * at the same time from retrying at the same time. Thread safety: pure apart from @p random.
 */
Duration backoffDelay(const BackoffSettings &settings, int tries, const RandomUnit &random);

} // namespace coriander
