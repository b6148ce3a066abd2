#include "corianderscale/Coordination/Backoff.h"
#include "corianderscale/Coordination/CircuitBreaker.h"
#include "corianderscale/Coordination/CommitGroup.h"
#include "corianderscale/Coordination/StoreHealth.h"
#include "corianderscale/Coordination/TokenBucket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime Start;
constexpr Duration GatherTime = milliseconds(20);

CommitPart part(const std::string &key, MonotonicTime deadline = Start + seconds(2))
{
    return {{OperationId("op-" + key), {{key, RowVersion(0)}}, {{key, "v"}}, {}}, deadline, {}};
}

// Guards against reservations that exceed the rate and overload the platform for all clients.
TEST(TokenBucket, reservationsDoNotExceedTheRate)
{
    TokenBucket bucket(10, 1, Start);
    EXPECT_EQ(bucket.reserve(Start), Start);
    EXPECT_EQ(bucket.reserve(Start), Start + milliseconds(100));
    EXPECT_EQ(bucket.reserve(Start), Start + milliseconds(200));
    bucket.giveBack();
    EXPECT_EQ(bucket.reserve(Start), Start + milliseconds(200));
    EXPECT_FALSE(bucket.tryTake(Start + milliseconds(250)));
    EXPECT_TRUE(bucket.tryTake(Start + milliseconds(300)));
}

// Guards against instances that failed together and retry together, and against unbounded delays.
TEST(Backoff, growsToMaximumWithJitter)
{
    const BackoffSettings settings{milliseconds(20), milliseconds(100)};
    EXPECT_EQ(backoffDelay(settings, 1, [] { return 0.0; }), milliseconds(10));
    EXPECT_EQ(backoffDelay(settings, 2, [] { return 0.0; }), milliseconds(20));
    EXPECT_EQ(backoffDelay(settings, 50, [] { return 0.0; }), milliseconds(50));
    EXPECT_GT(backoffDelay(settings, 50, [] { return 0.9; }), milliseconds(90));
}

// Guards against calls that accumulate on a store that is down, and against a breaker that never closes again.
TEST(CircuitBreaker, opensProbesAndCloses)
{
    CircuitBreaker breaker({2, milliseconds(100), milliseconds(150)});
    breaker.recordFailure(Start);
    EXPECT_TRUE(breaker.allow(Start));
    breaker.recordFailure(Start);
    EXPECT_FALSE(breaker.allow(Start + milliseconds(99)));
    EXPECT_TRUE(breaker.allow(Start + milliseconds(100)));
    EXPECT_FALSE(breaker.allow(Start + milliseconds(100))) << "only one probe at a time";
    breaker.recordFailure(Start + milliseconds(100));
    EXPECT_EQ(breaker.probeAt(), Start + milliseconds(250)) << "the pause is limited to the maximum";
    EXPECT_TRUE(breaker.allow(Start + milliseconds(250)));
    breaker.recordSuccess();
    EXPECT_FALSE(breaker.isOpen());
}

// Guards against a store that is reported as available while it refuses or delays calls.
TEST(StoreHealth, reportsSlowAndRecovers)
{
    StoreHealth health({milliseconds(250), 0.2});
    for (int i = 0; i < 3; ++i) {
        health.record(milliseconds(5), false);
    }
    EXPECT_EQ(health.state(), StoreState::Slow);
    for (int i = 0; i < 20; ++i) {
        health.record(milliseconds(5), true);
    }
    EXPECT_EQ(health.state(), StoreState::Available);
    for (int i = 0; i < 20; ++i) {
        health.record(milliseconds(400), true);
    }
    EXPECT_EQ(health.state(), StoreState::Slow);
}

// Guards against two writes to one row in the same transaction, in which the second would always conflict.
TEST(CommitGatherer, separatesTransactionsWithACommonKey)
{
    CommitGatherer gatherer(GatherTime);
    gatherer.add(part("a"), Start);
    gatherer.add(part("a"), Start);
    gatherer.add(part("b"), Start + milliseconds(10));
    EXPECT_FALSE(gatherer.takeDue(Start + milliseconds(19)));
    EXPECT_EQ(gatherer.nextDue(), Start + GatherTime);
    EXPECT_EQ(gatherer.takeDue(Start + GatherTime)->parts.size(), 2U);
    EXPECT_EQ(gatherer.takeDue(Start + GatherTime)->parts.size(), 1U);
    EXPECT_EQ(gatherer.nextDue(), NeverDue);
}

// Guards against the short deadline of one caller that ends the tries of the writes joined with it.
TEST(CommitGatherer, separatesDistantDeadlines)
{
    CommitGatherer gatherer(GatherTime);
    gatherer.add(part("a", Start + seconds(5)), Start);
    gatherer.add(part("b", Start + milliseconds(50)), Start);
    EXPECT_EQ(gatherer.takeDue(Start + GatherTime)->deadline(), Start + seconds(5));
    EXPECT_EQ(gatherer.takeDue(Start + GatherTime)->deadline(), Start + milliseconds(50));
}

// Guards against groups that exceed the platform's limit, lost parts, and reordered writes to one row.
RC_GTEST_PROP(CommitGatherer, keepsEveryPartOnceWithinLimits, ())
{
    const auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 150));
    CommitGatherer gatherer(GatherTime);
    for (std::size_t i = 0; i < keys.size(); ++i) {
        CommitPart added = part(std::to_string(keys[i]));
        added.transaction.operation = OperationId(std::to_string(i));
        gatherer.add(std::move(added), Start);
    }
    std::size_t parts = 0;
    std::map<std::string, int> lastOfKey;
    while (const auto group = gatherer.takeDue(Start + GatherTime)) {
        RC_ASSERT(group->joined().puts.size() <= MaximumTransactionWrites);
        parts += group->parts.size();
        for (const CommitPart &taken : group->parts) {
            const int number = std::stoi(taken.transaction.operation.value());
            const auto last = lastOfKey.find(taken.transaction.puts[0].key);
            RC_ASSERT(last == lastOfKey.end() || last->second < number);
            lastOfKey[taken.transaction.puts[0].key] = number;
        }
    }
    RC_ASSERT(parts == keys.size());
}

} // namespace
} // namespace coriander
