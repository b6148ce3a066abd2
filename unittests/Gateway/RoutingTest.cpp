#include "corianderscale/Gateway/AdmissionQueue.h"
#include "corianderscale/Gateway/EndpointDirectory.h"
#include "corianderscale/Gateway/Router.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "Gateway/GatewayWorld.h"

namespace coriander {
namespace {

constexpr MonotonicTime Start = MonotonicTime(std::chrono::seconds(100));
const ServiceName Find = ServiceName("find");

/** A directory of endpoints e0, e1, ... with 8 slots each; even ones in data centre palermo, odd ones in catania. */
struct Fleet {
    explicit Fleet(int count)
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
        directory.setList(list);
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
        info.services = {Find};
        info.slots = 8;
        return directory.setPolled(info, now);
    }

    void sendBad(const std::string &id, int times, MonotonicTime now)
    {
        for (int i = 0; i < times; ++i) {
            directory.noteSend(EndpointId(id), SendHealth::Bad, now);
        }
    }

    std::int64_t free(const std::string &id, MonotonicTime now) const
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
            total += slotShare(endpoint, slots, placeAmong(gateways, gateway));
        }
        RC_ASSERT(total == slots);
    });
}

// Guards against new work for a leaving endpoint until its next incarnation (P6), whether a report, a poll or the VM
// list shows it as leaving.
TEST(EndpointDirectory, ALeavingEndpointGetsNothingNew)
{
    Fleet fleet(2);
    EXPECT_TRUE(fleet.directory.setLeaving(EndpointId("e0"), InstanceId("run-1")));
    EXPECT_EQ(fleet.free("e0", Start), 0);
    EXPECT_FALSE(fleet.poll("e0", "run-1", "live", Start));
    EXPECT_EQ(fleet.free("e0", Start), 0) << "an older poll answer reset the leaving state";
    fleet.poll("e0", "run-2", "live", Start);
    EXPECT_EQ(fleet.free("e0", Start), 8);
    fleet.list.vms[1].state = "leaving";
    EXPECT_EQ(fleet.directory.setList(fleet.list).size(), 1U);
    EXPECT_EQ(fleet.free("e1", Start), 0);
}

// Guards against sends to endpoints whose last poll answer is older than 8 s.
TEST(EndpointDirectory, ASilentEndpointGetsNothingNew)
{
    const Fleet fleet(1);
    EXPECT_EQ(fleet.free("e0", Start + std::chrono::seconds(8)), 8);
    EXPECT_EQ(fleet.free("e0", Start + std::chrono::seconds(9)), 0);
}

// Guards against the ejection of more than 30% of the endpoints, and against full load on an endpoint right after its
// ejection.
TEST(EndpointDirectory, OutliersAreEjectedUpToABoundAndReturnSlowly)
{
    Fleet fleet(10);
    for (int i = 0; i < 10; ++i) {
        fleet.sendBad("e" + std::to_string(i), 5, Start);
    }
    int ejected = 0;
    for (const auto &[id, entry] : fleet.directory.entries()) {
        ejected += fleet.directory.usable(entry, Start) ? 0 : 1;
    }
    EXPECT_EQ(ejected, 3);
    const MonotonicTime back = Start + std::chrono::seconds(5);
    EXPECT_EQ(fleet.free("e0", back), 1);
    EXPECT_EQ(fleet.free("e0", back + std::chrono::seconds(2)), 1);
    fleet.poll("e0", "run-1", "live", back);
    EXPECT_EQ(fleet.free("e0", back + std::chrono::seconds(5)), 4);
}

// Guards against sends to another data centre while the gateway's data centre has free slots.
TEST(Router, TheOwnDataCentreComesFirst)
{
    Fleet fleet(4);
    std::uint64_t random = 0;
    Router router(fleet.directory, DataCentreId("palermo"), [&random] { return random += 7; });
    for (int i = 0; i < 32; ++i) {
        const auto chosen = router.choose(Find, {}, Start);
        ASSERT_TRUE(chosen.has_value());
        const bool own = *chosen == EndpointId("e0") || *chosen == EndpointId("e2");
        EXPECT_EQ(own, i < 16);
        fleet.directory.takeSlot(*chosen);
    }
    EXPECT_FALSE(router.choose(Find, {}, Start).has_value());
}

QueueTicket ticket(std::uint64_t id, Urgency urgency, const std::string &caller)
{
    return {id, Find, urgency, {OrganisationId("o"), CallerId(caller)}, Start + std::chrono::seconds(id)};
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
    EXPECT_EQ(queue.take(Find, Urgency::Normal)->id, 1U);
    EXPECT_EQ(queue.take(Find, Urgency::Normal)->id, 11U);
    EXPECT_EQ(queue.take(Find, Urgency::Normal)->id, 2U);
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
                if (const auto taken = queue.take(Find, urgency)) {
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
TEST(Leaving, PeersAreTold)
{
    GatewayWorld world;
    world.addEndpoint("e1");
    GatewayWorld::Node &one = world.addGateway("gateway-1");
    GatewayWorld::Node &two = world.addGateway("gateway-2");
    world.advance(std::chrono::milliseconds(100));
    world.endpoints.at("e1").model->leave();
    const auto told = world.post(one, "find", "", "body");
    world.advance(std::chrono::milliseconds(20));
    const Clock now = world.clock.clock();
    const EndpointEntry *seen = two.core->endpoints().find(EndpointId("e1"));
    EXPECT_FALSE(two.core->endpoints().usable(*seen, now.now()));
    EXPECT_EQ(world.starts, 0);
}

// Guards against truncated or wrong answers to idempotent requests that reach the caller (P3); a retry must give the
// complete answer.
TEST(Idempotent, BadAnswersAreReplacedByAnotherAttempt)
{
    for (const EndpointFault fault :
         {EndpointFault::Truncated, EndpointFault::WrongAttempt, EndpointFault::AnswerLost}) {
        GatewayWorld world;
        world.addEndpoint("e1");
        world.addEndpoint("e2");
        GatewayWorld::Node &node = world.addGateway("gateway-1");
        world.advance(std::chrono::milliseconds(100));
        int sends = 0;
        world.endpointFaults = [&sends, fault](const HttpRequest &request) {
            return request.path.find("/v1/run/") == 0 && ++sends == 1 ? fault : EndpointFault::None;
        };
        const auto told = world.post(node, "find", "", "body");
        world.advance(std::chrono::seconds(5));
        EXPECT_EQ(told->times, 1);
        EXPECT_EQ(told->response.body, EndpointModel::answerTo(Find, contentDigest("body")));
    }
}

// Guards against the loss of an answer that arrives after the caller was told that the outcome is unknown; other
// callers must not find it.
TEST(Idempotent, ALateAnswerIsKeptForItsCaller)
{
    GatewayWorld world;
    world.document->services.front().runLimitMs = 10;
    world.document->services.front().queueLimitMs = 1;
    world.addEndpoint("e1");
    GatewayWorld::Node &node = world.addGateway("gateway-1");
    world.advance(std::chrono::milliseconds(100));
    const auto told = world.post(node, "find", "k", "body");
    world.advance(std::chrono::seconds(1));
    EXPECT_EQ(told->error.outcome, Outcome::Unknown);
    const auto asked = world.get(node, "k");
    world.drainTasks();
    EXPECT_EQ(asked->response.body, EndpointModel::answerTo(Find, contentDigest("body")));
    const auto other = world.get(node, "k", "clerk-token");
    world.drainTasks();
    EXPECT_EQ(other->error.code, "not-found");
}

} // namespace
} // namespace coriander
