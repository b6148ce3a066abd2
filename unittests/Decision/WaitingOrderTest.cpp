#include "corianderscale/Decision/WaitingOrder.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::seconds;

// Guards against urgent work behind work that can wait, and against late work before work that can still be in time.
TEST(WaitingOrder, lateWorkGivesWayByOneAndAHalfPriorities)
{
    const double urgent = waitingRank({0, false, false, seconds(2), seconds(4)});
    const double lateUrgent = waitingRank({0, false, false, seconds(5), seconds(4)});
    EXPECT_LT(urgent, lateUrgent);
    EXPECT_LT(waitingRank({1, false, false, seconds(2), seconds(4)}), lateUrgent);
    EXPECT_LT(lateUrgent, waitingRank({2, false, false, seconds(2), seconds(4)}));
}

// Guards against guaranteed work that waits for anything.
TEST(WaitingOrder, guaranteedWorkComesFirst)
{
    EXPECT_LT(waitingRank({0, true, false, seconds(50), seconds(4)}),
              waitingRank({0, false, false, seconds(1), seconds(4)}));
}

// Guards against work that lasts and waits behind work of lower priority, because it has no end and so always looks
// late.
TEST(WaitingOrder, workThatLastsIsNeverLate)
{
    const double lasting = waitingRank({2, false, true, seconds(500), seconds(4)});
    EXPECT_LT(lasting, waitingRank({0, false, false, seconds(1), seconds(4)}));
    EXPECT_LT(waitingRank({0, true, false, seconds(1), seconds(4)}), lasting);
}

} // namespace
} // namespace coriander::decision
