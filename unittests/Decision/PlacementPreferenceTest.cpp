#include "corianderscale/Decision/PlacementPreference.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;

// Guards against a job that stands still beside idle workers, and against one that gives up its rack too early.
TEST(PlacementPreference, endsForAJobThatStandsStillInAnIdlePool)
{
    EXPECT_TRUE(endsPreferences({milliseconds(2000), false, 0.3}));
    EXPECT_FALSE(endsPreferences({milliseconds(1000), false, 0.3}));
    EXPECT_FALSE(endsPreferences({milliseconds(60000), false, 0.8}));
    EXPECT_FALSE(endsPreferences({milliseconds(60000), true, 0.3}));
}

} // namespace
} // namespace coriander::decision
