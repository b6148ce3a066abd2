#include "corianderscale/Workflow/ClientLimits.h"

#include "corianderscale/Workflow/Catalogue.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace coriander::workflow {
namespace {

ClientLimits read(const std::string &content, std::size_t memoryMib, std::size_t descriptors)
{
    std::vector<YamlFault> faults;
    const auto root = parseYaml(content, "settings.yaml", faults);
    YamlMap map(*root, "settings.yaml", {}, faults);
    const ClientLimits limits = readClientLimits(map, memoryMib, descriptors);
    EXPECT_TRUE(faults.empty());
    return limits;
}

// Guards against defaults that refuse a request within the limits of the configuration on the smallest VM, or that
// leave no descriptors for workers, neighbours and the store.
TEST(ClientLimits, defaultsServeTheLargestRequests)
{
    const CallerLimits caller;
    const decision::RequestSize largest{caller.headerBytes, caller.headerBytes / 4, caller.bodyBytes, true};
    for (const auto &[memory, descriptors] :
         std::vector<std::pair<std::size_t, std::size_t>>{{120, 3075}, {512, 10250}}) {
        const ClientLimits limits = read("other: 1\n", memory, descriptors);
        EXPECT_GE(limits.callers.bytes, 10 * decision::completeRequestBytes(largest));
        EXPECT_GE(limits.relay.bytes, 2 * decision::completeRequestBytes(largest));
        EXPECT_LE(limits.callers.bytes + limits.relay.bytes + limits.readiness.bytes + limits.metrics.bytes,
                  memory * 1024 * 1024 / 4);
        EXPECT_GE(limits.readiness.bytes, decision::completeRequestBytes({caller.headerBytes, 100, 4096, true}));
        EXPECT_LE(limits.callers.connections + limits.readiness.connections + limits.metrics.connections,
                  descriptors * 27 / 100);
        EXPECT_GE(limits.callers.newConnections, descriptors / 20);
        EXPECT_EQ(limits.callers.connectionsPerAddress, 0U);
    }
}

// Guards against settings that are ignored.
TEST(ClientLimits, settingsReplaceDefaults)
{
    const ClientLimits limits = read("request_bytes: 10000000\nconnections: 100\nnew_connections: 20\n"
                                     "incomplete_requests: 30\nconnections_per_address: 40\nsubmission_values: 7000\n",
                                     120,
                                     3075);
    EXPECT_EQ(limits.callers.bytes + limits.relay.bytes + limits.readiness.bytes + limits.metrics.bytes, 10000000U);
    EXPECT_EQ(limits.callers.connections, 100U);
    EXPECT_EQ(limits.callers.newConnections, 20U);
    EXPECT_EQ(limits.callers.incompleteRequests, 30U);
    EXPECT_EQ(limits.callers.connectionsPerAddress, 40U);
    EXPECT_EQ(limits.submissionValues, 7000U);
}

} // namespace
} // namespace coriander::workflow
