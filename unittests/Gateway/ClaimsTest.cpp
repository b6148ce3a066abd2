#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayWorld.h"

namespace coriander {
namespace {

constexpr auto LongWait = std::chrono::seconds(30);

std::string expectedAnswer(const std::string &service, const std::string &body)
{
    return EndpointModel::answerTo(ServiceName(service), contentDigest(body));
}

class Claims : public ::testing::Test
{
protected:
    Claims()
    {
        m_world.addEndpoint("e1");
        m_one = &m_world.addGateway("gateway-1");
        m_two = &m_world.addGateway("gateway-2");
        m_world.advance(std::chrono::milliseconds(100));
    }

    /** Injects a fault into the n-th commit, counted while m_commits is not reset. */
    void failCommit(int n, StoreFault fault)
    {
        m_world.store.setFaults([this, n, fault](const std::string &operation, const OperationId &) {
            return operation == "commit" && ++m_commits == n ? fault : StoreFault::None;
        });
    }

    GatewayWorld m_world;
    GatewayWorld::Node *m_one = nullptr;
    GatewayWorld::Node *m_two = nullptr;
    int m_commits = 0;
};

// Guards against two gateways that run the same key concurrently.
TEST_F(Claims, OneOfTwoGatewaysRunsAKey)
{
    const auto first = m_world.post(*m_one, "confirm", "k", "body");
    const auto second = m_world.post(*m_two, "confirm", "k", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 1);
    EXPECT_EQ(first->times, 1);
    EXPECT_EQ(second->times, 1);
    const auto asked = m_world.get(*m_two, "k");
    m_world.drainTasks();
    EXPECT_EQ(asked->response.body, expectedAnswer("confirm", "body"));
}

// Guards against a second run of a repeated key, and against a recorded answer that differs from the first one.
TEST_F(Claims, ARepeatedKeyIsAnsweredFromTheRecord)
{
    const auto first = m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(LongWait);
    const auto again = m_world.post(*m_two, "confirm", "k", "body");
    const auto other = m_world.post(*m_two, "confirm", "k", "another body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 1);
    EXPECT_EQ(again->response.body, first->response.body);
    EXPECT_EQ(again->response.header(AttemptIdHeader), first->response.header(AttemptIdHeader));
    EXPECT_EQ(other->error.code, "invalid");
}

// Guards against a caller that can read the request of another caller by its key.
TEST_F(Claims, AnotherCallerDoesNotFindTheKey)
{
    m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(LongWait);
    const auto asked = m_world.get(*m_one, "k", "clerk-token");
    m_world.drainTasks();
    EXPECT_EQ(asked->error.code, "not-found");
}

// Guards against a claim that is never settled, and against a second run, when the answer to the claim's commit is
// lost.
TEST_F(Claims, ALostClaimIsReadBackAndRunsOnce)
{
    failCommit(1, StoreFault::AnswerLost);
    const auto told = m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 1);
    EXPECT_EQ(told->response.body, expectedAnswer("confirm", "body"));
}

// Guards against a wrong outcome when the commit of the claim is lost: the caller must get `not-run`, and a retry must
// run.
TEST_F(Claims, AClaimThatWasNotWrittenIsTruthfullyNotRun)
{
    failCommit(1, StoreFault::RequestLost);
    const auto told = m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 0);
    EXPECT_EQ(told->error.outcome, Outcome::NotRun);
    // The record says not-run, so the same request may be run again.
    const auto again = m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 1);
    EXPECT_EQ(again->response.body, expectedAnswer("confirm", "body"));
}

// Guards against an answer that is not passed on because the write of its record failed.
TEST_F(Claims, AnAnswerWhoseRecordIsLostIsStillGiven)
{
    for (const StoreFault fault : {StoreFault::Away, StoreFault::RequestLost, StoreFault::AnswerLost}) {
        m_commits = 0;
        failCommit(2, fault);
        const std::string key = "k" + std::to_string(static_cast<int>(fault));
        const auto told = m_world.post(*m_one, "confirm", key, "body");
        m_world.advance(LongWait);
        EXPECT_EQ(told->times, 1);
        EXPECT_EQ(told->response.body, expectedAnswer("confirm", "body"));
    }
    EXPECT_EQ(m_world.starts, 3);
}

// Guards against non-idempotent work that starts, and against requests without a response, while the store is away.
TEST_F(Claims, StoreAwayRefusesAsNotRun)
{
    m_world.store.setFaults([](const auto &, const auto &) { return StoreFault::Away; });
    const auto refused = m_world.post(*m_one, "confirm", "k", "body");
    const auto served = m_world.post(*m_one, "find", "", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(refused->error.code, "cut-off");
    EXPECT_EQ(refused->error.outcome, Outcome::NotRun);
    EXPECT_EQ(served->response.status, 200);
}

// Guards against a second attempt when the first one may have run: after a lost or invalid answer, the endpoint is
// queried instead.
TEST_F(Claims, UncertainAnswersAreSettledByAskingTheEndpoint)
{
    int number = 0;
    for (const EndpointFault fault :
         {EndpointFault::AnswerLost, EndpointFault::Truncated, EndpointFault::WrongAttempt}) {
        m_world.endpointFaults = [fault](const HttpRequest &request) {
            return request.path.find("/v1/run/") == 0 ? fault : EndpointFault::None;
        };
        const auto told = m_world.post(*m_one, "confirm", "k" + std::to_string(++number), "body");
        m_world.advance(LongWait);
        EXPECT_EQ(m_world.starts, number);
        EXPECT_EQ(told->response.body, expectedAnswer("confirm", "body"));
    }
}

// Guards against a `not-run` that is recorded too early: a delayed message can still start after the endpoint restarts
// and loses its fence, until the start limit has passed.
TEST_F(Claims, ALostMessageIsNotRunOnlyAfterItsStartLimit)
{
    m_world.endpointFaults = [](const HttpRequest &request) {
        return request.path.find("/v1/run/") == 0 ? EndpointFault::RequestLost : EndpointFault::None;
    };
    const auto told = m_world.post(*m_one, "confirm", "k", "body");
    m_world.advance(std::chrono::milliseconds(1900));
    EXPECT_EQ(told->times, 0);
    m_world.advance(LongWait);
    EXPECT_EQ(told->error.outcome, Outcome::NotRun);
    EXPECT_EQ(m_world.starts, 0);
}

// Guards against a second run of a request whose endpoint restarted while it ran; the outcome must stay unknown.
TEST_F(Claims, ARestartedEndpointMakesTheOutcomeUnknownForGood)
{
    const auto told = m_world.post(*m_one, "confirm", "k", "body");
    while (m_world.starts == 0) {
        ASSERT_TRUE(m_world.runOne(0));
    }
    m_world.restartEndpoint("e1");
    m_world.advance(LongWait);
    EXPECT_EQ(told->error.outcome, Outcome::Unknown);
    const auto again = m_world.post(*m_two, "confirm", "k", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(again->error.outcome, Outcome::Unknown);
    EXPECT_EQ(m_world.starts, 1);
}

// Guards against slot-full refusals that are passed on to the caller, or retried with the same attempt id.
TEST_F(Claims, ASlotFullRefusalIsRetriedAtAnotherEndpoint)
{
    m_world.addEndpoint("e2");
    m_one->core->setVms(m_world.vms);
    m_two->core->setVms(m_world.vms);
    m_world.advance(std::chrono::milliseconds(100));
    const auto filler = [this](const std::string &id) {
        for (int i = 0; i < 4; ++i) {
            const Clock now = m_world.clock.clock();
            m_world.endpoints.at(id).model->run(
                {AttemptId("filler" + std::to_string(i)), ServiceName("find"), 0, ""}, now.now(), now.wallNow());
        }
    };
    filler("e1");
    const auto first = m_world.post(*m_one, "confirm", "k1", "body");
    const auto second = m_world.post(*m_one, "confirm", "k2", "body");
    m_world.advance(LongWait);
    EXPECT_EQ(m_world.starts, 2);
    EXPECT_EQ(first->response.status, 200);
    EXPECT_EQ(second->response.status, 200);
}

// Guards against a key that runs twice, a wrong outcome, and zero or two answers (P3, P4, P5), under random task
// orders, faults of the store and the endpoints, gateway deaths and endpoint restarts.
TEST(ClaimsProperty, AKeyRunsAtMostOnceAndAnswersAreTrue)
{
    rc::check([] {
        GatewayWorld world;
        world.addEndpoint("e1", 2);
        world.addEndpoint("e2", 2);
        std::vector<GatewayWorld::Node *> gateways = {&world.addGateway("gateway-1"), &world.addGateway("gateway-2")};
        world.advance(std::chrono::milliseconds(50));
        const int faultShare = *rc::gen::inRange(0, 40);
        bool healed = false;
        const auto strikes = [&] {
            return !healed && *rc::gen::inRange(0, 100) < faultShare;
        };
        world.store.setFaults([&](const std::string &, const OperationId &) {
            return strikes() ? static_cast<StoreFault>(*rc::gen::inRange(1, 4)) : StoreFault::None;
        });
        world.endpointFaults = [&](const HttpRequest &) {
            return strikes() ? static_cast<EndpointFault>(*rc::gen::inRange(1, 6)) : EndpointFault::None;
        };
        std::vector<std::pair<GatewayWorld::Node *, std::shared_ptr<GatewayWorld::Told>>> submissions;
        const int steps = *rc::gen::inRange(5, 60);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 20);
            GatewayWorld::Node &node = *gateways[*rc::gen::inRange<std::size_t>(0, gateways.size())];
            if (action < 3 && submissions.size() < 4 && node.alive) {
                submissions.emplace_back(&node, world.post(node, "confirm", "k", "body"));
            } else if (action == 3) {
                world.kill(node);
                world.shareMembers();
            } else if (action == 4) {
                world.restartEndpoint(*rc::gen::element<std::string>("e1", "e2"));
            } else if (action < 8) {
                world.advance(std::chrono::milliseconds(10));
            } else {
                world.runOne(*rc::gen::inRange<std::size_t>(0, 100));
            }
        }
        healed = true;
        world.advance(LongWait, std::chrono::milliseconds(50));
        GatewayWorld::Node &last = world.addGateway("gateway-3");
        world.advance(std::chrono::seconds(1));
        const auto asked = world.get(last, "k");
        world.advance(LongWait, std::chrono::milliseconds(50));

        RC_ASSERT(world.starts <= 1);
        RC_ASSERT(asked->times == 1);
        const std::string whole = expectedAnswer("confirm", "body");
        for (const auto &[node, told] : submissions) {
            RC_ASSERT(told->times == 1 || (!node->alive && told->times == 0));
            if (told->times == 0) {
                continue;
            }
            RC_ASSERT(told->response.status != 200 || told->response.body == whole);
            // `cut-off` only states that this submission did not run; it did not read the record.
            const bool ownOnly = told->error.code == "cut-off";
            if (told->response.status != 200 && told->error.outcome != Outcome::Unknown && !ownOnly) {
                RC_ASSERT(told->startsBefore == 0);
            }
        }
        if (asked->response.status == 200) {
            RC_ASSERT(world.starts == 1);
            RC_ASSERT(asked->response.body == whole);
        } else if (asked->error.outcome == Outcome::NotRun || asked->error.code == "not-found") {
            RC_ASSERT(world.starts == 0);
        }
    });
}

} // namespace
} // namespace coriander
