#include "corianderscale/Decision/WorkerBlame.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

// Guards against workers that get no work because of a job that fails everywhere, and against workers that fail all
// they start and go on getting work.
TEST(WorkerBlame, failuresOfOneJobThatFailsElsewhereAreTheJobs)
{
    EXPECT_FALSE(isWorkerToBlame({1, 1, false}));
    EXPECT_TRUE(isWorkerToBlame({2, 1, false}));
    EXPECT_FALSE(isWorkerToBlame({5, 1, true}));
    EXPECT_TRUE(isWorkerToBlame({2, 2, true}));
}

} // namespace
} // namespace coriander::decision
