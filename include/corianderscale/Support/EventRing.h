#pragma once

#include "corianderscale/Support/HybridClock.h"
#include "corianderscale/Support/Log.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace coriander {

/** One event of the timeline. The ids that it refers to, such as a job id, are among its fields. */
struct TimelineEvent {
    HybridTime time;
    std::string event;
    std::vector<LogField> fields;
};

/** Selects events of the timeline. */
struct TimelineFilter {
    HybridTime since;
    /** If not empty, selects only events with a field of this value, such as a job id. */
    std::string id;
    std::size_t most = 1000;
};

/**
 * Ring buffer of the newest events of a process.
 *
 * Thread safety: all methods from any thread.
 */
class EventRing
{
public:
    /** Precondition: @p capacity is at least 1. */
    explicit EventRing(std::size_t capacity);

    /** Adds an event; drops the oldest one when the ring is full. */
    void add(TimelineEvent event);

    /** Returns the newest events that match @p filter, oldest first. */
    std::vector<TimelineEvent> select(const TimelineFilter &filter) const;

    /** Number of events dropped since the start. */
    std::size_t dropped() const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<TimelineEvent> m_events;
    std::size_t m_dropped = 0;
};

/** The events of this process. logEvent() adds all events of level Info and above. */
EventRing &processEvents();

} // namespace coriander
