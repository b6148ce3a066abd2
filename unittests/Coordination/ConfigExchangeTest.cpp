#include "corianderscale/Coordination/ConfigExchange.h"

#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Coordination/FakeStore.h"

namespace coriander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ConfigExchangeTest : public testing::Test
{
protected:
    struct Node {
        bool tableReachable = true;
        std::vector<DocumentVersion> adoptedVersions;
        std::unique_ptr<ConfigExchange> exchange;
    };

    ConfigExchangeTest()
    {
        for (int i = 0; i < 3; ++i) {
            addNode();
        }
    }

    void addNode()
    {
        auto node = std::make_shared<Node>();
        Node *self = node.get();
        ConfigExchange::Settings settings;
        settings.environment = "trial";
        ConfigExchange::Hooks hooks;
        hooks.read = [this, self](std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) {
            if (self->tableReachable) {
                m_store.read(std::move(keys), deadline, done);
            } else {
                done(std::nullopt, {CoordinationCode::StoreUnavailable, "cut off"});
            }
        };
        hooks.commit = [this, self](TableTransaction transaction, MonotonicTime deadline, CommitDone done) {
            if (self->tableReachable) {
                m_store.commit(std::move(transaction), deadline, done);
            } else {
                done(std::nullopt, {CoordinationCode::StoreUnavailable, "cut off"});
            }
        };
        hooks.offer = [this, self](const std::string &body) {
            for (const auto &other : m_nodes) {
                if (m_deliverOffers && other.get() != self) {
                    other->exchange->handleOffer(body);
                }
            }
        };
        hooks.request = [this](const std::string &address, const std::string &body, MonotonicTime, auto done) {
            done(m_nodes[static_cast<std::size_t>(std::stoi(address))]->exchange->handleRequest(body));
        };
        hooks.changed = [self](const AcceptedDocument &document) {
            self->adoptedVersions.push_back(document.head.version);
        };
        node->exchange = std::make_unique<ConfigExchange>(settings, hooks);
        m_nodes.push_back(std::move(node));
    }

    void run(Duration time)
    {
        constexpr Duration Step = milliseconds(100);
        for (Duration elapsed{}; elapsed < time; elapsed += Step) {
            for (const auto &node : m_nodes) {
                node->exchange->step(now());
            }
            m_clock.advance(Step);
        }
    }

    std::shared_ptr<std::optional<AcceptOutcome>> accept(std::size_t node, int base, const std::string &text)
    {
        auto outcome = std::make_shared<std::optional<AcceptOutcome>>();
        AcceptRequest request;
        request.base = DocumentVersion(base);
        request.text = text;
        request.operatorName = "operator" + std::to_string(node);
        request.acceptedUnixMs = 1000 + static_cast<std::int64_t>(node);
        request.deadline = now() + seconds(3);
        m_nodes[node]->exchange->accept(request, [outcome](const AcceptOutcome &result) {
            ASSERT_FALSE(*outcome) << "answered twice";
            *outcome = result;
        });
        return outcome;
    }

    std::string textAt(std::size_t node)
    {
        const auto document = m_nodes[node]->exchange->current();
        return document ? document->text : std::string();
    }

    MonotonicTime now()
    {
        return m_clock.clock().now();
    }

    /** Applies a fault to the next @p count commits. */
    void faultCommits(StoreFault fault, int count)
    {
        const auto left = std::make_shared<int>(count);
        m_store.setFaults([fault, left](const std::string &operation, const OperationId &) {
            return operation == "commit" && (*left)-- > 0 ? fault : StoreFault::None;
        });
    }

    ManualClock m_clock;
    FakeStore m_store{m_clock.clock()};
    std::vector<std::shared_ptr<Node>> m_nodes;
    bool m_deliverOffers = true;
};

// Guards against an accepted version that does not reach every instance within 5 s, with and without the table.
TEST_F(ConfigExchangeTest, acceptedVersionReachesAllInstances)
{
    m_nodes[2]->tableReachable = false;
    const auto outcome = accept(0, 0, "text");
    run(milliseconds(300));
    ASSERT_TRUE(*outcome);
    EXPECT_EQ((*outcome)->error.code, CoordinationCode::None);
    EXPECT_EQ((*outcome)->head.version, DocumentVersion(1));
    EXPECT_EQ(textAt(1), "text");
    EXPECT_EQ(textAt(2), "text") << "learned from a peer";
    m_deliverOffers = false;
    accept(0, 1, "second");
    run(seconds(3));
    EXPECT_EQ(textAt(1), "second") << "learned from the table";
    EXPECT_EQ(textAt(2), "text");
    m_nodes[2]->exchange->handlePeerVersion("1", DocumentVersion(2));
    run(milliseconds(300));
    EXPECT_EQ(textAt(2), "second") << "requested after gossip announced the version";
}

// Guards against two operators whose concurrent versions are both accepted, and a conflict that does not name the
// accepted version.
TEST_F(ConfigExchangeTest, concurrentAcceptsGiveOneSuccessAndOneConflict)
{
    const auto first = accept(0, 0, "a");
    const auto second = accept(1, 0, "b");
    run(seconds(1));
    ASSERT_TRUE(*first && *second);
    EXPECT_EQ((*first)->error.code, CoordinationCode::None);
    EXPECT_EQ((*second)->error.code, CoordinationCode::Conflict);
    EXPECT_EQ((*second)->head.version, DocumentVersion(1));
    EXPECT_EQ((*second)->head.digest, sha256Hex("a"));
    EXPECT_NE((*second)->error.reason.find(sha256Hex("a")), std::string::npos);
}

// Guards against a lost answer after which an accepted version is reported as refused, or a refused one as accepted.
TEST_F(ConfigExchangeTest, lostAnswersAreReadBack)
{
    faultCommits(StoreFault::AnswerLost, 1);
    const auto applied = accept(0, 0, "a");
    run(seconds(1));
    EXPECT_EQ((*applied)->error.code, CoordinationCode::None);
    faultCommits(StoreFault::RequestLost, 2);
    const auto lost = accept(0, 1, "b");
    run(seconds(1));
    EXPECT_EQ((*lost)->error.code, CoordinationCode::None) << "written by a repeated operation";
    faultCommits(StoreFault::RequestLost, 1000);
    const auto never = accept(0, 2, "c");
    run(seconds(4));
    EXPECT_EQ((*never)->error.code, CoordinationCode::OutcomeUnknown);
    EXPECT_EQ(textAt(1), "b");
}

// Guards against an instance that accepts a version although it cannot reach the table.
TEST_F(ConfigExchangeTest, nothingIsAcceptedWhileTableIsUnreachable)
{
    m_nodes[0]->tableReachable = false;
    const auto outcome = accept(0, 0, "a");
    run(seconds(1));
    EXPECT_EQ((*outcome)->error.code, CoordinationCode::StoreUnavailable);
    EXPECT_EQ(m_store.commits(), 0);
}

// Guards against a new VM that serves before it knows whether there is a document, and against a wrong document age.
TEST_F(ConfigExchangeTest, readyOnlyAfterTableOrPeerAnswered)
{
    accept(0, 0, "a");
    run(seconds(1));
    addNode();
    const auto &newNode = m_nodes.back();
    newNode->tableReachable = false;
    run(seconds(1));
    EXPECT_FALSE(newNode->exchange->isInitialized());
    newNode->exchange->handlePeerVersion("0", DocumentVersion(1));
    run(milliseconds(200));
    EXPECT_TRUE(newNode->exchange->isInitialized());
    EXPECT_FALSE(newNode->exchange->timeSinceConfirmation(now())) << "the table has never answered";
    EXPECT_LE(*m_nodes[0]->exchange->timeSinceConfirmation(now()), seconds(2) + milliseconds(200));
    m_nodes[0]->tableReachable = false;
    run(seconds(10));
    EXPECT_GE(*m_nodes[0]->exchange->timeSinceConfirmation(now()), seconds(10));
    EXPECT_EQ(textAt(0), "a") << "it keeps its version";
}

// Guards against offers that are damaged, older or of another environment and replace the current version.
TEST_F(ConfigExchangeTest, invalidOffersAreRejected)
{
    accept(0, 0, "a");
    run(seconds(1));
    accept(0, 1, "b");
    run(seconds(1));
    DocumentHead head;
    head.version = DocumentVersion(9);
    head.digest = sha256Hex("x");
    const std::string whole = encodeConfigurationOffer({"trial", head, "x"});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        m_nodes[0]->exchange->handleOffer(whole.substr(0, length));
    }
    m_nodes[0]->exchange->handleOffer(encodeConfigurationOffer({"trial", head, "another text"}));
    m_nodes[0]->exchange->handleOffer(encodeConfigurationOffer({"production", head, "x"}));
    head.version = DocumentVersion(1);
    m_nodes[0]->exchange->handleOffer(encodeConfigurationOffer({"trial", head, "x"}));
    run(seconds(1));
    EXPECT_EQ(textAt(0), "b");
}

// Guards against an accepted version that reverts, or a version number accepted twice, under races and lost calls.
RC_GTEST_FIXTURE_PROP(ConfigExchangeTest, acceptedVersionsNeverRevert, ())
{
    std::map<DocumentVersion, std::string> accepted;
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<AcceptOutcome>>>> attempts;
    m_store.setFaults([](const std::string &, const OperationId &) {
        return static_cast<StoreFault>(*rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {1, 2}, {2, 3}}));
    });
    for (int i = 0; i < 20; ++i) {
        const auto node = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
        m_nodes[node]->tableReachable = *rc::gen::weightedElement<bool>({{5, true}, {1, false}});
        m_deliverOffers = *rc::gen::arbitrary<bool>();
        const int base = static_cast<int>(m_nodes[node]->exchange->version().count());
        const std::string text = "text" + std::to_string(i);
        attempts.emplace_back(text, accept(node, base, text));
        run(milliseconds(*rc::gen::inRange(0, 600)));
    }
    m_store.setFaults({});
    for (const auto &node : m_nodes) {
        node->tableReachable = true;
    }
    run(seconds(5));
    for (const auto &[text, outcome] : attempts) {
        RC_ASSERT(outcome->has_value());
        if ((*outcome)->error.code == CoordinationCode::None) {
            RC_ASSERT(accepted.emplace((*outcome)->head.version, text).second);
        }
    }
    for (const auto &[version, text] : accepted) {
        RC_ASSERT(m_store.value(documentVersionKey("trial", version)) == text);
    }
    for (const auto &node : m_nodes) {
        RC_ASSERT(std::is_sorted(node->adoptedVersions.begin(), node->adoptedVersions.end(), std::less_equal<>()));
        RC_ASSERT(accepted.empty() || node->exchange->version() >= accepted.rbegin()->first);
    }
}

} // namespace
} // namespace coriander
