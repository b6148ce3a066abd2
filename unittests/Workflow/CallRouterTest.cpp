#include "corianderscale/Workflow/CallRouter.h"

#include <memory>

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** The store as one instance sees it; a test cuts the instance off. */
class StoreAccess : public RowStore
{
public:
    StoreAccess(Timeline &timeline, FakeRowStore &store)
        : m_timeline(timeline)
        , m_store(store)
    {
    }

    enum class Fault {
        None,
        /** Calls are refused at once. */
        Refuses,
        /** Calls get no answer and have no effect. */
        Silent,
    };
    Fault fault = Fault::None;

    void change(RowChange change, Duration limit, ChangeDone done) override
    {
        if (fault == Fault::None) {
            m_store.change(std::move(change), limit, std::move(done));
            return;
        }
        const bool silent = fault == Fault::Silent;
        m_timeline.after(silent ? limit : milliseconds(2), [silent, done] {
            done({silent ? ChangeOutcome::Unknown : ChangeOutcome::NotDone, {}, {}, "cut off"});
        });
    }

    void read(const std::string &table,
              const std::string &from,
              const std::string &to,
              Duration limit,
              PageDone done) override
    {
        if (fault == Fault::None) {
            m_store.read(table, from, to, limit, std::move(done));
            return;
        }
        m_timeline.after(fault == Fault::Silent ? limit : milliseconds(2), [done] {
            done(std::nullopt, {StateCode::Unavailable, "cut off"});
        });
    }

    void follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done) override
    {
        m_store.follow(table, after, wait, limit, std::move(done));
    }

private:
    Timeline &m_timeline;
    FakeRowStore &m_store;
};

/** Instances that accept jobs into one store and relay calls to each other. */
class Cluster
{
public:
    struct Node {
        Node(Cluster &cluster, std::size_t index)
            : access(cluster.timeline, cluster.store)
            , watch({}, cluster.timeline.clock(), access, [](bool, const std::string &) {})
            , intake({},
                     cluster.timeline.clock(),
                     watch,
                     [&cluster](Duration pause, std::function<void()> next) {
                         cluster.timeline.after(pause, std::move(next));
                     })
            , router({},
                     cluster.timeline.clock(),
                     watch,
                     DataCentreId("dc" + std::to_string(index % 3)),
                     cluster.hooks(*this, index))
        {
        }

        StoreAccess access;
        StoreWatch watch;
        JobIntake intake;
        ConfigurationVersion configuration{5};
        bool isDown = false;
        /** Whether this instance knows that the callers' credential was taken away. */
        bool rejectsCredential = false;
        CallRouter router;
    };

    explicit Cluster(std::size_t size)
        : store(timeline)
    {
        for (std::size_t i = 0; i < size; ++i) {
            nodes.push_back(std::make_unique<Node>(*this, i));
        }
        poll();
    }

    /** Sends the submission of a job to an instance and stores the answer. */
    void submit(std::size_t node, const std::string &id)
    {
        CallerCall call;
        call.method = "POST";
        call.path = "/q/" + id;
        call.timeLimit = milliseconds(2700);
        ++asked;
        nodes[node]->router.route(call, [this, id, sentAt = timeline.now()](const CallAnswer &answer) {
            answers[id] = answer;
            longest = std::max(longest, timeline.now() - sentAt);
        });
    }

    CallAnswer submitAndWait(std::size_t node, const std::string &id)
    {
        submit(node, id);
        timeline.runFor(seconds(4));
        EXPECT_EQ(answers.count(id), 1U);
        return answers[id];
    }

    Timeline timeline;
    FakeRowStore store;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, CallAnswer> answers;
    std::size_t asked = 0;
    Duration longest{};
    /** Whether the answers of relayed calls are lost. */
    bool relayAnswersLost = false;

private:
    CallRouter::Hooks hooks(Node &node, std::size_t index)
    {
        CallRouter::Hooks hooks;
        hooks.serve = [&node](const CallerCall &call, MonotonicTime deadline, const CallDone &done) {
            if (node.rejectsCredential) {
                done({CallOutcome::Unauthorized, "the credential is unknown", {}, {}, {}});
                return;
            }
            JobSpec spec;
            spec.id = JobId(call.path.substr(3));
            spec.queue = QueueName("q");
            spec.steps.emplace_back();
            node.intake.submit(spec, deadline, done);
        };
        hooks.relay = [this](const std::string &address,
                             const CallerCall &call,
                             ConfigurationVersion atLeast,
                             Duration limit,
                             const RelayDone &done) {
            Node &neighbour = *nodes[std::stoul(address)];
            if (neighbour.isDown) {
                timeline.after(milliseconds(1), [done] { done({std::nullopt, false, "connection refused"}); });
                return;
            }
            if (relayAnswersLost) {
                timeline.after(limit, [done] { done({std::nullopt, true, "no response in time"}); });
            }
            CallerCall relayed = call;
            relayed.timeLimit = limit;
            timeline.after(milliseconds(1), [this, &neighbour, relayed, atLeast, done] {
                neighbour.router.serveForNeighbour(relayed, atLeast, [this, done](const RoutedAnswer &answer) {
                    if (!relayAnswersLost) {
                        timeline.after(milliseconds(1), [done, answer] { done({answer, true, {}}); });
                    }
                });
            });
        };
        hooks.neighbours = [this, index] {
            std::vector<Neighbour> others;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (i != index) {
                    others.push_back(
                        {"n" + std::to_string(i), DataCentreId("dc" + std::to_string(i % 3)), std::to_string(i)});
                }
            }
            return others;
        };
        hooks.configuration = [&node] {
            return node.configuration;
        };
        return hooks;
    }

    /** Every instance reads from the store a few times a second, as for the term. */
    void poll()
    {
        for (const auto &node : nodes) {
            node->watch.read(OwnerTable, "", "", milliseconds(700), [](const auto &, const StateError &) {});
        }
        timeline.after(milliseconds(400), [this] { poll(); });
    }
};

std::size_t countOutcome(const Cluster &cluster, CallOutcome outcome)
{
    return static_cast<std::size_t>(
        std::count_if(cluster.answers.begin(), cluster.answers.end(), [outcome](const auto &each) {
            return each.second.outcome == outcome;
        }));
}

// Guards against jobs that are refused because their caller is connected to an instance that the store turns away.
// Load: three of nine instances are turned away for 9 s, while each instance gets ten jobs a second.
TEST(CallRouter, jobsOfInstancesWithoutTheStoreAreAcceptedByNeighbours)
{
    for (const StoreAccess::Fault fault : {StoreAccess::Fault::Refuses, StoreAccess::Fault::Silent}) {
        Cluster cluster(9);
        cluster.timeline.runFor(seconds(1));
        for (std::size_t i = 0; i < 3; ++i) {
            cluster.nodes[i]->access.fault = fault;
        }
        for (int i = 0; i < 90; ++i) {
            for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
                cluster.submit(node, "job" + std::to_string(node) + "-" + std::to_string(i));
            }
            cluster.timeline.runFor(milliseconds(100));
        }
        cluster.timeline.runFor(seconds(3));
        EXPECT_EQ(countOutcome(cluster, CallOutcome::Done), cluster.asked);
        EXPECT_LT(cluster.longest, seconds(1));
        std::size_t jobs = 0;
        for (const auto &[name, row] : cluster.store.rows) {
            jobs += name.first == JobsTable ? 1 : 0;
        }
        EXPECT_EQ(jobs, cluster.asked);
    }
}

// Guards against calls that wait until their deadline while no instance reaches the store.
TEST(CallRouter, callsAreRefusedAtOnceWhileTheStoreIsAwayForAll)
{
    Cluster cluster(9);
    cluster.timeline.runFor(seconds(1));
    for (const auto &node : cluster.nodes) {
        node->access.fault = StoreAccess::Fault::Silent;
    }
    cluster.timeline.runFor(milliseconds(1500));
    for (std::size_t node = 0; node < cluster.nodes.size(); ++node) {
        cluster.submit(node, "job" + std::to_string(node));
    }
    cluster.timeline.runFor(seconds(1));
    EXPECT_EQ(countOutcome(cluster, CallOutcome::Refused), cluster.asked);
    EXPECT_LT(cluster.longest, milliseconds(100));
    EXPECT_EQ(cluster.answers["job1"].retryAfter, seconds(1));
}

// Guards against "not accepted" for a job that a neighbour may have stored.
TEST(CallRouter, lostAnswerOfANeighbourIsNotARefusal)
{
    Cluster cluster(2);
    cluster.timeline.runFor(seconds(1));
    cluster.nodes[0]->access.fault = StoreAccess::Fault::Refuses;
    cluster.timeline.runFor(seconds(1));
    cluster.relayAnswersLost = true;
    EXPECT_EQ(cluster.submitAndWait(0, "job").outcome, CallOutcome::Unclear);
    EXPECT_NE(cluster.store.find(JobsTable, "job"), nullptr);
    cluster.relayAnswersLost = false;
    EXPECT_EQ(cluster.submitAndWait(0, "job").outcome, CallOutcome::Done);
}

// Guards against a rejection of a job that runs later: the write of this instance was held up by a cut and takes effect
// after a neighbour, which knows that the credential was taken away, rejected the call.
TEST(CallRouter, rejectionAfterAnUnclearWriteIsNotARejection)
{
    Cluster cluster(2);
    cluster.timeline.runFor(seconds(1));
    cluster.nodes[0]->access.fault = StoreAccess::Fault::Silent;
    cluster.nodes[1]->configuration = ConfigurationVersion(6);
    cluster.nodes[1]->rejectsCredential = true;
    EXPECT_EQ(cluster.submitAndWait(0, "job1").outcome, CallOutcome::Unclear);
    EXPECT_EQ(cluster.submitAndWait(0, "job2").outcome, CallOutcome::Unauthorized)
        << "nothing was written once the store is known to be unreachable";
}

// Guards against a neighbour that decides by an older configuration than the instance that was called, for example
// with a credential that was taken away.
TEST(CallRouter, neighbourWithAnOlderConfigurationDoesNotServe)
{
    Cluster cluster(2);
    cluster.timeline.runFor(seconds(1));
    cluster.nodes[0]->access.fault = StoreAccess::Fault::Refuses;
    cluster.nodes[0]->configuration = ConfigurationVersion(6);
    cluster.timeline.runFor(seconds(1));
    EXPECT_EQ(cluster.submitAndWait(0, "job").outcome, CallOutcome::Refused);
    EXPECT_EQ(cluster.store.find(JobsTable, "job"), nullptr);
}

// Guards against an instance that decides by its old configuration after a neighbour answered by a newer one.
TEST(CallRouter, noCallIsServedByAConfigurationOlderThanOneSeen)
{
    Cluster cluster(2);
    cluster.timeline.runFor(seconds(1));
    cluster.nodes[0]->access.fault = StoreAccess::Fault::Refuses;
    cluster.nodes[1]->configuration = ConfigurationVersion(7);
    cluster.timeline.runFor(seconds(1));
    EXPECT_EQ(cluster.submitAndWait(0, "job1").outcome, CallOutcome::Done);
    cluster.nodes[0]->access.fault = StoreAccess::Fault::None;
    cluster.nodes[1]->isDown = true;
    cluster.timeline.runFor(seconds(2));
    EXPECT_EQ(cluster.submitAndWait(0, "job2").outcome, CallOutcome::Refused);
    cluster.nodes[0]->configuration = ConfigurationVersion(7);
    EXPECT_EQ(cluster.submitAndWait(0, "job3").outcome, CallOutcome::Done);
}

// Guards against a slow store getting each write several times, from several instances.
TEST(CallRouter, slowStoreIsNotAskedThroughNeighbours)
{
    Cluster cluster(3);
    cluster.timeline.runFor(seconds(1));
    cluster.store.answerTime = milliseconds(250);
    cluster.timeline.runFor(seconds(3));
    const std::size_t before = cluster.store.changes;
    EXPECT_EQ(cluster.submitAndWait(0, "job").outcome, CallOutcome::Done);
    EXPECT_EQ(cluster.store.changes, before + 1);
    EXPECT_EQ(cluster.nodes[0]->router.counts().relayed, 0U);
}

} // namespace
} // namespace coriander::workflow
