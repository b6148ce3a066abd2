#include "corianderscale/Support/Log.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

// Guards against a value with spaces or line breaks splitting one event into several.
TEST(Log, quotesValuesThatWouldBreakTheLine)
{
    EXPECT_EQ(formatLogField({"key", "plain"}), "key=plain");
    EXPECT_EQ(formatLogField({"key", "two words"}), "key=\"two words\"");
    EXPECT_EQ(formatLogField({"key", "a\nb\"c\\"}), "key=\"a\\nb\\\"c\\\\\"");
    EXPECT_EQ(formatLogField({"key", ""}), "key=\"\"");
}

} // namespace
} // namespace coriander
