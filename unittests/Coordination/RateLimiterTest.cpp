#include "corianderscale/Coordination/RateLimiter.h"

#include "corianderscale/Coordination/RetryBudget.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime Start;
const OrganisationId Organisation("org");
const CallerId SmallCaller("small");
const CallerId LargeCaller("large");

/** Counts the accepted requests when the caller sends one per millisecond for the given time. */
int countAccepted(
    RateLimiter &limits, MonotonicTime from, Duration time, const RateLimit &organisation, const RateLimit &caller)
{
    int count = 0;
    for (Duration after{}; after < time; after += milliseconds(1)) {
        count += limits.tryTake(from + after, Organisation, organisation, LargeCaller, caller) ? 0 : 1;
    }
    return count;
}

// Guards against n gateways together accepting n times the limit.
TEST(RateLimiter, rateIsDividedByTheLiveGateways)
{
    RateLimiter limits;
    limits.setLiveGateways(4);
    EXPECT_NEAR(countAccepted(limits, Start, seconds(10), {}, {40, 4}), 101, 1);
    limits.setLiveGateways(2);
    EXPECT_NEAR(countAccepted(limits, Start + seconds(10), seconds(10), {}, {40, 4}), 200, 2);
}

// Guards against one caller with too many requests exhausting the limit that its organisation's other callers need.
TEST(RateLimiter, callerLimitProtectsOtherCallers)
{
    RateLimiter limits;
    const RateLimit organisation{100, 10};
    countAccepted(limits, Start, seconds(1), organisation, {20, 2});
    EXPECT_FALSE(limits.tryTake(Start + seconds(1), Organisation, organisation, SmallCaller, {20, 2}));
}

// Guards against a request that the organisation's limit refuses taking a token of the caller.
TEST(RateLimiter, refusedRequestTakesNoToken)
{
    RateLimiter limits;
    EXPECT_FALSE(limits.tryTake(Start, Organisation, {1, 1}, LargeCaller, {1, 1}));
    const auto refusal = limits.tryTake(Start, Organisation, {1, 1}, SmallCaller, {1, 1});
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->scope, LimitScope::Organisation);
    EXPECT_EQ(refusal->retryAfter, seconds(1));
    EXPECT_FALSE(limits.tryTake(Start, Organisation, {}, SmallCaller, {1, 1}));
}

// Guards against memory use that grows with the number of callers ever seen.
TEST(RateLimiter, numberOfBucketsIsBounded)
{
    RateLimiter limits(100);
    for (int i = 0; i < 1000; ++i) {
        limits.tryTake(Start + milliseconds(i), Organisation, {}, CallerId(std::to_string(i)), {0.001, 1});
    }
    EXPECT_LE(limits.size(), 100U);
}

// Guards against retries that amplify an overload: retries stay within the share of sends plus the initial budget.
TEST(RetryBudget, retriesAreLimitedToShareOfSends)
{
    RetryBudget budget({0.1, 10});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordSend();
        retries += budget.tryTakeRetry() ? 1 : 0;
    }
    EXPECT_LE(retries, 110);
    EXPECT_GE(retries, 100);
}

} // namespace
} // namespace coriander
