#pragma once

#include "corianderscale/Support/Time.h"

#include <compare>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/**
 * A hybrid logical timestamp: a wall time that is never behind the times of received messages, and a counter for events
 * at the same wall time. An event that may have caused another has a smaller timestamp, even if the wall clocks of
 * their machines differ.
 */
struct HybridTime {
    /** Microseconds since the Unix epoch. */
    std::int64_t wallUs = 0;
    std::int64_t logical = 0;

    auto operator<=>(const HybridTime &) const = default;

    /** Returns the wire format `wallUs.logical`. */
    std::string toText() const;
};

/** Parses the wire format; returns no value when it is malformed or negative. Thread safety: pure function. */
std::optional<HybridTime> parseHybridTime(std::string_view text);

/**
 * Hybrid logical clock of one process.
 *
 * Thread safety: all methods from any thread.
 */
class HybridClock
{
public:
    explicit HybridClock(Clock clock);

    /** Returns a timestamp for a local event or an outgoing message; larger than all earlier ones. */
    HybridTime tick();

    /**
     * Advances the clock past the timestamp of a received message. Timestamps more than a minute ahead of the local
     * wall clock are ignored, so that one wrong clock cannot advance the clocks of all processes.
     */
    void observe(HybridTime remote);

private:
    HybridTime advance(HybridTime minimum);

    Clock m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

/** The hybrid clock of this process; it stamps the events of the timeline and the messages between processes. */
HybridClock &processClock();

} // namespace coriander
