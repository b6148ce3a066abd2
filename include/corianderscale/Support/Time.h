#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>

namespace coriander {

using Duration = std::chrono::microseconds;

/** Marks time points of the process's own monotonic clock. They mean nothing to other processes. */
struct MonotonicEpoch {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
};

/** Marks time points of civil time, counted from 1970-01-01 00:00 UTC. */
struct WallEpoch {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
};

using MonotonicTime = std::chrono::time_point<MonotonicEpoch, Duration>;
using WallTime = std::chrono::time_point<WallEpoch, Duration>;

/** The later end of monotonic time; a deadline that never passes. */
inline constexpr MonotonicTime NeverDue = MonotonicTime(Duration(std::numeric_limits<std::int64_t>::max()));

/**
 * Source of time as two hooks, so that tests replace it with a manual clock.
 *
 * Precondition: both hooks are set. Thread safety: the hooks of systemClock() may be called from any thread.
 */
struct Clock {
    std::function<MonotonicTime()> now;
    std::function<WallTime()> wallNow;
};

/** Returns the clock of the operating system. Thread safety: any thread. */
Clock systemClock();

/** Like systemClock(), but its monotonic time counts also while the machine is suspended. Thread safety: any thread. */
Clock suspendAwareClock();

/** Converts to whole milliseconds since the Unix epoch, the unit of the HTTP interfaces. */
std::int64_t toUnixMs(WallTime time);

/** Converts from whole milliseconds since the Unix epoch. */
WallTime fromUnixMs(std::int64_t milliseconds);

/**
 * Translates a wall-clock deadline of another process into a deadline of this process's monotonic clock.
 *
 * Source of error: the difference between the two machines' wall clocks.
 */
MonotonicTime toMonotonic(WallTime deadline, const Clock &clock);

} // namespace coriander
