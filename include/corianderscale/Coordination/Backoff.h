#pragma once

#include "corianderscale/Support/Time.h"

#include <functional>

namespace coriander {

/** Returns a random number from 0 up to but not including 1. */
using RandomUnit = std::function<double()>;

/** A RandomUnit over a generator that the operating system seeds. Thread safety: the result is not thread safe. */
RandomUnit systemRandomUnit();

/** Exponential delays between repeated tries. */
struct BackoffSettings {
    Duration first = std::chrono::milliseconds(20);
    Duration most = std::chrono::milliseconds(500);
};

/**
 * The delay before try number @p tries + 1: doubled for each try up to the most, then drawn from its upper half so
 * that instances that failed together do not return together. Thread safety: pure apart from @p random.
 */
Duration backoffDelay(const BackoffSettings &settings, int tries, const RandomUnit &random);

} // namespace coriander
