#include "corianderscale/Gateway/AdmissionQueue.h"
#include "corianderscale/Gateway/EndpointDirectory.h"
#include "corianderscale/Gateway/Router.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayCluster.h"

namespace coriander {
namespace {

constexpr MonotonicTime Start = MonotonicTime(std::chrono::seconds(100));
const ServiceName FindService = ServiceName("find");

/** A directory of endpoints e0, e1, ... with 8 slots each; even ones in data centre palermo, odd ones in catania. */
struct DirectoryFixture {
    explicit DirectoryFixture(int count)
        : directory(InstanceId("gateway-1"))
    {
        for (int i = 0; i < count; ++i) {
            VmEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.role = "endpoint";
            entry.dataCentre = DataCentreId(i % 2 == 0 ? "palermo" : "catania");
            entry.address = entry.id;
            list.vms.push_back(entry);
        }
        directory.applyVmList(list);
        for (const VmEntry &entry : list.vms) {
            poll(entry.id, "run-1", "live", Start);
        }
    }

    bool poll(const std::string &id, const std::string &incarnation, const std::string &state, MonotonicTime now)
    {
        EndpointInfo info;
        info.id = EndpointId(id);
        info.incarnation = InstanceId(incarnation);
        info.state = state;
        info.services = {FindService};
        info.slots = 8;
        return directory.applyPollAnswer(info, now);
    }

    void recordBadSends(const std::string &id, int times, MonotonicTime now)
    {
        for (int i = 0; i < times; ++i) {
            directory.recordSend(EndpointId(id), SendHealth::Bad, now);
        }
    }

    std::int64_t freeSlots(const std::string &id, MonotonicTime now) const
    {
        return directory.freeShare(*directory.find(EndpointId(id)), now);
    }

    VmList list;
    EndpointDirectory directory;
};

// Guards against shares whose sum differs from the number of slots.
TEST(SlotShares, SharesOfAllGatewaysAddUp)
{
    rc::check([] {
        const int count = *rc::gen::inRange(1, 20);
        const auto slots = *rc::gen::inRange<std::int64_t>(0, 64);
        const EndpointId endpoint(*rc::gen::string<std::string>());
        std::vector<InstanceId> gateways;
        for (int i = 0; i < count; ++i) {
            gateways.emplace_back("gateway-" + std::to_string(i));
        }
        std::int64_t total = 0;
        for (const InstanceId &gateway : gateways) {
            total += slotShare(endpoint, slots, findGatewayPosition(gateways, gateway));
        }
        RC_ASSERT(total == slots);
    });
}

// Guards against new work for a leaving endpoint until its next incarnation (P6), whether a report, a poll or the VM
// list shows it as leaving.
TEST(EndpointDirectory, ALeavingEndpointGetsNoNewWork)
{
    DirectoryFixture fixture(2);
    EXPECT_TRUE(fixture.directory.setLeaving(EndpointId("e0"), InstanceId("run-1")));
    EXPECT_EQ(fixture.freeSlots("e0", Start), 0);
    EXPECT_FALSE(fixture.poll("e0", "run-1", "live", Start));
    EXPECT_EQ(fixture.freeSlots("e0", Start), 0) << "an older poll answer reset the leaving state";
    fixture.poll("e0", "run-2", "live", Start);
    EXPECT_EQ(fixture.freeSlots("e0", Start), 8);
    fixture.list.vms[1].state = "leaving";
    EXPECT_EQ(fixture.directory.applyVmList(fixture.list).size(), 1U);
    EXPECT_EQ(fixture.freeSlots("e1", Start), 0);
}

// Guards against sends to endpoints whose last poll answer is older than 8 s.
TEST(EndpointDirectory, AnUnresponsiveEndpointGetsNoNewWork)
{
    const DirectoryFixture fixture(1);
    EXPECT_EQ(fixture.freeSlots("e0", Start + std::chrono::seconds(8)), 8);
    EXPECT_EQ(fixture.freeSlots("e0", Start + std::chrono::seconds(9)), 0);
}

// Guards against the ejection of more than 30% of the endpoints, and against full load on an endpoint right after its
// ejection.
TEST(EndpointDirectory, EjectionsAreLimitedAndFollowedByASlowStart)
{
    DirectoryFixture fixture(10);
    for (int i = 0; i < 10; ++i) {
        fixture.recordBadSends("e" + std::to_string(i), 5, Start);
    }
    int ejected = 0;
    for (const auto &[id, entry] : fixture.directory.entries()) {
        ejected += fixture.directory.isUsable(entry, Start) ? 0 : 1;
    }
    EXPECT_EQ(ejected, 3);
    const MonotonicTime back = Start + std::chrono::seconds(5);
    EXPECT_EQ(fixture.freeSlots("e0", back), 1);
    EXPECT_EQ(fixture.freeSlots("e0", back + std::chrono::seconds(2)), 1);
    fixture.poll("e0", "run-1", "live", back);
    EXPECT_EQ(fixture.freeSlots("e0", back + std::chrono::seconds(5)), 4);
}

// Guards against sends to another data centre while the gateway's data centre has free slots.
TEST(Router, TheOwnDataCentreComesFirst)
{
    DirectoryFixture fixture(4);
    std::uint64_t random = 0;
    Router router(fixture.directory, DataCentreId("palermo"), [&random] { return random += 7; });
    for (int i = 0; i < 32; ++i) {
        const auto chosen = router.choose(FindService, {}, Start);
        ASSERT_TRUE(chosen.has_value());
        const bool own = *chosen == EndpointId("e0") || *chosen == EndpointId("e2");
        EXPECT_EQ(own, i < 16);
        fixture.directory.takeSlot(*chosen);
    }
    EXPECT_FALSE(router.choose(FindService, {}, Start).has_value());
}

QueueTicket ticket(std::uint64_t id, Urgency urgency, const std::string &caller)
{
    return {id, FindService, urgency, {OrganisationId("o"), CallerId(caller)}, Start + std::chrono::seconds(id)};
}

// Guards against shedding more urgent or older tickets.
TEST(AdmissionQueue, TheNewestOfTheLeastUrgentIsShed)
{
    AdmissionQueue queue({3, 3});
    queue.add(ticket(1, Urgency::Background, "a"));
    queue.add(ticket(2, Urgency::Normal, "b"));
    queue.add(ticket(3, Urgency::Background, "c"));
    const auto first = queue.add(ticket(4, Urgency::Urgent, "d"));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().id, 3U);
    const auto own = queue.add(ticket(5, Urgency::Background, "e"));
    ASSERT_EQ(own.size(), 1U);
    EXPECT_EQ(own.front().id, 5U);
}

// Guards against a caller with many requests that starves other callers.
TEST(AdmissionQueue, CallersTakeTurns)
{
    AdmissionQueue queue({100, 100});
    for (std::uint64_t id = 1; id <= 10; ++id) {
        queue.add(ticket(id, Urgency::Normal, "large"));
    }
    queue.add(ticket(11, Urgency::Normal, "small"));
    EXPECT_EQ(queue.take(FindService, Urgency::Normal)->id, 1U);
    EXPECT_EQ(queue.take(FindService, Urgency::Normal)->id, 11U);
    EXPECT_EQ(queue.take(FindService, Urgency::Normal)->id, 2U);
}

// Guards against tickets that are lost or removed twice, under random sequences of operations.
TEST(AdmissionQueueProperty, EveryTicketLeavesOnce)
{
    rc::check([] {
        AdmissionQueue queue({8, 4});
        std::set<std::uint64_t> inside;
        const auto leave = [&inside](const QueueTicket &item) {
            RC_ASSERT(inside.erase(item.id) == 1);
        };
        const int steps = *rc::gen::inRange(0, 100);
        for (int i = 1; i <= steps; ++i) {
            const auto urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
            const int action = *rc::gen::inRange(0, 10);
            if (action < 6) {
                inside.insert(static_cast<std::uint64_t>(i));
                const std::string caller = *rc::gen::element<std::string>("a", "b", "c");
                for (const QueueTicket &shed : queue.add(ticket(static_cast<std::uint64_t>(i), urgency, caller))) {
                    leave(shed);
                }
            } else if (action < 9) {
                if (const auto taken = queue.take(FindService, urgency)) {
                    leave(*taken);
                }
            } else {
                for (const QueueTicket &late : queue.takeExpired(Start + std::chrono::seconds(i / 2))) {
                    leave(late);
                }
            }
            RC_ASSERT(queue.size() == inside.size());
            RC_ASSERT(queue.size() <= 8);
        }
    });
}

// Guards against a gateway that does not notify its peers of a leaving endpoint (P6).
TEST(LeavingEndpoint, PeersAreNotified)
{
    GatewayCluster cluster;
    cluster.addEndpoint("e1");
    GatewayCluster::Node &gateway1 = cluster.addGateway("gateway-1");
    GatewayCluster::Node &gateway2 = cluster.addGateway("gateway-2");
    cluster.advance(std::chrono::milliseconds(100));
    cluster.endpoints.at("e1").model->leave();
    const auto call = cluster.post(gateway1, "find", "", "body");
    cluster.advance(std::chrono::milliseconds(20));
    const Clock now = cluster.clock.clock();
    const EndpointEntry *seen = gateway2.core->endpoints().find(EndpointId("e1"));
    EXPECT_FALSE(gateway2.core->endpoints().isUsable(*seen, now.now()));
    EXPECT_EQ(cluster.starts, 0);
}

// Guards against truncated or wrong answers to idempotent requests that reach the caller (P3); a retry must give the
// complete answer.
TEST(Idempotent, InvalidAnswersAreRetried)
{
    for (const EndpointFault fault :
         {EndpointFault::Truncated, EndpointFault::WrongAttempt, EndpointFault::AnswerLost}) {
        GatewayCluster cluster;
        cluster.addEndpoint("e1");
        cluster.addEndpoint("e2");
        GatewayCluster::Node &node = cluster.addGateway("gateway-1");
        cluster.advance(std::chrono::milliseconds(100));
        int sends = 0;
        cluster.endpointFaults = [&sends, fault](const HttpRequest &request) {
            return request.path.find("/v1/run/") == 0 && ++sends == 1 ? fault : EndpointFault::None;
        };
        const auto call = cluster.post(node, "find", "", "body");
        cluster.advance(std::chrono::seconds(5));
        EXPECT_EQ(call->responseCount, 1);
        EXPECT_EQ(call->response.body, EndpointModel::makeAnswer(FindService, contentDigest("body")));
    }
}

// Guards against the loss of an answer that arrives after the caller was told that the outcome is unknown; other
// callers must not find it.
TEST(Idempotent, ALateAnswerIsKeptForItsCaller)
{
    GatewayCluster cluster;
    cluster.document->services.front().runLimitMs = 10;
    cluster.document->services.front().queueLimitMs = 1;
    cluster.addEndpoint("e1");
    GatewayCluster::Node &node = cluster.addGateway("gateway-1");
    cluster.advance(std::chrono::milliseconds(100));
    const auto call = cluster.post(node, "find", "k", "body");
    cluster.advance(std::chrono::seconds(1));
    EXPECT_EQ(call->error.outcome, Outcome::Unknown);
    const auto query = cluster.get(node, "k");
    cluster.drainTasks();
    EXPECT_EQ(query->response.body, EndpointModel::makeAnswer(FindService, contentDigest("body")));
    const auto other = cluster.get(node, "k", "clerk-token");
    cluster.drainTasks();
    EXPECT_EQ(other->error.code, "not-found");
}

} // namespace
} // namespace coriander
