#pragma once

#include "corianderscale/Support/Time.h"

#include <compare>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/**
 * A hybrid logical time: wall time that never runs behind the times of messages received, with a counter for events
 * at the same wall time. If one event can have caused another, its time is smaller, whatever the machines' clocks say.
 */
struct HybridTime {
    /** Microseconds since the Unix epoch. */
    std::int64_t wallUs = 0;
    std::int64_t logical = 0;

    auto operator<=>(const HybridTime &) const = default;

    /** `wallUs.logical`, the form on the wire. */
    std::string toText() const;
};

/** Reads the form on the wire; no value when it is malformed or negative. Thread safety: pure function. */
std::optional<HybridTime> parseHybridTime(std::string_view text);

/**
 * Hands out hybrid logical times.
 *
 * Thread safety: all methods from any thread.
 */
class HybridClock
{
public:
    explicit HybridClock(Clock clock);

    /** The time of a local event or of a message that is sent now; larger than all times before. */
    HybridTime tick();

    /**
     * Takes the time of a received message into account. Times more than a minute ahead of the own wall clock are
     * ignored, so that one wrong clock cannot move the times of all processes.
     */
    void observe(HybridTime remote);

private:
    HybridTime advance(HybridTime least);

    Clock m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

/** The clock of this process; its times stand in the events of the timeline and in messages between processes. */
HybridClock &processClock();

} // namespace coriander
