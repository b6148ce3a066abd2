#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayCluster.h"

namespace coriander {
namespace {

constexpr auto LongWait = std::chrono::seconds(30);

std::string expectedAnswer(const std::string &service, const std::string &body)
{
    return EndpointModel::makeAnswer(ServiceName(service), contentDigest(body));
}

class Claims : public ::testing::Test
{
protected:
    Claims()
    {
        m_cluster.addEndpoint("e1");
        m_gateway1 = &m_cluster.addGateway("gateway-1");
        m_gateway2 = &m_cluster.addGateway("gateway-2");
        m_cluster.advance(std::chrono::milliseconds(100));
    }

    /** Injects a fault into the n-th commit, counted while m_commits is not reset. */
    void failCommit(int n, StoreFault fault)
    {
        m_cluster.store.setFaults([this, n, fault](const std::string &operation, const OperationId &) {
            return operation == "commit" && ++m_commits == n ? fault : StoreFault::None;
        });
    }

    GatewayCluster m_cluster;
    GatewayCluster::Node *m_gateway1 = nullptr;
    GatewayCluster::Node *m_gateway2 = nullptr;
    int m_commits = 0;
};

// Guards against two gateways that run the same key concurrently.
TEST_F(Claims, OneOfTwoGatewaysRunsAKey)
{
    const auto first = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    const auto second = m_cluster.post(*m_gateway2, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 1);
    EXPECT_EQ(first->responseCount, 1);
    EXPECT_EQ(second->responseCount, 1);
    const auto query = m_cluster.get(*m_gateway2, "k");
    m_cluster.drainTasks();
    EXPECT_EQ(query->response.body, expectedAnswer("confirm", "body"));
}

// Guards against a second run of a repeated key, and against a recorded answer that differs from the first one.
TEST_F(Claims, ARepeatedKeyIsAnsweredFromTheRecord)
{
    const auto first = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    const auto again = m_cluster.post(*m_gateway2, "confirm", "k", "body");
    const auto other = m_cluster.post(*m_gateway2, "confirm", "k", "another body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 1);
    EXPECT_EQ(again->response.body, first->response.body);
    EXPECT_EQ(again->response.header(AttemptIdHeader), first->response.header(AttemptIdHeader));
    EXPECT_EQ(other->error.code, "invalid");
}

// Guards against a caller that can read the request of another caller by its key.
TEST_F(Claims, AnotherCallerDoesNotFindTheKey)
{
    m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    const auto query = m_cluster.get(*m_gateway1, "k", "clerk-token");
    m_cluster.drainTasks();
    EXPECT_EQ(query->error.code, "not-found");
}

// Guards against a claim that is never settled, and against a second run, when the answer to the claim's commit is
// lost.
TEST_F(Claims, ALostClaimIsReadBackAndRunsOnce)
{
    failCommit(1, StoreFault::AnswerLost);
    const auto call = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 1);
    EXPECT_EQ(call->response.body, expectedAnswer("confirm", "body"));
}

// Guards against a wrong outcome when the commit of the claim is lost: the caller must get `not-run`, and a retry must
// run.
TEST_F(Claims, ALostClaimWriteIsReportedAsNotRun)
{
    failCommit(1, StoreFault::RequestLost);
    const auto call = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 0);
    EXPECT_EQ(call->error.outcome, Outcome::NotRun);
    // The record says not-run, so the same request may be run again.
    const auto again = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 1);
    EXPECT_EQ(again->response.body, expectedAnswer("confirm", "body"));
}

// Guards against an answer that is not passed on because the write of its record failed.
TEST_F(Claims, AnAnswerWithoutARecordIsPassedOn)
{
    for (const StoreFault fault : {StoreFault::Unavailable, StoreFault::RequestLost, StoreFault::AnswerLost}) {
        m_commits = 0;
        failCommit(2, fault);
        const std::string key = "k" + std::to_string(static_cast<int>(fault));
        const auto call = m_cluster.post(*m_gateway1, "confirm", key, "body");
        m_cluster.advance(LongWait);
        EXPECT_EQ(call->responseCount, 1);
        EXPECT_EQ(call->response.body, expectedAnswer("confirm", "body"));
    }
    EXPECT_EQ(m_cluster.starts, 3);
}

// Guards against non-idempotent work that starts, and against requests without a response, while the store is
// unavailable.
TEST_F(Claims, StoreUnavailableRefusesAsNotRun)
{
    m_cluster.store.setFaults([](const auto &, const auto &) { return StoreFault::Unavailable; });
    const auto refused = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    const auto served = m_cluster.post(*m_gateway1, "find", "", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(refused->error.code, "cut-off");
    EXPECT_EQ(refused->error.outcome, Outcome::NotRun);
    EXPECT_EQ(served->response.status, 200);
}

// Guards against a second attempt when the first one may have run: after a lost or invalid answer, the endpoint is
// queried instead.
TEST_F(Claims, UncertainOutcomesAreSettledByFencingTheAttempt)
{
    int number = 0;
    for (const EndpointFault fault :
         {EndpointFault::AnswerLost, EndpointFault::Truncated, EndpointFault::WrongAttempt}) {
        m_cluster.endpointFaults = [fault](const HttpRequest &request) {
            return request.path.find("/v1/run/") == 0 ? fault : EndpointFault::None;
        };
        const auto call = m_cluster.post(*m_gateway1, "confirm", "k" + std::to_string(++number), "body");
        m_cluster.advance(LongWait);
        EXPECT_EQ(m_cluster.starts, number);
        EXPECT_EQ(call->response.body, expectedAnswer("confirm", "body"));
    }
}

// Guards against a `not-run` that is recorded too early: a delayed message can still start after the endpoint restarts
// and loses its fence, until the start limit has passed.
TEST_F(Claims, ALostMessageIsNotRunOnlyAfterItsStartLimit)
{
    m_cluster.endpointFaults = [](const HttpRequest &request) {
        return request.path.find("/v1/run/") == 0 ? EndpointFault::RequestLost : EndpointFault::None;
    };
    const auto call = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    m_cluster.advance(std::chrono::milliseconds(1900));
    EXPECT_EQ(call->responseCount, 0);
    m_cluster.advance(LongWait);
    EXPECT_EQ(call->error.outcome, Outcome::NotRun);
    EXPECT_EQ(m_cluster.starts, 0);
}

// Guards against a second run of a request whose endpoint restarted while it ran; the outcome must stay unknown.
TEST_F(Claims, ARestartedEndpointLeavesTheOutcomeUnknown)
{
    const auto call = m_cluster.post(*m_gateway1, "confirm", "k", "body");
    while (m_cluster.starts == 0) {
        ASSERT_TRUE(m_cluster.runTask(0));
    }
    m_cluster.restartEndpoint("e1");
    m_cluster.advance(LongWait);
    EXPECT_EQ(call->error.outcome, Outcome::Unknown);
    const auto again = m_cluster.post(*m_gateway2, "confirm", "k", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(again->error.outcome, Outcome::Unknown);
    EXPECT_EQ(m_cluster.starts, 1);
}

// Guards against slot-full refusals that are passed on to the caller, or retried with the same attempt id.
TEST_F(Claims, ASlotFullRefusalIsRetriedAtAnotherEndpoint)
{
    m_cluster.addEndpoint("e2");
    m_gateway1->core->setVms(m_cluster.vms);
    m_gateway2->core->setVms(m_cluster.vms);
    m_cluster.advance(std::chrono::milliseconds(100));
    const auto filler = [this](const std::string &id) {
        for (int i = 0; i < 4; ++i) {
            const Clock now = m_cluster.clock.clock();
            m_cluster.endpoints.at(id).model->run(
                {AttemptId("filler" + std::to_string(i)), ServiceName("find"), 0, ""}, now.now(), now.wallNow());
        }
    };
    filler("e1");
    const auto first = m_cluster.post(*m_gateway1, "confirm", "k1", "body");
    const auto second = m_cluster.post(*m_gateway1, "confirm", "k2", "body");
    m_cluster.advance(LongWait);
    EXPECT_EQ(m_cluster.starts, 2);
    EXPECT_EQ(first->response.status, 200);
    EXPECT_EQ(second->response.status, 200);
}

// Guards against a key that runs twice, a wrong outcome, and zero or two answers (P3, P4, P5), under random task
// orders, faults of the store and the endpoints, gateway deaths and endpoint restarts.
TEST(ClaimsProperty, AKeyRunsAtMostOnceAndAnswersAreCorrect)
{
    rc::check([] {
        GatewayCluster cluster;
        cluster.addEndpoint("e1", 2);
        cluster.addEndpoint("e2", 2);
        std::vector<GatewayCluster::Node *> gateways
            = {&cluster.addGateway("gateway-1"), &cluster.addGateway("gateway-2")};
        cluster.advance(std::chrono::milliseconds(50));
        const int faultPercent = *rc::gen::inRange(0, 40);
        bool faultsStopped = false;
        const auto injectsFault = [&] {
            return !faultsStopped && *rc::gen::inRange(0, 100) < faultPercent;
        };
        cluster.store.setFaults([&](const std::string &, const OperationId &) {
            return injectsFault() ? static_cast<StoreFault>(*rc::gen::inRange(1, 4)) : StoreFault::None;
        });
        cluster.endpointFaults = [&](const HttpRequest &) {
            return injectsFault() ? static_cast<EndpointFault>(*rc::gen::inRange(1, 6)) : EndpointFault::None;
        };
        std::vector<std::pair<GatewayCluster::Node *, std::shared_ptr<GatewayCluster::CallRecord>>> submissions;
        const int steps = *rc::gen::inRange(5, 60);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 20);
            GatewayCluster::Node &node = *gateways[*rc::gen::inRange<std::size_t>(0, gateways.size())];
            if (action < 3 && submissions.size() < 4 && node.alive) {
                submissions.emplace_back(&node, cluster.post(node, "confirm", "k", "body"));
            } else if (action == 3) {
                cluster.kill(node);
                cluster.shareMembers();
            } else if (action == 4) {
                cluster.restartEndpoint(*rc::gen::element<std::string>("e1", "e2"));
            } else if (action < 8) {
                cluster.advance(std::chrono::milliseconds(10));
            } else {
                cluster.runTask(*rc::gen::inRange<std::size_t>(0, 100));
            }
        }
        faultsStopped = true;
        cluster.advance(LongWait, std::chrono::milliseconds(50));
        GatewayCluster::Node &last = cluster.addGateway("gateway-3");
        cluster.advance(std::chrono::seconds(1));
        const auto query = cluster.get(last, "k");
        cluster.advance(LongWait, std::chrono::milliseconds(50));

        RC_ASSERT(cluster.starts <= 1);
        RC_ASSERT(query->responseCount == 1);
        const std::string expected = expectedAnswer("confirm", "body");
        for (const auto &[node, call] : submissions) {
            RC_ASSERT(call->responseCount == 1 || (!node->alive && call->responseCount == 0));
            if (call->responseCount == 0) {
                continue;
            }
            RC_ASSERT(call->response.status != 200 || call->response.body == expected);
            // `cut-off` only states that this submission did not run; it did not read the record.
            const bool recordNotRead = call->error.code == "cut-off";
            if (call->response.status != 200 && call->error.outcome != Outcome::Unknown && !recordNotRead) {
                RC_ASSERT(call->startsAtResponse == 0);
            }
        }
        if (query->response.status == 200) {
            RC_ASSERT(cluster.starts == 1);
            RC_ASSERT(query->response.body == expected);
        } else if (query->error.outcome == Outcome::NotRun || query->error.code == "not-found") {
            RC_ASSERT(cluster.starts == 0);
        }
    });
}

} // namespace
} // namespace coriander
