#include "corianderscale/Support/HybridClock.h"

#include "corianderscale/Support/EventRing.h"
#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

// Guards against the timeline listing an effect before its cause when the receiver's wall clock is behind.
TEST(HybridClock, tickAfterObserveIsLaterThanTheMessage)
{
    ManualClock ahead;
    ManualClock behind;
    behind.jumpWall(-std::chrono::seconds(30));
    HybridClock sender(ahead.clock());
    HybridClock receiver(behind.clock());
    const HybridTime sent = sender.tick();
    receiver.observe(sent);
    EXPECT_GT(receiver.tick(), sent);
}

// Guards against timestamps repeating or decreasing when the wall clock is set back.
TEST(HybridClock, timesIncreaseWhenTheWallClockIsSetBack)
{
    ManualClock clock;
    HybridClock hybrid(clock.clock());
    const HybridTime before = hybrid.tick();
    clock.jumpWall(-std::chrono::hours(1));
    EXPECT_GT(hybrid.tick(), before);
}

// Guards against one machine with a wrong clock advancing the clocks of all processes.
TEST(HybridClock, ignoresTimesFarAhead)
{
    ManualClock clock;
    HybridClock hybrid(clock.clock());
    const HybridTime before = hybrid.tick();
    hybrid.observe({before.wallUs + Duration(std::chrono::hours(1)).count(), 0});
    EXPECT_LT(hybrid.tick().wallUs, before.wallUs + Duration(std::chrono::minutes(1)).count());
}

// Guards against a malformed timestamp of a peer being accepted.
TEST(HybridClock, parsesOnlyTheWireFormat)
{
    const HybridTime time{1700000000000000, 7};
    EXPECT_EQ(parseHybridTime(time.toText()), time);
    for (const char *text : {"", "1", "1.", ".1", "-1.0", "1.-1", "1.0x", "99999999999999999999.0"}) {
        EXPECT_FALSE(parseHybridTime(text)) << text;
    }
}

// Guards against the ring growing beyond its capacity, and against dropped events not being counted.
TEST(EventRing, dropsTheOldestAndCounts)
{
    EventRing ring(2);
    for (int i = 1; i <= 3; ++i) {
        ring.add({{i, 0}, "event", {{"job", fmt::format("j{}", i)}}});
    }
    EXPECT_EQ(ring.dropped(), 1U);
    const auto all = ring.select({});
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all[0].time.wallUs, 2);
    const auto one = ring.select({.id = "j3"});
    ASSERT_EQ(one.size(), 1U);
    EXPECT_EQ(one[0].time.wallUs, 3);
}

} // namespace
} // namespace coriander
