#include "corianderscale/Support/YamlReader.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

// Guards against a misspelt key being ignored silently, so that the setting has no effect.
TEST(YamlReader, reportsUnknownKeyWithItsPosition)
{
    std::vector<YamlFault> faults;
    const auto root = parseYaml("port: 80\nprot: 81\n", "s.yaml", faults);
    ASSERT_TRUE(root);
    YamlMap map(*root, "s.yaml", "", faults);
    EXPECT_EQ(map.requiredInteger("port", 1, 65535), 80);
    map.finish();
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].toString(), "s.yaml:2:1: prot: unknown key; expected one of: port");
}

// Guards against only the first fault of a file being reported.
TEST(YamlReader, collectsAllFaults)
{
    std::vector<YamlFault> faults;
    const auto root = parseYaml("port: many\nname: Not A Name\n", "s.yaml", faults);
    ASSERT_TRUE(root);
    YamlMap map(*root, "s.yaml", "", faults);
    map.requiredInteger("port", 1, 65535);
    map.requiredName("name");
    map.requiredText("missing");
    ASSERT_EQ(faults.size(), 3U);
    EXPECT_EQ(faults[0].line, 1);
    EXPECT_EQ(faults[1].line, 2);
    EXPECT_EQ(faults[2].key, "missing");
}

// Guards against a syntax error crashing the program or being reported without its line.
TEST(YamlReader, reportsSyntaxErrorWithLine)
{
    std::vector<YamlFault> faults;
    EXPECT_FALSE(parseYaml("a: [1, 2\nb: 3\n", "s.yaml", faults));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_GT(faults[0].line, 0);
}

// Guards against an uncaught exception and unlimited memory use, both found by fuzzing, when a file contains a second
// YAML document or a malformed start of one.
TEST(YamlReader, rejectsSecondOrMalformedDocument)
{
    for (const char *text : {"a: 1\n---\nb: 2\n", "a: 1\n---\nb: [\n", "a: 1\n--- x: y: z\n", ""}) {
        std::vector<YamlFault> faults;
        EXPECT_FALSE(parseYaml(text, "s.yaml", faults)) << text;
        EXPECT_EQ(faults.size(), 1U) << text;
    }
}

} // namespace
} // namespace coriander
