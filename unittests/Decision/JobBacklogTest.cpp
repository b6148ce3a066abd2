#include "corianderscale/Decision/JobBacklog.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

// Guards against a backlog without a bound, and against one that is full and not full by turns.
TEST(JobBacklog, isFullFromTheMaximumToSevenEighths)
{
    JobBacklog backlog(800);
    backlog.add(799);
    EXPECT_FALSE(backlog.isFull());
    backlog.add(1);
    EXPECT_TRUE(backlog.isFull());
    backlog.remove(99);
    EXPECT_TRUE(backlog.isFull());
    backlog.remove(1);
    EXPECT_FALSE(backlog.isFull());
    backlog.add(99);
    EXPECT_FALSE(backlog.isFull());
}

} // namespace
} // namespace coriander::decision
