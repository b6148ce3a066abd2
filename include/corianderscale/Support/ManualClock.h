#pragma once

#include "corianderscale/Support/Time.h"

#include <atomic>

namespace coriander {

/**
 * A clock that is advanced explicitly. For tests and for tools that run the decision library.
 *
 * Thread safety: all methods may be called from any thread. Lifetime: must outlive every Clock that clock() returned.
 */
class ManualClock
{
public:
    /** Starts monotonic time at zero and wall time at @p wallStart. */
    explicit ManualClock(WallTime wallStart = WallTime(std::chrono::hours(24 * 365 * 50)))
        : m_wallStart(wallStart)
    {
    }

    /** Advances both clocks. Precondition: @p step is not negative. */
    void advance(Duration step)
    {
        m_elapsed += step.count();
    }

    /** Shifts only the wall clock, as an operator or time synchronisation may do. */
    void jumpWall(Duration step)
    {
        m_wallOffset += step.count();
    }

    /** Returns a Clock that reads this clock. */
    Clock clock()
    {
        return Clock{
            [this] { return MonotonicTime(Duration(m_elapsed.load())); },
            [this] { return m_wallStart + Duration(m_elapsed.load() + m_wallOffset.load()); },
        };
    }

private:
    WallTime m_wallStart;
    std::atomic<std::int64_t> m_elapsed = 0;
    std::atomic<std::int64_t> m_wallOffset = 0;
};

} // namespace coriander
