#include "corianderscale/Decision/AdvicePace.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How long the advisors of the deployments take for an answer. */
Duration answerTime(std::size_t workers)
{
    return milliseconds(200) + milliseconds(20) * workers;
}

// Guards against long questions while other steps wait for theirs, and against gangs that need several questions.
TEST(AdvicePace, sizeFollowsWhatIsNeeded)
{
    const AdvicePace pace;
    EXPECT_EQ(pace.workersPerQuestion({1, false, false}), 30U);
    EXPECT_EQ(pace.workersPerQuestion({1, false, true}), 6U);
    EXPECT_EQ(pace.workersPerQuestion({10, false, true}), 20U);
    EXPECT_EQ(pace.workersPerQuestion({60, false, true}), 30U);
    EXPECT_EQ(pace.workersPerQuestion({60, true, true}), 60U);
    EXPECT_EQ(pace.workersPerQuestion({60, true, false}), 60U);
    EXPECT_EQ(pace.workersPerQuestion({500, true, true}), MaximumAdviceWorkers);
}

// Guards against a time limit below the answer time of the deployments, and one that keeps other steps waiting for a
// lost answer for longer than the 3 s of the rule LOST.
TEST(AdvicePace, timeLimitFitsTheDeployments)
{
    const AdvicePace pace;
    for (const std::size_t workers : {1U, 30U, 100U}) {
        EXPECT_GE(pace.timeLimit(workers), 2 * answerTime(workers));
    }
    EXPECT_LT(pace.timeLimit(30), seconds(3));
}

// Guards against an advisor that always takes somewhat longer than the time limit, so that no answer is ever used.
TEST(AdvicePace, timeLimitStaysLongWhileTheAdvisorIsSlow)
{
    AdvicePace pace;
    const Duration slow = pace.timeLimit(24) + milliseconds(500);
    pace.unanswered();
    for (int i = 0; i < 10; ++i) {
        ASSERT_GT(pace.timeLimit(24), slow);
        pace.answered(24, slow, seconds(30));
    }
    for (int i = 0; i < 10; ++i) {
        pace.answered(24, answerTime(24), seconds(3));
    }
    EXPECT_EQ(pace.timeLimit(24), AdvicePace().timeLimit(24));
}

// Guards against a time limit that grows without a bound while the advisor is away.
TEST(AdvicePace, timeLimitIsBounded)
{
    AdvicePace pace;
    for (int i = 0; i < 100; ++i) {
        pace.unanswered();
    }
    EXPECT_EQ(pace.timeLimit(1), seconds(5));
    EXPECT_EQ(pace.timeLimit(100), seconds(5));
}

// Guards against questions that are so long that their tickets have expired when the answer arrives.
TEST(AdvicePace, questionsBecomeShortWhileAnswersTakeLong)
{
    AdvicePace pace;
    const auto slowTime = [](std::size_t workers) {
        return milliseconds(100) + milliseconds(150) * workers;
    };
    std::size_t workers = pace.workersPerQuestion({1, false, false});
    for (int i = 0; i < 10; ++i) {
        pace.answered(workers, slowTime(workers), seconds(3));
        workers = pace.workersPerQuestion({1, false, false});
    }
    EXPECT_LT(slowTime(workers), milliseconds(1500));
    EXPECT_GE(workers, 1U);
    for (int i = 0; i < 10; ++i) {
        pace.answered(workers, answerTime(workers), seconds(3));
    }
    EXPECT_EQ(pace.workersPerQuestion({1, false, false}), 30U);
}

} // namespace
} // namespace coriander::decision
