#include <gtest/gtest.h>

#include "CoreWorld.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

class SchedulerCoreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        world.addWorker("w1");
        world.addWorker("w2");
        world.takeOver("s1");
    }

    void TearDown() override
    {
        EXPECT_EQ(world.violations, std::vector<std::string>());
    }

    CoreWorld world;
};

// Guards against a job that is placed but never finished, recorded or released.
TEST_F(SchedulerCoreTest, SingleJobRunsOnceAndIsRecorded)
{
    const JobId job = world.submit("a", 1, "run ms=2000 outcome=succeed", 2);
    world.advance(4s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.startsOf(job), 1U);
    EXPECT_EQ(world.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(world.acceleratorMsInRows(), 4000);
    EXPECT_EQ(world.core->gangCount(), 0U);
    EXPECT_EQ(world.core->jobCount(), 0U);
}

// Guards against members of a gang that start apart or on their own.
TEST_F(SchedulerCoreTest, GangStartsTogetherAcrossWorkers)
{
    const JobId job = world.submit("g", 4, "run ms=60000", 4);
    world.advance(1s);
    EXPECT_EQ(world.running(job).size(), 4U);
    EXPECT_EQ(world.row(job).state, JobState::Running);
    world.advance(70s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.startsOf(job), 4U);
    EXPECT_EQ(world.acceleratorMsInRows(), 4 * 4 * 60000);
}

} // namespace
} // namespace coriander
