#include "corianderscale/Decision/PoolCapacity.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

Resources sized(std::int64_t cores, std::int64_t memory, std::int64_t accelerators)
{
    return {MilliCores(cores), MemoryMib(memory), Accelerators(accelerators)};
}

PoolCapacity pool()
{
    PoolCapacity made;
    made.add(sized(32, 64, 8), {"a", "r1"});
    made.add(sized(32, 64, 8), {"a", "r2"});
    made.add(sized(16, 256, 0), {"b", "r2"});
    return made;
}

// Guards against work that is planned again and again although no worker is large enough for it in each resource.
TEST(PoolCapacity, aTaskFitsOneWorkerInAllResources)
{
    EXPECT_TRUE(pool().canHold({sized(32, 64, 8)}));
    EXPECT_TRUE(pool().canHold({sized(16, 256, 0)}));
    EXPECT_FALSE(pool().canHold({sized(33, 1, 0)}));
    EXPECT_FALSE(pool().canHold({sized(1, 256, 1)}));
    EXPECT_TRUE(pool().canHold({sized(0, 0, 0)}));
    EXPECT_FALSE(PoolCapacity().canHold({sized(0, 0, 0)}));
}

// Guards against work that is left out although its label is there, and the other way round.
TEST(PoolCapacity, aLabelCountsWithTheCapacityBesideIt)
{
    EXPECT_TRUE(pool().canHold({sized(1, 1, 1), 1, "a"}));
    EXPECT_FALSE(pool().canHold({sized(1, 1, 1), 1, "b"}));
    EXPECT_FALSE(pool().canHold({sized(1, 1, 0), 1, "c"}));
}

// Guards against gangs that are left out, or planned, by the room for one member.
TEST(PoolCapacity, aGangFitsAsAWhole)
{
    EXPECT_TRUE(pool().canHold({sized(1, 1, 8), 2}));
    EXPECT_FALSE(pool().canHold({sized(1, 1, 8), 3}));
    EXPECT_TRUE(pool().canHold({sized(16, 1, 0), 5}));
    EXPECT_FALSE(pool().canHold({sized(16, 1, 0), 6}));
    EXPECT_TRUE(pool().canHold({sized(1, 1, 0), 3, "", 1}));
    EXPECT_FALSE(pool().canHold({sized(1, 1, 0), 4, "", 1}));
}

} // namespace
} // namespace coriander::decision
