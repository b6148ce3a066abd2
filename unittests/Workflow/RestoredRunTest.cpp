#include <fmt/format.h>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** What a new owner knows of the runs that an earlier one placed. */
class RestoredRun : public ::testing::Test
{
protected:
    RestoredRun()
    {
        m_harness.addWorkers(6);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** A task on each worker that uses the cores that others leave idle, and lasts. */
    void submitFilling()
    {
        StepSpec filling = stepOf(6, 32, 0);
        filling.usesIdleCores = true;
        filling.longRunning = true;
        filling.maximumPerWorker = 1;
        m_harness.submit(m_harness.job("filling", 2, {filling}), {.lasts = true});
        m_harness.runFor(seconds(2));
        ASSERT_EQ(m_harness.workers.runningTasks(), 6U);
    }

    void replaceOwner()
    {
        m_harness.endOwner(false);
        m_harness.startOwner();
    }

    /** What the owner reserves for each run, a line for each. */
    std::string reserved() const
    {
        std::string lines;
        for (const auto &[id, worker] : m_harness.engine->workers().all()) {
            for (const auto &[key, run] : worker.runs) {
                lines += fmt::format("{} {} {}: {} {} {}\n",
                                     id.value(),
                                     toString(key.first),
                                     key.second,
                                     run.resources.cores.count(),
                                     run.resources.memory.count(),
                                     run.resources.accelerators.count());
            }
        }
        return lines;
    }

    EngineHarness m_harness;
};

// Guards against a new owner that counts the cores of tasks that use idle cores, and starts nothing on workers that are
// idle but for them.
TEST_F(RestoredRun, tasksThatUseIdleCoresLeaveThemToOthers)
{
    submitFilling();
    replaceOwner();
    m_harness.runFor(seconds(2));
    m_harness.submit(m_harness.job("ordinary", 1, {stepOf(2, 4, 0)}), {.work = seconds(1)});
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("ordinary")), JobState::Completed);
}

// The same for a run that a worker lists and the owner does not expect.
TEST_F(RestoredRun, unexpectedRunsThatUseIdleCoresLeaveThemToOthers)
{
    submitFilling();
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.listedOnly.push_back({{JobId("filling"), 0, 0, 0}, 9, "", 100});
    }
    m_harness.runFor(seconds(2));
    m_harness.submit(m_harness.job("ordinary", 1, {stepOf(2, 4, 0)}), {.work = seconds(1)});
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("ordinary")), JobState::Completed);
}

// Guards against any other difference between what an owner reserves for a run and what the next one does.
TEST_F(RestoredRun, nextOwnerReservesTheSame)
{
    submitFilling();
    StepSpec gang = stepOf(3, 2, 1);
    gang.gang = true;
    StepSpec limited = stepOf(4, 1, 2);
    limited.maximumPerWorker = 1;
    m_harness.submit(m_harness.job("gang", 1, {gang}), {.work = minutes(1)});
    m_harness.submit(m_harness.job("limited", 0, {limited, stepOf(5, 3, 0)}), {.work = minutes(1)});
    JobSpec recurring = m_harness.job("recurring", 1, {stepOf(2, 1, 0)});
    recurring.occurrences = 3;
    recurring.firstDue = m_harness.timeline.clock().wallNow();
    recurring.interval = milliseconds(200);
    m_harness.submit(recurring, {.work = minutes(1)});
    m_harness.runFor(seconds(2));
    const std::string before = reserved();
    ASSERT_EQ(std::count(before.begin(), before.end(), '\n'), 24);
    replaceOwner();
    EXPECT_EQ(reserved(), before);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(reserved(), before);
}

// Guards against a job that counts as begun for ever, because its first start was stored but never carried out.
TEST_F(RestoredRun, jobWhoseStartWasNotCarriedOutWaitsAgain)
{
    m_harness.workers.faults.requestLost = 1;
    m_harness.submit(m_harness.job("job", 1, {stepOf(1, 1, 0)}), {.work = seconds(1)});
    m_harness.runFor(milliseconds(200));
    ASSERT_EQ(m_harness.engine->counts().startsSent, 1U);
    ASSERT_EQ(m_harness.workers.starts({JobId("job"), 0, 0, 0}), 0U);
    EXPECT_EQ(m_harness.storedState(JobId("job")), JobState::Queued);
    EXPECT_NE(m_harness.store.find(WaitingTable, waitingKey(QueueName("q1"), JobId("job"))), nullptr);
    m_harness.workers.faults = {};
    replaceOwner();
    m_harness.engine->pausePlacing(m_harness.timeline.now() + seconds(3));
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("job")), JobState::Queued);
    EXPECT_NE(m_harness.store.find(WaitingTable, waitingKey(QueueName("q1"), JobId("job"))), nullptr);
    m_harness.runFor(seconds(4));
    EXPECT_EQ(m_harness.storedState(JobId("job")), JobState::Completed);
}

// Guards against a job that is shown as waiting although a task of it is done.
TEST_F(RestoredRun, jobThatHasBegunDoesNotWaitAgain)
{
    std::vector<StepSpec> steps{stepOf(1, 1, 0), stepOf(1, 1, 0)};
    steps[1].after = {0};
    steps[1].requiredLabel = "none";
    m_harness.submit(m_harness.job("job", 1, steps), {.work = seconds(1)});
    m_harness.runFor(seconds(3));
    replaceOwner();
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("job")), JobState::Running);
    EXPECT_EQ(m_harness.store.find(WaitingTable, waitingKey(QueueName("q1"), JobId("job"))), nullptr);
}

} // namespace
} // namespace coriander::workflow
