#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayWorld.h"

namespace coriander {
namespace {

/** Sum of the counter rows of all gateways and days; sets @p allClosed to whether every row is closed. */
ItemCounts tableTotals(GatewayWorld &world, bool &allClosed)
{
    ItemCounts total;
    allClosed = true;
    world.store.scan({"counts/", "", 1000}, NeverDue, [&](std::optional<TableRows> rows, const CoordinationError &) {
        ASSERT_TRUE(rows.has_value());
        for (const TableRow &row : rows->rows) {
            ProtocolError error;
            const auto record = decodeMessage<CountsRecord>(row.value, error);
            ASSERT_TRUE(record.has_value());
            allClosed = allClosed && record->closed;
            for (const auto &[caller, counts] : record->counts) {
                total += counts;
            }
        }
    });
    return total;
}

class Counters : public ::testing::Test
{
protected:
    Counters()
    {
        m_world.addEndpoint("e1", 8);
        m_one = &m_world.addGateway("gateway-1");
        m_two = &m_world.addGateway("gateway-2");
        m_world.addGateway("gateway-3");
        m_world.advance(std::chrono::milliseconds(100));
    }

    GatewayWorld m_world;
    GatewayWorld::Node *m_one = nullptr;
    GatewayWorld::Node *m_two = nullptr;
};

// Guards against answers that are released before their counts are durable.
TEST_F(Counters, AnAnswerIsInTheTableWhenItIsReleased)
{
    const auto told = m_world.post(*m_one, "find", "", "body");
    while (told->times == 0) {
        m_world.advance(std::chrono::milliseconds(10));
    }
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).finished, 1);
}

// Guards against answers that wait for an unavailable store, and against the loss of counts when their gateway dies.
TEST_F(Counters, CopiesOfADeadGatewayAreWrittenBack)
{
    m_world.store.setFaults([](const auto &, const auto &) { return StoreFault::Away; });
    const auto told = m_world.post(*m_one, "find", "", "body");
    m_world.advance(std::chrono::milliseconds(500));
    EXPECT_EQ(told->response.status, 200);
    EXPECT_GE(m_one->copiesSent, 2);
    m_world.kill(*m_one);
    m_world.shareMembers();
    m_world.store.setFaults({});
    m_world.advance(std::chrono::seconds(3));
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).finished, 1);
}

// Guards against counts that are lost or counted twice when the answer to a commit is lost.
TEST_F(Counters, ALostCommitAnswerCountsOnce)
{
    int commits = 0;
    m_world.store.setFaults([&commits](const std::string &operation, const OperationId &) {
        return operation == "commit" && ++commits == 1 ? StoreFault::AnswerLost : StoreFault::None;
    });
    const auto told = m_world.post(*m_one, "find", "", "body");
    m_world.advance(std::chrono::seconds(3));
    EXPECT_EQ(told->times, 1);
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).finished, 1);
}

// Guards against a row that stays open after midnight in the site's time zone, and against lost counts of the past day.
TEST_F(Counters, TheRowOfAPastDayIsClosed)
{
    m_world.post(*m_one, "find", "", "body");
    m_world.advance(std::chrono::seconds(1));
    m_world.clock.jumpWall(std::chrono::hours(24));
    m_world.advance(std::chrono::seconds(3));
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).finished, 1);
    EXPECT_TRUE(closed);
}

// Guards against refusals that are not counted.
TEST_F(Counters, RefusalsAreCounted)
{
    m_world.endpoints.at("e1").up = false;
    const auto told = m_world.post(*m_one, "find", "", "body");
    m_world.advance(std::chrono::seconds(10));
    EXPECT_EQ(told->error.outcome, Outcome::NotRun);
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).refusedNotRun, 1);
}

// Guards against a drain that leaves requests unanswered, or rows open or incomplete (P7).
TEST_F(Counters, ADrainAnswersAllAndClosesTheRows)
{
    std::vector<std::shared_ptr<GatewayWorld::Told>> told;
    for (int i = 0; i < 6; ++i) {
        told.push_back(m_world.post(*m_one, i % 2 == 0 ? "find" : "confirm", "k" + std::to_string(i), "body"));
    }
    m_one->core->beginDrain();
    const auto late = m_world.post(*m_one, "find", "", "late");
    EXPECT_EQ(late->error.outcome, Outcome::Rejected);
    while (!m_one->core->drained()) {
        m_world.advance(std::chrono::milliseconds(10));
    }
    bool all = false;
    m_one->core->closeCounters([&all](bool closed) { all = closed; });
    m_world.advance(std::chrono::seconds(1));
    EXPECT_TRUE(all);
    for (const auto &item : told) {
        EXPECT_EQ(item->response.status, 200);
    }
    bool closed = false;
    EXPECT_EQ(tableTotals(m_world, closed).finished, 3);
    EXPECT_TRUE(closed);
}

// Guards against released answers without a count, and against counts without a request, under random store faults and
// the death of one gateway while its peers live.
TEST(CountersProperty, EveryReleasedAnswerIsCountedOnce)
{
    rc::check([] {
        GatewayWorld world;
        world.addEndpoint("e1", 8);
        for (const char *name : {"gateway-1", "gateway-2", "gateway-3"}) {
            world.addGateway(name);
        }
        world.advance(std::chrono::milliseconds(100));
        bool healed = false;
        const int faultShare = *rc::gen::inRange(0, 60);
        world.store.setFaults([&](const std::string &, const OperationId &) {
            return !healed && *rc::gen::inRange(0, 100) < faultShare ? static_cast<StoreFault>(*rc::gen::inRange(1, 4))
                                                                     : StoreFault::None;
        });
        std::vector<std::shared_ptr<GatewayWorld::Told>> told;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 10);
            GatewayWorld::Node &node = *world.nodes[*rc::gen::inRange<std::size_t>(0, 2)];
            if (action < 5 && node.alive) {
                told.push_back(world.post(node, "find", "", "body" + std::to_string(i)));
            } else if (action == 5 && world.nodes[0]->alive) {
                world.kill(*world.nodes[0]);
                world.shareMembers();
            } else {
                world.advance(std::chrono::milliseconds(*rc::gen::element(10, 50, 300)));
            }
        }
        healed = true;
        world.advance(std::chrono::seconds(30), std::chrono::milliseconds(50));
        std::int64_t released = 0;
        for (const auto &item : told) {
            RC_ASSERT(item->times <= 1);
            released += item->times;
        }
        bool closed = false;
        const ItemCounts total = tableTotals(world, closed);
        const auto sent = static_cast<std::int64_t>(told.size());
        RC_ASSERT(total.accepted >= released);
        RC_ASSERT(total.accepted <= sent);
        RC_ASSERT(total.accepted == total.finished + total.failed + total.refusedNotRun + total.unknown);
    });
}

} // namespace
} // namespace coriander
