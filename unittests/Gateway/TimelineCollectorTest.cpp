#include "corianderscale/Gateway/TimelineCollector.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

Member member(const std::string &instance)
{
    Member result;
    result.instance = InstanceId(instance);
    result.peerAddress = instance + ":1";
    return result;
}

// Guards against a timeline that does not list the processes that gave no answer or a malformed one.
TEST(TimelineCollector, listsUnreachableProcesses)
{
    const auto send = [](const std::string &address, const auto &, const auto &, MonotonicTime, const auto &done) {
        if (address == "gone:1") {
            done(std::nullopt);
        } else if (address == "broken:1") {
            done("\xff");
        } else {
            const ProcessTimeline timeline{InstanceId("well"), {{{5, 0}, "gang-started", {}}}, 0};
            const std::vector<std::uint8_t> body = Json::to_cbor(timeline.toJson());
            done(std::string(body.begin(), body.end()));
        }
    };
    const CollectedTimelines collected
        = collectTimelines(InstanceId("self"), {member("well"), member("gone"), member("broken")}, {}, NeverDue, send);
    ASSERT_EQ(collected.timelines.size(), 2U);
    EXPECT_EQ(collected.timelines[1].events.at(0).event, "gang-started");
    EXPECT_EQ(collected.unreachable, (std::vector<InstanceId>{InstanceId("gone"), InstanceId("broken")}));
}

} // namespace
} // namespace coriander
