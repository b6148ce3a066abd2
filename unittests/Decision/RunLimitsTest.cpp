#include "corianderscale/Decision/RunLimits.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

// Guards against limits that ordinary work meets: 540 workers with 60 tasks on the fullest, 7,000 in all.
TEST(RunLimits, ordinaryWorkIsNotLimited)
{
    const RunAllowance allowance = allowedRuns({7000, 500, 540});
    EXPECT_GE(allowance.tasks, 2000U);
    EXPECT_GE(allowance.runsPerWorker, 500U);
}

// Guards against runs without number, and against jobs that leave nothing to those of which nothing runs.
TEST(RunLimits, upperHalfIsLeftToJobsOfWhichNothingRuns)
{
    EXPECT_EQ(allowedRuns({10000, 1, 540}).tasks, 0U);
    EXPECT_GT(allowedRuns({10000, 0, 540}).tasks, 0U);
    EXPECT_LE(allowedRuns({10000, 0, 540}).tasks, 100U);
    EXPECT_EQ(allowedRuns({20000, 0, 540}).tasks, 0U);
}

// The same on few workers, whose lists must not grow without limit.
TEST(RunLimits, fewWorkersHaveFewerRuns)
{
    EXPECT_EQ(allowedRuns({1000, 1, 1}).tasks, 0U);
    EXPECT_GT(allowedRuns({1000, 0, 1}).tasks, 0U);
    EXPECT_EQ(allowedRuns({2000, 0, 1}).tasks, 0U);
    EXPECT_EQ(allowedRuns({0, 0, 0}).tasks, 0U);
}

} // namespace
} // namespace coriander::decision
