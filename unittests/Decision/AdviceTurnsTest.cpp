#include "corianderscale/Decision/AdviceTurns.h"

#include <gtest/gtest.h>

#include <array>

namespace coriander::decision {
namespace {

using std::chrono::seconds;

AdviceRequest request(AdviceUse use, int since)
{
    return {use, MonotonicTime(seconds(since))};
}

// Guards against a step that waits for room and is asked about although another one could start.
TEST(AdviceTurns, stepsThatWaitForRoomComeLast)
{
    AdviceTurns turns;
    for (int i = 0; i < 10; ++i) {
        for (const AdviceUse use : {AdviceUse::UrgentStart, AdviceUse::Start, AdviceUse::Preempt}) {
            EXPECT_TRUE(turns.comesBefore(request(use, 9), request(AdviceUse::Later, 1)));
            EXPECT_FALSE(turns.comesBefore(request(AdviceUse::Later, 1), request(use, 9)));
        }
        turns.asked(static_cast<AdviceUse>(i % 3));
    }
}

// Guards against urgent steps, or steps that may preempt, that leave no question to the others.
TEST(AdviceTurns, usesTakeTurns)
{
    AdviceTurns turns;
    std::array<int, AdviceUseCount> asked{};
    for (int i = 0; i < 30; ++i) {
        AdviceRequest first = request(AdviceUse::Preempt, 0);
        for (const AdviceUse use : {AdviceUse::Start, AdviceUse::UrgentStart}) {
            if (turns.comesBefore(request(use, 0), first)) {
                first = request(use, 0);
            }
        }
        turns.asked(first.use);
        ++asked[static_cast<std::size_t>(first.use)];
    }
    EXPECT_EQ(asked, (std::array<int, AdviceUseCount>{10, 10, 10, 0}));
}

// Guards against urgent work that waits for a question about other work although its use was not asked about before.
TEST(AdviceTurns, urgentStartsComeFirst)
{
    const AdviceTurns turns;
    EXPECT_TRUE(turns.comesBefore(request(AdviceUse::UrgentStart, 9), request(AdviceUse::Start, 1)));
}

// Guards against a step that is asked about again and again while another one of the same use waits.
TEST(AdviceTurns, theStepThatWaitsLongestComesFirst)
{
    const AdviceTurns turns;
    EXPECT_TRUE(turns.comesBefore(request(AdviceUse::Start, 1), request(AdviceUse::Start, 2)));
    EXPECT_FALSE(turns.comesBefore(request(AdviceUse::Start, 2), request(AdviceUse::Start, 1)));
    EXPECT_FALSE(turns.comesBefore(request(AdviceUse::Start, 1), request(AdviceUse::Start, 1)));
}

} // namespace
} // namespace coriander::decision
