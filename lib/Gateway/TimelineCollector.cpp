#include "corianderscale/Gateway/TimelineCollector.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace coriander {

namespace {

/** Replies of the members; shared with the completions of the sent messages. */
struct Replies {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::optional<std::string>> bodies;
    std::size_t missing = 0;
};

std::optional<ProcessTimeline> decodeReply(const std::optional<std::string> &body)
{
    if (!body) {
        return std::nullopt;
    }
    const Json json = Json::from_cbor(*body, true, false);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    ProtocolError error;
    return decodeJson<ProcessTimeline>(json, error);
}

} // namespace

CollectedTimelines collectTimelines(const InstanceId &self,
                                    const std::vector<Member> &others,
                                    const TimelineFilter &filter,
                                    MonotonicTime deadline,
                                    const SendTimelineQuery &send)
{
    const auto replies = std::make_shared<Replies>();
    replies->bodies.resize(others.size());
    replies->missing = others.size();
    TimelineQuery query;
    query.filter = filter;
    const std::vector<std::uint8_t> body = Json::to_cbor(query.toJson());
    for (std::size_t i = 0; i < others.size(); ++i) {
        const auto done = [replies, i](std::optional<std::string> reply) {
            const std::lock_guard<std::mutex> lock(replies->mutex);
            replies->bodies[i] = std::move(reply);
            --replies->missing;
            replies->changed.notify_all();
        };
        send(others[i].peerAddress, TimelineMessage, std::string(body.begin(), body.end()), deadline, done);
    }
    CollectedTimelines collected;
    collected.timelines.push_back(localTimeline(self, filter));
    // Every completion is called by the deadline, so this wait ends.
    std::unique_lock<std::mutex> lock(replies->mutex);
    replies->changed.wait(lock, [&replies] { return replies->missing == 0; });
    for (std::size_t i = 0; i < others.size(); ++i) {
        if (auto timeline = decodeReply(replies->bodies[i])) {
            collected.timelines.push_back(std::move(*timeline));
        } else {
            collected.unreachable.push_back(others[i].instance);
        }
    }
    return collected;
}

} // namespace coriander
