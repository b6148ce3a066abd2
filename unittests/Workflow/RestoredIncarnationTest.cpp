#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

// Guards against a task that waits for ever, because the rows that an owner stored before it ended name two
// incarnations of one worker: the worker was restarted, and not all rows that this changed were stored.
TEST(RestoredIncarnation, tasksOfBothIncarnationsRunAgain)
{
    EngineHarness harness;
    harness.addWorkers(1);
    harness.startOwner();
    harness.runFor(seconds(1));
    harness.submit(harness.job("a", 1, {stepOf(1, 1, 1)}), {.work = seconds(5)});
    harness.submit(harness.job("b", 1, {stepOf(1, 1, 1)}), {.work = seconds(5)});
    harness.runFor(seconds(1));
    ASSERT_EQ(harness.workers.runningTasks(), 2U);
    harness.endOwner(false);
    const WorkerId id("w0");
    harness.workers.restart(id);
    ProtocolError error;
    Row row = *harness.store.find(ProgressTable, progressKey(JobId("a"), 0));
    OccurrenceRecord progress = *decodeOccurrence(row.value, error);
    progress.steps[0].tasks.at(0).incarnation = harness.workers.machines().at(id).report.incarnation;
    row.value = encodeOccurrence(progress);
    harness.store.apply({{}, {row}, {}});
    harness.startOwner();
    harness.runFor(seconds(20));
    EXPECT_EQ(harness.storedState(JobId("a")), JobState::Completed);
    EXPECT_EQ(harness.storedState(JobId("b")), JobState::Completed);
}

} // namespace
} // namespace coriander::workflow
