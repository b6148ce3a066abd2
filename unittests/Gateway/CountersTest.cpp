#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayCluster.h"

namespace coriander {
namespace {

/** Sum of the counter rows of all gateways and days; sets @p allClosed to whether every row is closed. */
ItemCounts tableTotals(GatewayCluster &cluster, bool &allClosed)
{
    ItemCounts total;
    allClosed = true;
    cluster.store.scan({"counts/", "", 1000}, NeverDue, [&](std::optional<TableRows> rows, const CoordinationError &) {
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
        m_cluster.addEndpoint("e1", 8);
        m_gateway1 = &m_cluster.addGateway("gateway-1");
        m_gateway2 = &m_cluster.addGateway("gateway-2");
        m_cluster.addGateway("gateway-3");
        m_cluster.advance(std::chrono::milliseconds(100));
    }

    GatewayCluster m_cluster;
    GatewayCluster::Node *m_gateway1 = nullptr;
    GatewayCluster::Node *m_gateway2 = nullptr;
};

// Guards against answers that are released before their counts are durable.
TEST_F(Counters, ACountIsInTheTableWhenItsAnswerIsReleased)
{
    const auto call = m_cluster.post(*m_gateway1, "find", "", "body");
    while (call->responseCount == 0) {
        m_cluster.advance(std::chrono::milliseconds(10));
    }
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).finished, 1);
}

// Guards against answers that wait for an unavailable store, and against the loss of counts when their gateway dies.
TEST_F(Counters, CopiesOfADeadGatewayAreWrittenBack)
{
    m_cluster.store.setFaults([](const auto &, const auto &) { return StoreFault::Unavailable; });
    const auto call = m_cluster.post(*m_gateway1, "find", "", "body");
    m_cluster.advance(std::chrono::milliseconds(500));
    EXPECT_EQ(call->response.status, 200);
    EXPECT_GE(m_gateway1->copiesSent, 2);
    m_cluster.kill(*m_gateway1);
    m_cluster.shareMembers();
    m_cluster.store.setFaults({});
    m_cluster.advance(std::chrono::seconds(3));
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).finished, 1);
}

// Guards against counts that are lost or counted twice when the answer to a commit is lost.
TEST_F(Counters, ALostCommitAnswerCountsOnce)
{
    int commits = 0;
    m_cluster.store.setFaults([&commits](const std::string &operation, const OperationId &) {
        return operation == "commit" && ++commits == 1 ? StoreFault::AnswerLost : StoreFault::None;
    });
    const auto call = m_cluster.post(*m_gateway1, "find", "", "body");
    m_cluster.advance(std::chrono::seconds(3));
    EXPECT_EQ(call->responseCount, 1);
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).finished, 1);
}

// Guards against a row that stays open after midnight in the site's time zone, and against lost counts of the past day.
TEST_F(Counters, TheRowOfAPastDayIsClosed)
{
    m_cluster.post(*m_gateway1, "find", "", "body");
    m_cluster.advance(std::chrono::seconds(1));
    m_cluster.clock.jumpWall(std::chrono::hours(24));
    m_cluster.advance(std::chrono::seconds(3));
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).finished, 1);
    EXPECT_TRUE(closed);
}

// Guards against refusals that are not counted.
TEST_F(Counters, RefusalsAreCounted)
{
    m_cluster.endpoints.at("e1").up = false;
    const auto call = m_cluster.post(*m_gateway1, "find", "", "body");
    m_cluster.advance(std::chrono::seconds(10));
    EXPECT_EQ(call->error.outcome, Outcome::NotRun);
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).refusedNotRun, 1);
}

// Guards against a drain that leaves requests unanswered, or rows open or incomplete (P7).
TEST_F(Counters, ADrainAnswersAllAndClosesTheRows)
{
    std::vector<std::shared_ptr<GatewayCluster::CallRecord>> call;
    for (int i = 0; i < 6; ++i) {
        call.push_back(m_cluster.post(*m_gateway1, i % 2 == 0 ? "find" : "confirm", "k" + std::to_string(i), "body"));
    }
    m_gateway1->core->beginDrain();
    const auto late = m_cluster.post(*m_gateway1, "find", "", "late");
    EXPECT_EQ(late->error.outcome, Outcome::Rejected);
    while (!m_gateway1->core->isDrained()) {
        m_cluster.advance(std::chrono::milliseconds(10));
    }
    bool all = false;
    m_gateway1->core->closeCounters([&all](bool closed) { all = closed; });
    m_cluster.advance(std::chrono::seconds(1));
    EXPECT_TRUE(all);
    for (const auto &item : call) {
        EXPECT_EQ(item->response.status, 200);
    }
    bool closed = false;
    EXPECT_EQ(tableTotals(m_cluster, closed).finished, 3);
    EXPECT_TRUE(closed);
}

// Guards against released answers without a count, and against counts without a request, under random store faults and
// the death of one gateway while its peers live.
TEST(CountersProperty, EveryReleasedAnswerIsCountedOnce)
{
    rc::check([] {
        GatewayCluster cluster;
        cluster.addEndpoint("e1", 8);
        for (const char *name : {"gateway-1", "gateway-2", "gateway-3"}) {
            cluster.addGateway(name);
        }
        cluster.advance(std::chrono::milliseconds(100));
        bool faultsStopped = false;
        const int faultPercent = *rc::gen::inRange(0, 60);
        cluster.store.setFaults([&](const std::string &, const OperationId &) {
            return !faultsStopped && *rc::gen::inRange(0, 100) < faultPercent
                ? static_cast<StoreFault>(*rc::gen::inRange(1, 4))
                : StoreFault::None;
        });
        std::vector<std::shared_ptr<GatewayCluster::CallRecord>> call;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 10);
            GatewayCluster::Node &node = *cluster.nodes[*rc::gen::inRange<std::size_t>(0, 2)];
            if (action < 5 && node.alive) {
                call.push_back(cluster.post(node, "find", "", "body" + std::to_string(i)));
            } else if (action == 5 && cluster.nodes[0]->alive) {
                cluster.kill(*cluster.nodes[0]);
                cluster.shareMembers();
            } else {
                cluster.advance(std::chrono::milliseconds(*rc::gen::element(10, 50, 300)));
            }
        }
        faultsStopped = true;
        cluster.advance(std::chrono::seconds(30), std::chrono::milliseconds(50));
        std::int64_t released = 0;
        for (const auto &item : call) {
            RC_ASSERT(item->responseCount <= 1);
            released += item->responseCount;
        }
        bool closed = false;
        const ItemCounts total = tableTotals(cluster, closed);
        const auto sent = static_cast<std::int64_t>(call.size());
        RC_ASSERT(total.accepted >= released);
        RC_ASSERT(total.accepted <= sent);
        RC_ASSERT(total.accepted == total.finished + total.failed + total.refusedNotRun + total.unknown);
    });
}

} // namespace
} // namespace coriander
