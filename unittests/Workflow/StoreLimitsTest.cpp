#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Jobs whose rows exceed the limits of one change of the store: 100 entries, 65,536 bytes a row and 1 MB in all. */
class StoreLimits : public ::testing::Test
{
protected:
    StoreLimits()
    {
        m_harness.addWorkers(12);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    static StepSpec stepOf(std::size_t tasks)
    {
        StepSpec step;
        step.tasks = tasks;
        step.perTask = {MilliCores(10), MemoryMib(1), Accelerators(0)};
        step.estimate = seconds(1);
        return step;
    }

    /** A job that runs @p occurrences times, all of them due now. */
    JobSpec scheduled(const std::string &id, std::size_t occurrences, std::size_t tasks)
    {
        JobSpec spec = m_harness.job(id, 1, {stepOf(tasks)});
        spec.occurrences = occurrences;
        spec.firstDue = m_harness.timeline.clock().wallNow();
        spec.interval = milliseconds(1);
        return spec;
    }

    /** Number of rows of the table. */
    std::size_t rowsOf(const std::string &table) const
    {
        std::size_t count = 0;
        for (const auto &[name, row] : m_harness.store.rows) {
            count += name.first == table ? 1 : 0;
        }
        return count;
    }

    void expectOrdinaryWorkIsDone()
    {
        m_harness.submit(m_harness.job("ordinary", 1, {stepOf(1)}), {.work = seconds(1)});
        m_harness.runFor(seconds(4));
        EXPECT_EQ(m_harness.storedState(JobId("ordinary")), JobState::Completed);
        EXPECT_EQ(m_harness.store.refusedChanges, 0U);
    }

    EngineHarness m_harness;
};

// Guards against a change with the rows of all occurrences of a cancelled job, which the store refuses for ever, so
// that no job is started any more.
TEST_F(StoreLimits, cancelledScheduleDoesNotStopOtherJobs)
{
    m_harness.submit(scheduled("schedule", 1000, 1), {.work = seconds(10)});
    m_harness.runFor(seconds(2));
    m_harness.cancel(JobId("schedule"));
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("schedule")), JobState::Cancelled);
    expectOrdinaryWorkIsDone();
    EXPECT_EQ(rowsOf(JobsTable), 0U);
    EXPECT_EQ(rowsOf(ProgressTable), 0U);
}

// The same for a schedule that is completed, whose occurrences change in large numbers at the same time.
TEST_F(StoreLimits, completedScheduleDoesNotStopOtherJobs)
{
    m_harness.submit(scheduled("schedule", 300, 2), {.work = seconds(1)});
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("schedule")), JobState::Completed);
    expectOrdinaryWorkIsDone();
    EXPECT_EQ(rowsOf(ProgressTable), 0U);
}

// Guards against a change of more than 1 MB: occurrences with long checkpoints that change at the same time.
TEST_F(StoreLimits, largeOccurrencesAreStoredInSeveralChanges)
{
    m_harness.workers.checkpoint = std::string(400, 'c');
    JobSpec schedule = scheduled("schedule", 40, 100);
    schedule.steps[0].maximumPerWorker = 9;
    schedule.steps.push_back(stepOf(1));
    schedule.steps.back().after = {0};
    m_harness.submit(schedule, {.work = seconds(2)});
    m_harness.runFor(seconds(8));
    EXPECT_EQ(m_harness.storedState(JobId("schedule")), JobState::Completed);
    expectOrdinaryWorkIsDone();
}

// Guards against a row of more than 65,536 bytes: each of many tasks has a checkpoint. Checkpoints that do not fit are
// not stored.
TEST_F(StoreLimits, rowOfManyCheckpointsIsStored)
{
    m_harness.workers.checkpoint = std::string(60, 'c');
    StepSpec step = stepOf(1900);
    step.checkpoints = true;
    step.maximumPerWorker = 160;
    m_harness.submit(m_harness.job("large", 1, {step}), {.work = seconds(3)});
    m_harness.runFor(seconds(2));
    m_harness.submit(m_harness.job("more", 1, {stepOf(1)}), {.work = seconds(1)});
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("large")), JobState::Completed);
    expectOrdinaryWorkIsDone();
}

// Guards against rows of an ended job that stay in the store because the owner was replaced before it removed them all.
TEST_F(StoreLimits, nextOwnerRemovesTheRowsOfAnEndedJob)
{
    m_harness.submit(scheduled("schedule", 1000, 1), {.work = seconds(10)});
    m_harness.runFor(seconds(2));
    m_harness.cancel(JobId("schedule"));
    for (int i = 0; i < 500 && m_harness.store.find(JobsTable, "schedule") != nullptr; ++i) {
        m_harness.runFor(milliseconds(10));
    }
    ASSERT_EQ(m_harness.store.find(JobsTable, "schedule"), nullptr);
    EXPECT_GT(rowsOf(ProgressTable), 0U);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(3));
    EXPECT_EQ(rowsOf(ProgressTable), 0U);
    EXPECT_EQ(m_harness.storedState(JobId("schedule")), JobState::Cancelled);
    expectOrdinaryWorkIsDone();
}

} // namespace
} // namespace coriander::workflow
