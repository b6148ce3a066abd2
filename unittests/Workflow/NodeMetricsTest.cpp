#include "corianderscale/Workflow/NodeDaemon.h"

#include <gtest/gtest.h>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

// Guards against calls that are counted with the wrong kind or outcome.
TEST(NodeMetrics, callsAreCounted)
{
    NodeMetrics metrics;
    metrics.callAnswered("submit", CallOutcome::Done, std::chrono::milliseconds(12));
    metrics.callAnswered("submit", CallOutcome::Refused, std::chrono::milliseconds(1));
    metrics.callAnswered("submit", CallOutcome::Done, std::chrono::milliseconds(12));
    const std::string text = metrics.toText({});
    EXPECT_NE(text.find("coriander_calls_total{kind=\"submit\",outcome=\"done\"} 2"), std::string::npos) << text;
    EXPECT_NE(text.find("coriander_call_seconds_count{kind=\"submit\"} 3"), std::string::npos) << text;
    EXPECT_NE(text.find("coriander_owner_epoch 0"), std::string::npos) << text;
}

// Guards against metrics that show nothing of an evacuation, or count the runs of all data centres or starts that were
// not sent.
TEST(NodeMetrics, runsLeftInEvacuatedDataCentresAreCounted)
{
    EngineHarness harness;
    harness.addWorkers(6);
    for (int i = 0; i < 6; ++i) {
        harness.workers.machines().at(WorkerId("w" + std::to_string(i))).report.dataCentre
            = DataCentreId(i < 4 ? "near" : "far");
    }
    harness.startOwner();
    harness.runFor(std::chrono::seconds(1));
    harness.submit(harness.job("j", 1, {stepOf(6, 1, 8)}), {.work = std::chrono::seconds(4)});
    harness.runFor(std::chrono::seconds(1));
    NodeMetrics metrics;
    NodeMetrics::Readings readings;
    readings.engine = harness.engine.get();
    const auto shows = [&metrics, &readings](const std::string &line) {
        return metrics.toText(readings).find("\n" + line + "\n") != std::string::npos;
    };
    EXPECT_TRUE(shows("coriander_evacuated_data_centres 0") && shows("coriander_evacuated_data_centre_runs 0"));
    harness.engine->setEvacuatedDataCentres({DataCentreId("far"), DataCentreId("unknown")});
    EXPECT_TRUE(shows("coriander_evacuated_data_centres 2") && shows("coriander_evacuated_data_centre_runs 2"));
    harness.runFor(std::chrono::seconds(5));
    EXPECT_TRUE(shows("coriander_evacuated_data_centres 2") && shows("coriander_evacuated_data_centre_runs 0"));
}

// Guards against refusals that are shown for the wrong listener or reason.
TEST(NodeMetrics, refusalsAreShownByListenerAndReason)
{
    NodeMetrics metrics;
    ListenerReading callers;
    callers.name = "callers";
    callers.load.connections = 7;
    callers.refusals.at(static_cast<std::size_t>(HttpRefusal::BodyTooLarge)) = 3;
    NodeMetrics::Readings readings;
    readings.listeners = {callers, {"readiness", {}, {}}};
    const std::string text = metrics.toText(readings);
    EXPECT_NE(text.find("coriander_clients_refused{listener=\"callers\",reason=\"body-too-large\"} 3"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("coriander_clients_refused{listener=\"readiness\",reason=\"body-too-large\"} 0"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("coriander_client_connections{listener=\"callers\"} 7"), std::string::npos) << text;
}

// Guards against invalid settings that are accepted.
TEST(NodeSettings, wrongSettingsAreFaults)
{
    const auto read = [](const std::string &content, std::vector<YamlFault> &faults) {
        const auto root = parseYaml(content, "settings.yaml", faults);
        YamlMap map(*root, "settings.yaml", {}, faults);
        return readNodeSettings(map);
    };
    const std::string good = "instance: n1\ndata_centre: d\ncaller_listen: 1.2.3.4:5\nreadiness_listen: 1.2.3.4:6\n"
                             "store: 1.2.3.4:7\nprocessor_share: 0.12\ngrace_s: 6.5\n";
    std::vector<YamlFault> faults;
    const NodeSettings settings = read(good, faults);
    EXPECT_TRUE(faults.empty());
    EXPECT_EQ(settings.grace, std::chrono::milliseconds(6500));
    EXPECT_DOUBLE_EQ(settings.processorShare, 0.12);
    read(good + "longest_lease_ms: 5\n", faults);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].key, "longest_lease_ms");
    faults.clear();
    read("instance: n1\ngrace_s: soon\n", faults);
    EXPECT_EQ(faults.size(), 5U);
}

} // namespace
} // namespace coriander::workflow
