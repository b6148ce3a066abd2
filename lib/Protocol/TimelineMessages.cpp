#include "corianderscale/Protocol/TimelineMessages.h"

#include <algorithm>

namespace coriander {

namespace {

/** Limit on the events in the reply to one query. */
constexpr std::int64_t MaximumReplyEvents = 8192;

Json eventToJson(const TimelineEvent &event)
{
    Json fields = Json::array();
    for (const LogField &field : event.fields) {
        fields.push_back({{"key", field.key}, {"value", field.value}});
    }
    return {{"time", event.time.toText()}, {"event", event.event}, {"fields", std::move(fields)}};
}

HybridTime readTime(JsonReader &reader, const std::string &key)
{
    const std::optional<HybridTime> time = parseHybridTime(reader.requiredText(key));
    if (!time) {
        reader.fault(key, "expected a hybrid time such as 1700000000000000.0");
    }
    return time.value_or(HybridTime());
}

TimelineEvent readEvent(JsonReader &reader)
{
    TimelineEvent event;
    event.time = readTime(reader, "time");
    event.event = reader.requiredText("event");
    reader.forEachObject("fields", [&event](JsonReader &item) {
        const std::string key = item.requiredText("key");
        event.fields.emplace_back(key, item.requiredText("value"));
    });
    return event;
}

} // namespace

Json TimelineQuery::toJson() const
{
    return {{"since", filter.since.toText()}, {"id", filter.id}, {"most", filter.most}};
}

TimelineQuery TimelineQuery::fromJson(JsonReader &reader)
{
    TimelineQuery query;
    query.filter.since = readTime(reader, "since");
    query.filter.id = reader.text("id");
    query.filter.most = static_cast<std::size_t>(reader.integer("most", 1000, 1, MaximumReplyEvents));
    return query;
}

Json ProcessTimeline::toJson() const
{
    Json list = Json::array();
    for (const TimelineEvent &event : events) {
        list.push_back(eventToJson(event));
    }
    return {{"instance", instance.value()}, {"events", std::move(list)}, {"dropped", dropped}};
}

ProcessTimeline ProcessTimeline::fromJson(JsonReader &reader)
{
    ProcessTimeline timeline;
    timeline.instance = reader.requiredId<InstanceId>("instance");
    reader.forEachObject("events", [&timeline](JsonReader &item) { timeline.events.push_back(readEvent(item)); });
    timeline.dropped = reader.integer("dropped", 0);
    return timeline;
}

std::vector<MergedEvent> mergeTimelines(const std::vector<ProcessTimeline> &timelines)
{
    std::vector<MergedEvent> merged;
    for (const ProcessTimeline &timeline : timelines) {
        for (const TimelineEvent &event : timeline.events) {
            merged.push_back({timeline.instance, event});
        }
    }
    std::stable_sort(merged.begin(), merged.end(), [](const MergedEvent &left, const MergedEvent &right) {
        if (left.event.time != right.event.time) {
            return left.event.time < right.event.time;
        }
        return left.instance < right.instance;
    });
    return merged;
}

ProcessTimeline localTimeline(const InstanceId &instance, const TimelineFilter &filter)
{
    ProcessTimeline timeline;
    timeline.instance = instance;
    timeline.events = processEvents().select(filter);
    timeline.dropped = static_cast<std::int64_t>(processEvents().dropped());
    return timeline;
}

std::optional<std::string> answerTimelineMessage(const std::string &message,
                                                 const InstanceId &instance,
                                                 const std::string &body)
{
    if (message != TimelineMessage) {
        return std::nullopt;
    }
    const Json json = Json::from_cbor(body, true, false);
    ProtocolError error;
    const auto query = json.is_discarded() ? std::nullopt : decodeJson<TimelineQuery>(json, error);
    if (!query) {
        return std::string();
    }
    const std::vector<std::uint8_t> reply = Json::to_cbor(localTimeline(instance, query->filter).toJson());
    return std::string(reply.begin(), reply.end());
}

} // namespace coriander
