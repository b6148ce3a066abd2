#include "corianderscale/Coordination/StoreEngine.h"

#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Coordination/FakePlatform.h"

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Outcome {
    int calls = 0;
    std::optional<TableTransactionResult> result;
    CoordinationError error;
};

class StoreEngineTest : public testing::Test
{
protected:
    /** Starts a conditional write of one row. The returned object receives the outcome. */
    std::shared_ptr<Outcome> write(const std::string &key, int version, Duration timeout = seconds(2))
    {
        auto outcome = std::make_shared<Outcome>();
        m_engine.commit(
            {OperationId("op" + std::to_string(++m_operations)), {{key, RowVersion(version)}}, {{key, "v"}}, {}},
            m_clock.clock().now() + timeout,
            [outcome](std::optional<TableTransactionResult> result, const CoordinationError &error) {
                ++outcome->calls;
                outcome->result = std::move(result);
                outcome->error = error;
            });
        return outcome;
    }

    void run(Duration time)
    {
        constexpr Duration Step = milliseconds(5);
        for (Duration elapsed{}; elapsed < time; elapsed += Step) {
            m_engine.poll();
            m_clock.advance(Step);
        }
        m_engine.poll();
    }

    ManualClock m_clock;
    FakePlatform m_platform{m_clock.clock()};
    StoreEngine m_engine{{},
                         m_clock.clock(),
                         [] { return 0.5; },
                         [this](const HttpRequest &request, MonotonicTime deadline, const HttpCompletion &done) {
                             m_platform.send(request, deadline, done);
                         },
                         [] {
                         }};
    int m_operations = 0;
};

// Guards against a conflict of one caller that is reported to another caller whose transaction was joined with it.
TEST_F(StoreEngineTest, conflictInAGroupFailsOnlyItsPart)
{
    const auto early = write("taken", 0);
    run(milliseconds(30));
    const std::size_t before = m_platform.requests.size();
    const auto good = write("free", 0);
    const auto bad = write("taken", 0);
    const auto other = write("free2", 0);
    run(milliseconds(30));
    EXPECT_TRUE(good->result && good->result->committed);
    EXPECT_TRUE(other->result && other->result->committed);
    ASSERT_TRUE(bad->result);
    EXPECT_FALSE(bad->result->committed);
    ASSERT_EQ(bad->result->conflicts.size(), 1U);
    EXPECT_EQ(bad->result->conflicts[0].key, "taken");
    EXPECT_EQ(bad->result->conflicts[0].version, early->result->version);
    EXPECT_EQ(m_platform.requests.size(), before + 2) << "one joined write, one for the parts that had no conflict";
}

// Guards against a lost answer that is reported as a conflict with the writer's own write, or a write applied twice.
TEST_F(StoreEngineTest, lostAnswerIsRetriedWithTheSameOperation)
{
    m_platform.scriptedFaults = {PlatformFault::AnswerLost, PlatformFault::AnswerLost};
    const auto first = write("a", 0);
    const auto second = write("b", 0);
    run(milliseconds(500));
    EXPECT_EQ(first->calls, 1);
    EXPECT_TRUE(first->result && first->result->committed);
    EXPECT_TRUE(second->result && second->result->committed);
    EXPECT_EQ(m_platform.requests.size(), 3U);
    EXPECT_EQ(m_platform.requests[0].body, m_platform.requests[2].body);
}

// Guards against an error that says that nothing was written although an earlier try may have taken effect.
TEST_F(StoreEngineTest, unknownOutcomeIsNeverReportedAsNotWritten)
{
    m_platform.scriptedFaults = {PlatformFault::AnswerLost};
    m_platform.defaultFault = PlatformFault::Unreachable;
    const auto outcome = write("a", 0);
    run(seconds(3));
    EXPECT_EQ(outcome->calls, 1);
    EXPECT_EQ(outcome->error.code, CoordinationCode::OutcomeUnknown);
}

// Guards against callers that wait long for a store that is down, and against a client that does not recover.
TEST_F(StoreEngineTest, callsFailFastWhileStoreIsUnavailableAndRecover)
{
    m_platform.defaultFault = PlatformFault::Unreachable;
    const auto first = write("a", 0);
    run(seconds(3));
    EXPECT_EQ(first->error.code, CoordinationCode::StoreUnavailable);
    EXPECT_EQ(m_engine.state(), StoreState::Unavailable);
    m_platform.defaultFault = PlatformFault::None;
    run(seconds(5));
    const auto second = write("a", 0);
    run(milliseconds(100));
    EXPECT_TRUE(second->result && second->result->committed);
    EXPECT_NE(m_engine.state(), StoreState::Unavailable);
}

// Guards against a 503 that fails the write, and against retries before the time given by Retry-After.
TEST_F(StoreEngineTest, refusalWaitsForRetryAfter)
{
    m_platform.scriptedFaults = {PlatformFault::Refused};
    const auto outcome = write("a", 0);
    run(milliseconds(65));
    EXPECT_EQ(m_platform.requests.size(), 1U);
    run(milliseconds(50));
    EXPECT_TRUE(outcome->result && outcome->result->committed);
}

// Guards against one instance that uses more than its share of the site's write budget.
TEST_F(StoreEngineTest, budgetIsDividedAmongInstances)
{
    m_engine.setLiveInstances(300);
    const auto first = write("a", 0);
    run(milliseconds(30));
    const auto second = write("b", 0, milliseconds(500));
    const auto third = write("c", 0, seconds(3));
    run(milliseconds(30));
    EXPECT_TRUE(first->result);
    EXPECT_EQ(second->error.code, CoordinationCode::OverBudget);
    EXPECT_FALSE(third->result);
    run(seconds(2));
    EXPECT_TRUE(third->result && third->result->committed);
}

// Guards against completions that are never called when the daemon shuts down.
TEST_F(StoreEngineTest, stopCompletesAllCalls)
{
    const auto gathered = write("a", 0);
    m_engine.stop();
    const auto late = write("b", 0);
    EXPECT_EQ(gathered->error.code, CoordinationCode::StoreUnavailable);
    EXPECT_EQ(late->error.code, CoordinationCode::StoreUnavailable);
}

// Guards against results that do not match the table, under any sequence of faults.
RC_GTEST_FIXTURE_PROP(StoreEngineTest, reportedResultsMatchTheTable, ())
{
    const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (const int fault : faults) {
        m_platform.scriptedFaults.push_back(static_cast<PlatformFault>(fault));
    }
    std::map<std::string, std::shared_ptr<Outcome>> outcomes;
    for (const char *key : {"a", "b", "c", "d"}) {
        outcomes[key] = write(key, 0);
        run(milliseconds(*rc::gen::inRange(0, 40)));
    }
    run(seconds(4));
    for (const auto &[key, outcome] : outcomes) {
        const bool written = m_platform.table.read({{key}}).rows[0].version != RowVersion(0);
        RC_ASSERT(outcome->calls == 1);
        if (outcome->result) {
            RC_ASSERT(outcome->result->committed);
            RC_ASSERT(written);
        } else if (outcome->error.code != CoordinationCode::OutcomeUnknown) {
            RC_ASSERT(!written);
        }
    }
}

} // namespace
} // namespace coriander
