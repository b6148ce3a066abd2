#pragma once

#include "corianderscale/Protocol/JsonReader.h"
#include "corianderscale/Support/EventRing.h"

#include <string>
#include <vector>

namespace coriander {

/** Name of the peer message that asks a process for its events. */
inline constexpr char TimelineMessage[] = "timeline";

/** Body of the peer message `timeline`. */
struct TimelineQuery {
    TimelineFilter filter;

    Json toJson() const;
    static TimelineQuery fromJson(JsonReader &reader);
};

/** Reply to the peer message `timeline`: the events of one process. */
struct ProcessTimeline {
    InstanceId instance;
    std::vector<TimelineEvent> events;
    /** Number of events that the process had already dropped. */
    std::int64_t dropped = 0;

    Json toJson() const;
    static ProcessTimeline fromJson(JsonReader &reader);
};

/** One event and the process that recorded it. */
struct MergedEvent {
    InstanceId instance;
    TimelineEvent event;
};

/** Returns all events ordered by hybrid time, so that a cause precedes its effects. Thread safety: pure function. */
std::vector<MergedEvent> mergeTimelines(const std::vector<ProcessTimeline> &timelines);

/** Returns the events of this process that match @p filter. Thread safety: any thread. */
ProcessTimeline localTimeline(const InstanceId &instance, const TimelineFilter &filter);

/**
 * Returns the reply to the peer message `timeline`: the events of this process as CBOR. Returns no value for any other
 * message, and an empty string when @p body is malformed. Thread safety: any thread.
 */
std::optional<std::string> answerTimelineMessage(const std::string &message,
                                                 const InstanceId &instance,
                                                 const std::string &body);

} // namespace coriander
