#pragma once

#include "corianderscale/Support/Time.h"

#include <atomic>

namespace coriander {

/**
 * A clock that moves only when told to. For tests and for tools that drive the decision library.
 *
 * Thread safety: all methods may be called from any thread. The clock must outlive the Clock it hands out.
 */
class ManualClock
{
public:
    /** Starts monotonic time at zero and wall time at @p wallStart. */
    explicit ManualClock(WallTime wallStart = WallTime(std::chrono::hours(24 * 365 * 50)))
        : m_wallStart(wallStart)
    {
    }

    /** Moves both clocks. Precondition: @p step is not negative. */
    void advance(Duration step)
    {
        m_elapsed += step.count();
    }

    /** Moves the wall clock alone, as an operator or time synchronisation may do. */
    void jumpWall(Duration step)
    {
        m_wallOffset += step.count();
    }

    /** Returns hooks that read this clock. */
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
