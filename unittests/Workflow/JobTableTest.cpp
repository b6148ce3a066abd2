#include "corianderscale/Workflow/JobTable.h"

#include <gtest/gtest.h>

namespace coriander::workflow {
namespace {

// Guards against tasks that are assigned twice, or left out, because one that runs, ran or is done counts as waiting or
// the other way round.
TEST(StepTasks, waitingTasksAreThoseThatNeitherRunNorAreDone)
{
    StepTasks tasks(8);
    tasks.setPhase(0, TaskPhase::Assigned);
    tasks.setDone(2);
    tasks.setPhase(3, TaskPhase::Assigned);
    tasks.setPhase(3, TaskPhase::Waiting);
    tasks.state(5).run = 4;
    tasks.setPhase(7, TaskPhase::Assigned);
    tasks.setDone(7);
    EXPECT_EQ(tasks.waitingTasks(100), (std::vector<std::size_t>{1, 3, 4, 5, 6}));
    EXPECT_EQ(tasks.waitingTasks(2), (std::vector<std::size_t>{1, 3}));
    EXPECT_EQ(tasks.waiting(), 5U);
    EXPECT_EQ(StepTasks(3).waitingTasks(100), (std::vector<std::size_t>{0, 1, 2}));
}

} // namespace
} // namespace coriander::workflow
