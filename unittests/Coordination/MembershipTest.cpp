#include "corianderscale/Coordination/Membership.h"

#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Members that exchange messages over a simulated network whose links the test can cut. */
class MembershipTest : public testing::Test
{
protected:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::string address;
        int partition = 0;
        bool running = true;
        /** Names of the nodes whose messages to this node are lost; messages in the other direction arrive. */
        std::set<std::string> unreachableFrom;
    };

    void add(int number, std::vector<std::string> contacts)
    {
        const std::string name = "m" + std::to_string(number);
        auto node = std::make_shared<Node>();
        node->address = "address-" + name;
        Membership::Settings settings;
        settings.self.instance = InstanceId(name);
        settings.self.peerAddress = node->address;
        settings.self.role = number % 2 == 0 ? MemberRole::Gateway : MemberRole::Scheduler;
        Membership::Hooks hooks;
        hooks.send
            = [this, name](const std::string &address, const std::string &body, MonotonicTime deadline, auto done) {
                  m_largestMessageBytes = std::max(m_largestMessageBytes, body.size());
                  m_messages.push_back({name, address, body, deadline, std::move(done)});
              };
        hooks.changed = [this, name](const Member &member) {
            m_events.push_back({name, member.instance.value(), member.state});
        };
        node->membership = std::make_unique<Membership>(
            settings, hooks, [this] { return std::uniform_real_distribution<double>(0, 1)(m_generator); });
        node->membership->setSeedAddresses(std::move(contacts));
        m_nodes[name] = node;
    }

    void addMany(int count)
    {
        for (int i = 0; i < count; ++i) {
            add(i, {"address-m0"});
        }
    }

    Node &node(const std::string &name)
    {
        return *m_nodes.at(name);
    }

    void run(Duration time)
    {
        constexpr Duration Step = milliseconds(100);
        for (Duration elapsed{}; elapsed < time; elapsed += Step) {
            for (auto &[name, member] : m_nodes) {
                if (member->running) {
                    member->membership->step(now());
                }
            }
            deliver();
            m_clock.advance(Step);
        }
    }

    bool isLinked(Node &from, Node &to, const std::string &fromName)
    {
        return from.running && to.running && from.partition == to.partition && to.unreachableFrom.count(fromName) == 0;
    }

    void deliver()
    {
        std::vector<Message> waiting;
        while (!m_messages.empty()) {
            const std::vector<Message> messages = std::exchange(m_messages, {});
            for (const Message &message : messages) {
                Node *target = nullptr;
                for (auto &[name, candidate] : m_nodes) {
                    target = candidate->address == message.to ? candidate.get() : target;
                }
                Node &from = node(message.from);
                if (target != nullptr && isLinked(from, *target, message.from)) {
                    const std::string reply = target->membership->handle(now(), InstanceId(message.from), message.body);
                    m_largestMessageBytes = std::max(m_largestMessageBytes, reply.size());
                    message.done(now(), reply);
                } else if (now() >= message.deadline) {
                    message.done(now(), std::nullopt);
                } else {
                    waiting.push_back(message);
                    waiting.back().to = "lost";
                }
            }
        }
        m_messages = std::move(waiting);
    }

    MonotonicTime now()
    {
        return m_clock.clock().now();
    }

    std::size_t memberCountSeenBy(const std::string &name)
    {
        return node(name).membership->members().size();
    }

    std::optional<MemberState> stateSeenBy(const std::string &name, const std::string &other)
    {
        for (const Member &member : node(name).membership->members()) {
            if (member.instance == InstanceId(other)) {
                return member.state;
            }
        }
        return std::nullopt;
    }

    bool wasRemoved(const std::string &other)
    {
        return std::any_of(m_events.begin(), m_events.end(), [&](const Event &event) {
            return event.subject == other && event.state == MemberState::Dead;
        });
    }

    struct Message {
        std::string from;
        std::string to;
        std::string body;
        MonotonicTime deadline;
        Membership::Reply done;
    };

    struct Event {
        std::string observer;
        std::string subject;
        MemberState state;
    };

    ManualClock m_clock;
    std::mt19937 m_generator{7};
    std::map<std::string, std::shared_ptr<Node>> m_nodes;
    std::vector<Message> m_messages;
    std::vector<Event> m_events;
    std::size_t m_largestMessageBytes = 0;
};

// Guards against members that never learn of each other, and against messages whose size grows with the member count.
TEST_F(MembershipTest, allMembersLearnOfEachOtherWithBoundedMessages)
{
    addMany(40);
    run(seconds(40));
    for (const auto &[name, member] : m_nodes) {
        EXPECT_EQ(member->membership->members().size(), 40U) << name;
        EXPECT_EQ(member->membership->count(MemberRole::Gateway), 20);
    }
    EXPECT_LE(m_largestMessageBytes, 1500U);
    EXPECT_TRUE(std::none_of(m_events.begin(), m_events.end(), [](const Event &event) {
        return event.state != MemberState::Alive;
    })) << "no member is suspected without a fault";
}

// Guards against a dead member that stays listed and keeps its share of limits and slots.
TEST_F(MembershipTest, deadMemberIsSuspectedThenRemoved)
{
    addMany(8);
    run(seconds(20));
    node("m3").running = false;
    bool suspected = false;
    for (int i = 0; i < 300 && stateSeenBy("m0", "m3"); ++i) {
        run(milliseconds(100));
        suspected = suspected || stateSeenBy("m0", "m3") == MemberState::Suspect;
    }
    EXPECT_TRUE(suspected);
    run(seconds(10));
    for (const char *name : {"m0", "m1", "m2", "m4", "m5", "m6", "m7"}) {
        EXPECT_EQ(memberCountSeenBy(name), 7U) << name;
    }
}

// Guards against a live member being removed because one link to it is broken.
TEST_F(MembershipTest, indirectProbesKeepAMemberBehindABrokenLink)
{
    addMany(6);
    run(seconds(20));
    node("m1").unreachableFrom.insert("m0");
    run(seconds(60));
    EXPECT_FALSE(wasRemoved("m1"));
    EXPECT_EQ(memberCountSeenBy("m0"), 6U);
}

// Guards against the permanent removal of a member that was paused for some seconds.
TEST_F(MembershipTest, pausedMemberRefutesSuspicion)
{
    addMany(6);
    run(seconds(20));
    const std::int64_t before = node("m1").membership->self().incarnation;
    node("m1").running = false;
    for (int i = 0; i < 200 && stateSeenBy("m0", "m1") == MemberState::Alive; ++i) {
        run(milliseconds(100));
    }
    EXPECT_EQ(stateSeenBy("m0", "m1"), MemberState::Suspect);
    node("m1").running = true;
    run(seconds(15));
    for (const auto &[name, member] : m_nodes) {
        EXPECT_EQ(stateSeenBy(name, "m1"), MemberState::Alive) << name;
    }
    EXPECT_GT(node("m1").membership->self().incarnation, before);
}

// Guards against regions that were partitioned and do not find each other again when the network is restored.
TEST_F(MembershipTest, membersRejoinAfterPartition)
{
    addMany(8);
    for (auto &[name, member] : m_nodes) {
        member->membership->setSeedAddresses({"address-m0", "address-m5"});
    }
    run(seconds(20));
    for (const char *name : {"m4", "m5", "m6", "m7"}) {
        node(name).partition = 1;
    }
    run(seconds(90));
    EXPECT_EQ(memberCountSeenBy("m0"), 4U);
    EXPECT_EQ(memberCountSeenBy("m5"), 4U);
    for (auto &[name, member] : m_nodes) {
        member->partition = 0;
    }
    run(seconds(40));
    for (const auto &[name, member] : m_nodes) {
        EXPECT_EQ(memberCountSeenBy(name), 8U) << name;
    }
}

// Guards against new work for a member that has announced that it is leaving, and against suspecting that member.
TEST_F(MembershipTest, leaveReachesAllMembersAtOnce)
{
    addMany(6);
    run(seconds(20));
    node("m2").membership->leave(now());
    deliver();
    for (const auto &[name, member] : m_nodes) {
        EXPECT_EQ(stateSeenBy(name, "m2"), MemberState::Leaving) << name;
    }
    node("m2").running = false;
    run(seconds(15));
    EXPECT_FALSE(stateSeenBy("m0", "m2"));
    EXPECT_TRUE(std::none_of(
        m_events.begin(), m_events.end(), [](const Event &event) { return event.state == MemberState::Suspect; }));
}

// Guards against truncated, invalid or oversized gossip that crashes a daemon or adds entries to its member list.
TEST_F(MembershipTest, malformedGossipIsRefused)
{
    addMany(2);
    GossipMessage message;
    message.entries.push_back({InstanceId("ghost"), 0, DataCentreId("d"), "a", "p", 0, 1});
    const std::string whole = encodeGossip(message);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        EXPECT_EQ(node("m0").membership->handle(now(), InstanceId("m1"), whole.substr(0, length)), "");
    }
    message.entries.resize(MaximumGossipEntries + 1, message.entries.front());
    EXPECT_EQ(node("m0").membership->handle(now(), InstanceId("m1"), encodeGossip(message)), "");
    EXPECT_EQ(node("m0").membership->handle(now(), InstanceId("m1"), std::string(MaximumGossipBytes + 1, '\0')), "");
    message.entries.resize(1);
    message.entries.front().state = MaximumGossipState + 1;
    EXPECT_EQ(node("m0").membership->handle(now(), InstanceId("m1"), encodeGossip(message)), "");
    EXPECT_EQ(memberCountSeenBy("m0"), 1U);
}

} // namespace
} // namespace coriander
