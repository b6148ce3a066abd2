#include "corianderscale/Decision/RackPreference.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;

// Guards against a job that stands still beside idle workers, and against one that gives up its rack too early.
TEST(RackPreference, endsForAJobThatStandsStillInAnIdlePool)
{
    EXPECT_TRUE(mayLeaveRack({milliseconds(2000), false, 0.3}));
    EXPECT_FALSE(mayLeaveRack({milliseconds(1000), false, 0.3}));
    EXPECT_FALSE(mayLeaveRack({milliseconds(60000), false, 0.8}));
    EXPECT_FALSE(mayLeaveRack({milliseconds(60000), true, 0.3}));
}

} // namespace
} // namespace coriander::decision
