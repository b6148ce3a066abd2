#include "corianderscale/Decision/Evacuation.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against work that is lost with its worker, and against stopping work that would have been done.
TEST(Evacuation, onlyRunsThatOutlastTheirWorkerAreStopped)
{
    EXPECT_TRUE(shouldEvacuate({seconds(2), seconds(6)}));
    EXPECT_TRUE(shouldEvacuate({milliseconds(-300), seconds(1)}));
    EXPECT_FALSE(shouldEvacuate({seconds(2), milliseconds(1900)}));
    EXPECT_FALSE(shouldEvacuate({seconds(2), milliseconds(2100)})) << "workers usually leave a little later";
}

} // namespace
} // namespace coriander::decision
