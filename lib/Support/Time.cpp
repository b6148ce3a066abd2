#include "corianderscale/Support/Time.h"

#include <time.h>

namespace coriander {

Clock systemClock()
{
    return Clock{
        [] {
            const auto now = std::chrono::steady_clock::now().time_since_epoch();
            return MonotonicTime(std::chrono::duration_cast<Duration>(now));
        },
        [] {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            return WallTime(std::chrono::duration_cast<Duration>(now));
        },
    };
}

Clock suspendAwareClock()
{
    Clock clock = systemClock();
    clock.now = [] {
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        const auto elapsed = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
        return MonotonicTime(std::chrono::duration_cast<Duration>(elapsed));
    };
    return clock;
}

std::int64_t toUnixMs(WallTime time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromUnixMs(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

MonotonicTime toMonotonic(WallTime deadline, const Clock &clock)
{
    const Duration remaining = deadline - clock.wallNow();
    return clock.now() + remaining;
}

} // namespace coriander
