#include "corianderscale/Ctl/TimelineSvg.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

// Guards against field values that break the SVG markup, and against a missing line between two processes.
TEST(TimelineSvg, escapesNamesAndConnectsProcesses)
{
    const std::vector<MergedEvent> events = {
        {InstanceId("gateway-1"), {{1000, 0}, "job-accepted", {{"job", "<j>"}}}},
        {InstanceId("scheduler-1"), {{2000, 0}, "gang-start", {{"job", "<j>"}}}},
    };
    const std::string svg = timelineSvg(events);
    EXPECT_EQ(svg.find("<j>"), std::string::npos);
    EXPECT_NE(svg.find("job=&lt;j&gt;"), std::string::npos);
    EXPECT_NE(svg.find("+1.0 ms"), std::string::npos);
    EXPECT_NE(svg.find("stroke=\"#3778b5\""), std::string::npos);
}

} // namespace
} // namespace coriander
