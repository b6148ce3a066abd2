#include "corianderscale/Standin/TableModel.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

constexpr MonotonicTime Start;

TableTransaction insertion(const std::string &operation, const std::string &key, const std::string &value)
{
    return {OperationId(operation), {{key, RowVersion(0)}}, {{key, value}}, {}};
}

// Guards against two conditional writes both succeeding. Claims and ownership depend on one of them failing.
TEST(TableModel, secondInsertionConflicts)
{
    TableModel table;
    const auto first = table.commit(insertion("a", "k", "1"), Start);
    EXPECT_TRUE(first.committed);
    const auto second = table.commit(insertion("b", "k", "2"), Start);
    EXPECT_FALSE(second.committed);
    ASSERT_EQ(second.conflicts.size(), 1U);
    EXPECT_EQ(second.conflicts[0].version, first.version);
    EXPECT_EQ(table.read({{"k"}}).rows[0].value, "1");
}

// Guards against a repeated operation being applied twice, or reporting a conflict with itself.
TEST(TableModel, repeatedOperationReturnsFirstOutcome)
{
    TableModel table;
    const auto first = table.commit(insertion("a", "k", "1"), Start);
    const auto repeated = table.commit(insertion("a", "k", "1"), Start);
    EXPECT_TRUE(repeated.committed);
    EXPECT_EQ(repeated.version, first.version);
    EXPECT_FALSE(table.commit(insertion("a", "k", "1"), Start + std::chrono::minutes(11)).committed);
}

// Guards against a scan that skips or repeats rows between its pages.
TEST(TableModel, scanContinuesAfterPage)
{
    TableModel table;
    for (const char *key : {"p/1", "p/2", "p/3", "q/1"}) {
        table.commit(insertion(key, key, "v"), Start);
    }
    const auto first = table.scan({"p/", "", 2});
    ASSERT_EQ(first.rows.size(), 2U);
    EXPECT_TRUE(first.more);
    const auto second = table.scan({"p/", first.rows.back().key, 2});
    ASSERT_EQ(second.rows.size(), 1U);
    EXPECT_EQ(second.rows[0].key, "p/3");
    EXPECT_FALSE(second.more);
}

} // namespace
} // namespace coriander
