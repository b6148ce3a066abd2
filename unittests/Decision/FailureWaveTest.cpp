#include "corianderscale/Decision/FailureWave.h"

#include <gtest/gtest.h>

namespace coriander::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime Start = MonotonicTime(seconds(100));

// Guards against a wave that is noticed only after every failing worker was met.
TEST(FailureWave, earlyFailuresOfSeveralWorkersAreAWave)
{
    FailureWave wave;
    wave.recordFailure("a", Start, milliseconds(150));
    EXPECT_FALSE(wave.since(Start, 48));
    wave.recordFailure("b", Start + milliseconds(300), milliseconds(150));
    EXPECT_FALSE(wave.since(Start + milliseconds(300), 48)) << "two failures may be the jobs' fault";
    wave.recordFailure("c", Start + milliseconds(400), milliseconds(150));
    EXPECT_EQ(wave.since(Start + milliseconds(400), 48), Start);
    EXPECT_FALSE(wave.since(Start + milliseconds(400), 500)) << "three of 500 workers are no wave";
}

// Guards against faulty jobs being taken for faulty workers.
TEST(FailureWave, failuresOfOneWorkerOrAfterLongRunsAreNone)
{
    FailureWave wave;
    for (int i = 0; i < 20; ++i) {
        wave.recordFailure("a", Start + milliseconds(10 * i), milliseconds(150));
        wave.recordFailure("w" + std::to_string(i), Start + milliseconds(10 * i), seconds(4));
    }
    EXPECT_FALSE(wave.since(Start + milliseconds(200), 48));
}

// Guards against a wave that never ends, and against a beginning that moves while it lasts.
TEST(FailureWave, lastsWhileWorkersFail)
{
    FailureWave wave;
    for (int i = 0; i < 50; ++i) {
        wave.recordFailure("w" + std::to_string(i % 7), Start + milliseconds(100 * i), milliseconds(150));
        if (i >= 2) {
            EXPECT_EQ(wave.since(Start + milliseconds(100 * i), 48), Start);
        }
    }
    EXPECT_FALSE(wave.since(Start + seconds(8), 48));
}

// Guards against work that waits for proof beside idle workers for 3 s, which the contract does not allow.
TEST(FailureWave, waitIsShortWhileWorkersAreIdle)
{
    EXPECT_TRUE(shouldWaitForProof(seconds(1), 0.2));
    EXPECT_FALSE(shouldWaitForProof(milliseconds(2100), 0.5));
    EXPECT_TRUE(shouldWaitForProof(seconds(5), 0.8));
    EXPECT_FALSE(shouldWaitForProof(seconds(9), 0.8));
}

} // namespace
} // namespace coriander::decision
