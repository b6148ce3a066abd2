#include "corianderscale/Decision/CallerReturn.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Replays the tries of one caller: it arrives @p arrival after the store went away, waits 3 s in total and tries five
 * times. Returns whether a try falls after the store's return. */
bool comesBackInTime(Duration arrival, Duration outage)
{
    constexpr int Tries = 5;
    /** Time between an answer that names no wait and the next try. */
    constexpr Duration ImmediateRetry = milliseconds(150);
    const Duration end = arrival + seconds(3);
    Duration now = arrival;
    for (int i = 0; i < Tries && now < end; ++i) {
        if (now >= outage) {
            return true;
        }
        now += std::max<Duration>(callerReturnAfter({end - now, now}), ImmediateRetry);
    }
    return false;
}

// Guards against callers whose last try falls into an outage of the store although they would have waited until after
// it. The store is away for 4 s; callers that arrive in its last 2.3 s can be served.
TEST(CallerReturn, triesReachTheEndOfAnOutage)
{
    for (int arrival = 1700; arrival < 4000; arrival += 50) {
        EXPECT_TRUE(comesBackInTime(milliseconds(arrival), seconds(4))) << arrival;
    }
}

// Guards against a wait that ends after the caller has left.
TEST(CallerReturn, waitEndsBeforeTheCallerLeaves)
{
    for (int left = 0; left <= 20000; left += 100) {
        const Duration remaining = milliseconds(left);
        EXPECT_LE(callerReturnAfter({remaining, seconds(30)}), remaining) << left;
    }
    EXPECT_EQ(callerReturnAfter({milliseconds(-200), seconds(2)}), seconds(0));
}

// Guards against patient callers that return every second throughout a long outage.
TEST(CallerReturn, waitGrowsWithTheOutage)
{
    EXPECT_EQ(callerReturnAfter({seconds(60), milliseconds(300)}), seconds(1));
    EXPECT_EQ(callerReturnAfter({seconds(60), seconds(5)}), seconds(5));
    EXPECT_EQ(callerReturnAfter({seconds(60), seconds(500)}), seconds(8));
}

} // namespace
} // namespace coriander::decision
