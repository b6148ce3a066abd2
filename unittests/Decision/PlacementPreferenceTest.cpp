#include "corianderscale/Decision/PlacementPreference.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;

// Guards against a job that stands still beside idle workers, and against one that gives up its rack too early.
TEST(PlacementPreference, endsForAJobThatStandsStillInAnIdlePool)
{
    EXPECT_TRUE(endsPreferences({milliseconds(2000), false, false, 0.3}));
    EXPECT_FALSE(endsPreferences({milliseconds(1000), false, false, 0.3}));
    EXPECT_FALSE(endsPreferences({milliseconds(60000), false, false, 0.8}));
    EXPECT_FALSE(endsPreferences({milliseconds(60000), false, true, 0.3}));
}

// Guards against a task that lasts and waits for its rack as long as others of its job run, or the pool is busy.
TEST(PlacementPreference, endsForEachTaskThatLasts)
{
    EXPECT_TRUE(endsPreferences({milliseconds(2000), true, true, 0.9}));
    EXPECT_FALSE(endsPreferences({milliseconds(1000), true, false, 0.1}));
}

} // namespace
} // namespace coriander::decision
