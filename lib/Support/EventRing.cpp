#include "corianderscale/Support/EventRing.h"

#include <algorithm>
#include <cassert>

namespace coriander {

namespace {

/** Limit on the events that a process keeps; a few MiB at typical event sizes. */
constexpr std::size_t ProcessEventCapacity = 8192;

bool matches(const TimelineEvent &event, const TimelineFilter &filter)
{
    if (event.time < filter.since) {
        return false;
    }
    if (filter.id.empty()) {
        return true;
    }
    return std::any_of(event.fields.begin(), event.fields.end(), [&filter](const LogField &field) {
        return field.value == filter.id;
    });
}

} // namespace

EventRing::EventRing(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0 && "the capacity of the ring must be at least 1");
}

void EventRing::add(TimelineEvent event)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

std::vector<TimelineEvent> EventRing::select(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> selected;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto event = m_events.rbegin(); event != m_events.rend() && selected.size() < filter.most; ++event) {
        if (matches(*event, filter)) {
            selected.push_back(*event);
        }
    }
    std::reverse(selected.begin(), selected.end());
    return selected;
}

std::size_t EventRing::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

EventRing &processEvents()
{
    static EventRing ring(ProcessEventCapacity);
    return ring;
}

} // namespace coriander
