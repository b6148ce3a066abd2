#include "corianderscale/Workflow/StateSweeper.h"

#include "corianderscale/Workflow/Records.h"

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

class Sweeper : public ::testing::Test
{
protected:
    Sweeper()
        : m_store(m_timeline)
        , m_sweeper({}, m_timeline.clock(), m_store)
    {
    }

    void addState(const std::string &job, JobState state)
    {
        const StateRecord record{state, QueueName("q"), OrganisationId("org"), m_timeline.clock().wallNow()};
        m_store.apply({{}, {{StatesTable, job, encodeState(record), {}, false}}, {}});
    }

    void runFor(Duration time)
    {
        const MonotonicTime end = m_timeline.now() + time;
        while (m_timeline.now() < end) {
            m_sweeper.step();
            m_timeline.runFor(seconds(1));
        }
    }

    Timeline m_timeline;
    FakeRowStore m_store;
    StateSweeper m_sweeper;
};

// Guards against expired states that are never removed, and against states that are removed too early.
TEST_F(Sweeper, removesStatesOfJobsThatEndedLongAgo)
{
    addState("ended", JobState::Completed);
    addState("running", JobState::Running);
    runFor(seconds(150));
    addState("later", JobState::Failed);
    EXPECT_NE(m_store.find(StatesTable, "ended"), nullptr);
    runFor(seconds(50));
    EXPECT_EQ(m_store.find(StatesTable, "ended"), nullptr);
    EXPECT_NE(m_store.find(StatesTable, "running"), nullptr);
    EXPECT_NE(m_store.find(StatesTable, "later"), nullptr);
}

// Guards against rows of cancelled jobs that were never stored and whose rows stay for ever.
TEST_F(Sweeper, removesWithdrawnJobs)
{
    const StateRecord record{JobState::Cancelled, {}, {}, m_timeline.clock().wallNow(), true};
    m_store.apply({{}, {{StatesTable, "withdrawn", encodeState(record), {}, false}}, {}});
    runFor(seconds(100));
    EXPECT_NE(m_store.find(StatesTable, "withdrawn"), nullptr);
    runFor(seconds(100));
    EXPECT_EQ(m_store.find(StatesTable, "withdrawn"), nullptr);
}

// Guards against a sweeper that stops after a failed call.
TEST_F(Sweeper, goesOnAfterAnOutage)
{
    for (int i = 0; i < 120; ++i) {
        addState("j" + std::to_string(i), JobState::Cancelled);
    }
    m_store.isUnreachable = true;
    runFor(seconds(200));
    EXPECT_EQ(m_store.rows.size(), 120U);
    m_store.isUnreachable = false;
    runFor(seconds(10));
    EXPECT_TRUE(m_store.rows.empty());
}

// Guards against an undecodable row that stops the sweeper or is removed.
TEST_F(Sweeper, leavesRowsThatItCannotRead)
{
    m_store.apply({{}, {{StatesTable, "foreign", "?", {}, false}}, {}});
    addState("ended", JobState::Completed);
    runFor(seconds(200));
    EXPECT_NE(m_store.find(StatesTable, "foreign"), nullptr);
    EXPECT_EQ(m_store.find(StatesTable, "ended"), nullptr);
}

} // namespace
} // namespace coriander::workflow
