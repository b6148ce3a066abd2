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

} // namespace
} // namespace coriander::workflow
