#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>

namespace coriander {

using Duration = std::chrono::microseconds;

/** Clock type of time points of this process's monotonic clock; they are meaningless in other processes. */
struct MonotonicEpoch {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
};

/** Clock type of wall-clock time points, counted from 1970-01-01 00:00 UTC. */
struct WallEpoch {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
};

using MonotonicTime = std::chrono::time_point<MonotonicEpoch, Duration>;
using WallTime = std::chrono::time_point<WallEpoch, Duration>;

/** The largest monotonic time; a deadline that never passes. */
inline constexpr MonotonicTime NeverDue = MonotonicTime(Duration(std::numeric_limits<std::int64_t>::max()));

/**
 * Source of monotonic and wall time as two functions, so that tests can replace it with a ManualClock.
 *
 * Precondition: both functions are set. Thread safety: those of systemClock() may be called from any thread.
 */
struct Clock {
    std::function<MonotonicTime()> now;
    std::function<WallTime()> wallNow;
};

/** Returns the clock of the operating system. Thread safety: any thread. */
Clock systemClock();

/** Like systemClock(), but its monotonic time also advances while the machine is suspended. Thread safety: any thread.
 */
Clock suspendAwareClock();

/** Converts to whole milliseconds since the Unix epoch, the unit of the HTTP interfaces. */
std::int64_t toUnixMs(WallTime time);

/** Converts from whole milliseconds since the Unix epoch. */
WallTime fromUnixMs(std::int64_t milliseconds);

/**
 * Converts a wall-clock deadline of another process to this process's monotonic clock.
 *
 * The error of the result is the difference between the two machines' wall clocks.
 */
MonotonicTime toMonotonic(WallTime deadline, const Clock &clock);

} // namespace coriander
