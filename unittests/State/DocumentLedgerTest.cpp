#include "corianderscale/State/DocumentLedger.h"

#include "corianderscale/State/Document.h"
#include "corianderscale/State/TextDiff.h"
#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>

#include "Coordination/FakeStore.h"

namespace coriander {
namespace {

class DocumentLedgerTest : public ::testing::Test
{
protected:
    DocumentLedgerTest()
        : m_store(m_clock.clock())
        , m_ledger(m_store, m_clock.clock())
    {
    }

    std::optional<DocumentHead> accept(const std::string &text, std::int64_t base, const std::string &operatorName)
    {
        m_failure = {};
        return m_ledger.accept("trial", text, DocumentVersion(base), operatorName, NeverDue, m_failure);
    }

    ManualClock m_clock;
    FakeStore m_store;
    DocumentLedger m_ledger;
    AcceptFailure m_failure;
};

// Guards against versions that repeat or decrease, and against a history without the operator of each version.
TEST_F(DocumentLedgerTest, versionsIncreaseAndAreLogged)
{
    ASSERT_TRUE(accept("one", 0, "rosalia"));
    ASSERT_TRUE(accept("two", 1, "turi"));
    StateError error;
    const auto current = m_ledger.read("trial", NeverDue, error);
    ASSERT_TRUE(current) << error.reason;
    EXPECT_EQ(current->head.version, DocumentVersion(2));
    EXPECT_EQ(current->text, "two");
    const auto history = m_ledger.history("trial", NeverDue, error);
    ASSERT_TRUE(history);
    ASSERT_EQ(history->size(), 2U);
    EXPECT_EQ(history->front().operatorName, "rosalia");
    EXPECT_EQ(m_ledger.read("production", NeverDue, error)->head.version, DocumentVersion(0));
}

// Guards against an operator who overwrites an unseen version, and a conflict that does not name the accepted version
// and its operator.
TEST_F(DocumentLedgerTest, conflictNamesTheAcceptedVersion)
{
    ASSERT_TRUE(accept("one", 0, "rosalia"));
    EXPECT_FALSE(accept("other", 0, "turi"));
    EXPECT_EQ(m_failure.error.code, StateCode::Conflict);
    EXPECT_EQ(m_failure.acceptedHead.version, DocumentVersion(1));
    EXPECT_NE(m_failure.error.reason.find(sha256Hex("one")), std::string::npos);
    EXPECT_NE(m_failure.error.reason.find("rosalia"), std::string::npos);
}

// Guards against two concurrent writes that both succeed when one commits between the read and the commit of the other.
TEST_F(DocumentLedgerTest, concurrentWriteBetweenReadAndCommitConflicts)
{
    bool hasRaced = false;
    m_store.setFaults([&](const std::string &operation, const OperationId &) {
        if (operation == "commit" && !hasRaced) {
            hasRaced = true;
            AcceptFailure failure;
            EXPECT_TRUE(m_ledger.accept("trial", "faster", DocumentVersion(0), "turi", NeverDue, failure));
        }
        return StoreFault::None;
    });
    EXPECT_FALSE(accept("slower", 0, "rosalia"));
    EXPECT_EQ(m_failure.error.code, StateCode::Conflict);
    EXPECT_EQ(m_failure.acceptedHead.digest, sha256Hex("faster"));
}

// Guards against a second version when an operator repeats a command after its answer was lost.
TEST_F(DocumentLedgerTest, repeatedAcceptIsIdempotent)
{
    ASSERT_TRUE(accept("one", 0, "rosalia"));
    const auto again = accept("one", 0, "rosalia");
    ASSERT_TRUE(again);
    EXPECT_EQ(again->version, DocumentVersion(1));
}

// Guards against failure reported for a write that took effect, and success for one that did not.
TEST_F(DocumentLedgerTest, lostAnswersAreReadBack)
{
    m_store.setFaults([](const std::string &operation, const OperationId &) {
        return operation == "commit" ? StoreFault::AnswerLost : StoreFault::None;
    });
    EXPECT_TRUE(accept("one", 0, "rosalia")) << m_failure.error.reason;
    m_store.setFaults([](const std::string &operation, const OperationId &) {
        return operation == "commit" ? StoreFault::RequestLost : StoreFault::None;
    });
    EXPECT_FALSE(accept("two", 1, "rosalia"));
    EXPECT_EQ(m_failure.error.code, StateCode::OutcomeUnknown);
    m_store.setFaults([](const std::string &, const OperationId &) { return StoreFault::Unavailable; });
    EXPECT_FALSE(accept("two", 1, "rosalia"));
    EXPECT_EQ(m_failure.error.code, StateCode::Unavailable);
}

std::string formatDiff(const std::string &oldText, const std::string &newText)
{
    std::string result;
    for (const DiffLine &line : diffLines(oldText, newText)) {
        result += line.mark + line.text + "|";
    }
    return result;
}

// Guards against differences that omit a change or show too many unchanged lines.
TEST(TextDiff, showsChangesWithContext)
{
    EXPECT_EQ(formatDiff("a\nb\nc\nd\ne\nf\n", "a\nb\nc\nX\ne\nf\n"), " b| c|-d|+X| e| f|");
    EXPECT_EQ(formatDiff("same\n", "same\n"), "");
    EXPECT_EQ(formatDiff("", "new\n"), "+new|");
    EXPECT_EQ(formatDiff("a\nb\nc\n", "c\na\nb\n"), "+c| a| b|-c|");
}

} // namespace
} // namespace coriander
