#include "corianderscale/PolicyBench/Report.h"
#include "corianderscale/PolicyBench/ScenarioFile.h"

#include <gtest/gtest.h>

#include <sstream>

namespace coriander::policybench {
namespace {

const char *const ScriptedScenario = R"(
name: two-jobs
horizon_s: 1000
organisations:
  - { name: org-a, guarantees: [ { accelerators: 8, adjacency: worker } ] }
jobs:
  - { name: lent, organisation: org-b, tasks: 400, accelerators: 1, millicores: 1000, run_s: 600 }
  - { name: claim, organisation: org-a, tasks: 8, accelerators: 1, adjacency: worker, use_guarantee: true, at_s: 60,
      run_s: 100 }
)";

// Guards against a claim in a scenario file that does not preempt lent work, and against jobs that never finish.
TEST(PolicyBench, scriptedClaimPreemptsLentWork)
{
    std::vector<YamlFault> faults;
    const auto parsed = parseScenarioFile(ScriptedScenario, "s.yaml", *makeSite("trinacria"), 1, faults);
    ASSERT_TRUE(parsed) << faults.front().toString();
    const StreamResult result = runStream(parsed->stream, *decision::makePolicy("corianderscale"));
    ASSERT_EQ(result.outcomes.size(), 2U);
    for (const JobOutcome &outcome : result.outcomes) {
        EXPECT_TRUE(outcome.finished) << outcome.job->request.id.value();
    }
    const JobOutcome &claim = result.outcomes[1];
    EXPECT_LE(claim.firstStart - claim.job->at, std::chrono::seconds(30));
    EXPECT_EQ(result.preemptions, 1);
}

// Guards against results that differ between runs of the same stream, so that policies could not be compared.
TEST(PolicyBench, sameStreamGivesSameResult)
{
    std::vector<YamlFault> faults;
    const std::string script = "name: mix\nhorizon_s: 7200\nmixes:\n  - { name: m, load_percent: 90, to_s: 7200 }\n";
    const Site site = *makeSite("saltmist");
    const auto first = parseScenarioFile(script, "s.yaml", site, 7, faults);
    const auto second = parseScenarioFile(script, "s.yaml", site, 7, faults);
    ASSERT_TRUE(first && second);
    for (const std::string &policy : policyNames()) {
        EXPECT_EQ(commonMetrics(runStream(first->stream, *decision::makePolicy(policy))),
                  commonMetrics(runStream(second->stream, *decision::makePolicy(policy))))
            << policy;
    }
}

// Guards against a misspelt key being ignored, so that an experiment runs with a default instead.
TEST(PolicyBench, scenarioFileReportsUnknownKeys)
{
    std::vector<YamlFault> faults;
    EXPECT_FALSE(parseScenarioFile("name: x\nhorizon_s: 10\nhorizn: 5\n", "s.yaml", *makeSite("trinacria"), 1, faults));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].key, "horizn");
}

// Guards against a summary that reports a missed target as met.
TEST(PolicyBench, summaryComparesTargetsWithBound)
{
    std::ostringstream out;
    writeSummary(out,
                 {{"losses", "trinacria", "corianderscale", "lost-share", 0.031, 1},
                  {"mixed", "trinacria", "corianderscale", "mean-completion-s", 59, 1},
                  {"mixed", "trinacria", "fifo-first-fit", "mean-completion-s", 100, 1}});
    EXPECT_NE(out.str().find("\"value\":0.031,\"at_most\":0.03,\"met\":false"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("\"value\":0.59,\"at_most\":0.6,\"met\":true"), std::string::npos) << out.str();
}

// Guards against worker counts that differ from the sites of the design.
TEST(PolicyBench, sitesHaveDesignSizes)
{
    EXPECT_EQ(makeSite("trinacria")->accelerators, 400);
    EXPECT_EQ(makeSite("saltmist")->workers.size(), 50U);
    EXPECT_EQ(makeSite("target")->workers.size(), 700U);
    EXPECT_EQ(makeSite("target")->accelerators, 1200);
}

} // namespace
} // namespace coriander::policybench
