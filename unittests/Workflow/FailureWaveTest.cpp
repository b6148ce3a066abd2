#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

// Guards against jobs that fail because their retries meet workers that fail everything. Load: a gang of five starts
// every 50 ms on 180 workers; for 5 s a tenth of the workers fails all that it starts. Jobs have two attempts.
TEST(FailureWaveLoad, jobsSurviveWorkersThatFailAllTheyStart)
{
    EngineHarness harness(1, 2);
    harness.addWorkers(180);
    harness.startOwner();
    harness.runFor(seconds(1));
    const auto setFailing = [&harness](bool failing) {
        for (int i = 0; i < 180; i += 10) {
            harness.workers.machines().at(WorkerId("w" + std::to_string(i))).failsRuns = failing;
        }
    };
    harness.timeline.after(seconds(4), [&setFailing] { setFailing(true); });
    harness.timeline.after(seconds(9), [&setFailing] { setFailing(false); });
    constexpr int Jobs = 240;
    for (int i = 0; i < Jobs; ++i) {
        StepSpec step;
        step.tasks = 5;
        step.perTask = resources(4, i % 3 == 0 ? 8 : 4);
        step.gang = true;
        step.estimate = milliseconds(2500);
        harness.submit(harness.job("job" + std::to_string(1000 + i), i % 2, {step}), {.work = milliseconds(2500)});
        harness.runFor(milliseconds(50));
    }
    harness.runFor(seconds(15));
    int completed = 0;
    for (int i = 0; i < Jobs; ++i) {
        completed += harness.storedState(JobId("job" + std::to_string(1000 + i))) == JobState::Completed ? 1 : 0;
    }
    EXPECT_EQ(completed, Jobs);
}

// Guards against a job that waits for a proven worker for 3 s beside idle ones. Most workers fail what they start; the
// five that the job may use are idle, so only the first of them is known to fail and none can prove itself.
TEST(FailureWaveLoad, noJobWaitsLongBesideIdleWorkers)
{
    EngineHarness harness(1, 2);
    harness.addWorkers(30);
    for (auto &[id, machine] : harness.workers.machines()) {
        machine.failsRuns = true;
    }
    for (int i = 0; i < 5; ++i) {
        FakeWorkers::Machine &machine = harness.workers.machines().at(WorkerId("w" + std::to_string(i)));
        machine.report.labels = {"b", machine.report.rack.value()};
        machine.failsRuns = i == 0;
    }
    harness.startOwner();
    harness.runFor(seconds(1));
    const auto submit = [&harness](const std::string &id, const std::string &label) {
        StepSpec step;
        step.perTask = resources(4, 4);
        step.requiredLabel = label;
        step.estimate = seconds(1);
        harness.submit(harness.job(id, 1, {step}), {.work = seconds(1)});
    };
    for (int i = 0; i < 30; ++i) {
        submit("job" + std::to_string(100 + i), "a");
        if (i == 5) {
            submit("patient", "b");
        }
        harness.runFor(milliseconds(200));
    }
    EXPECT_EQ(harness.workers.starts({JobId("patient"), 0, 0, 0}), 2U);
    EXPECT_EQ(harness.storedState(JobId("patient")), JobState::Completed);
}

} // namespace
} // namespace coriander::workflow
