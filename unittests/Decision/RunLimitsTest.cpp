#include "corianderscale/Decision/RunLimits.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

// Guards against limits that ordinary work meets: 540 workers with 60 tasks on the fullest, 7,000 in all.
TEST(RunLimits, ordinaryWorkIsNotLimited)
{
    EXPECT_GE(sharedRuns({7000, 540}).tasks, 2000U);
    EXPECT_GE(sharedRuns({7000, 540}).runsPerWorker, 500U);
    EXPECT_FALSE(hasNoSharedRuns(500));
}

// Guards against runs without number, and against jobs that leave nothing to those of which nothing runs.
TEST(RunLimits, upperHalfIsLeftToJobsOfWhichNothingRuns)
{
    EXPECT_EQ(sharedRuns({10000, 540}).tasks, 0U);
    EXPECT_GT(firstRuns({10000, 540}, 1).tasks, 0U);
    EXPECT_LE(firstRuns({10000, 540}, 1).tasks, 100U);
    EXPECT_EQ(firstRuns({20000, 540}, 1).tasks, 0U);
    EXPECT_GT(firstRuns({0, 540}, 1).runsPerWorker, sharedRuns({0, 540}).runsPerWorker);
}

// Guards against a gang that can't start in the upper half, and against one that exceeds all runs.
TEST(RunLimits, gangStartsAsAWhole)
{
    EXPECT_EQ(firstRuns({10000, 540}, 40).tasks, 40U);
    EXPECT_LT(firstRuns({19990, 540}, 40).tasks, 40U);
}

// The same on few workers, whose lists must not grow without limit.
TEST(RunLimits, fewWorkersHaveFewerRuns)
{
    EXPECT_EQ(sharedRuns({1000, 1}).tasks, 0U);
    EXPECT_GT(firstRuns({1000, 1}, 1).tasks, 0U);
    EXPECT_EQ(firstRuns({2000, 1}, 1).tasks, 0U);
    EXPECT_EQ(firstRuns({0, 0}, 1).tasks, 0U);
    EXPECT_TRUE(hasNoSharedRuns(sharedRuns({0, 1}).runsPerWorker));
}

} // namespace
} // namespace coriander::decision
