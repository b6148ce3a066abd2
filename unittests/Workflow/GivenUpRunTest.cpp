#include <algorithm>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** A worker completes a run while it is cut off. The run is given up when the leases of the worker have ended; the
   worker lists the end after that. */
class GivenUpRun : public ::testing::Test
{
protected:
    GivenUpRun()
    {
        m_harness.addWorkers(6);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** Submits a job with @p first and a step that depends on it, and cuts off the workers that run @p first. */
    void submitAndCutOff(StepSpec first)
    {
        StepSpec second = stepOf(1, 1, 1);
        second.after = {0};
        m_harness.submit(m_harness.job("j", 1, {std::move(first), second}), {.work = WorkTime});
        cutOffBusyWorkers();
    }

    void cutOffBusyWorkers()
    {
        m_harness.runFor(seconds(1));
        for (auto &[id, machine] : m_harness.workers.machines()) {
            machine.isCutOff = !machine.runs.empty();
        }
    }

    /** Runs until the leases of the workers that are cut off have ended and their runs were given up. */
    void giveUpRuns()
    {
        ASSERT_TRUE(runUntil(seconds(12), [this] { return countRunsOfCutWorkers() == 0; }));
        m_harness.runFor(milliseconds(200));
    }

    void endCut()
    {
        for (auto &[id, machine] : m_harness.workers.machines()) {
            machine.isCutOff = false;
        }
    }

    void endCutOfOneWorker()
    {
        auto &machines = m_harness.workers.machines();
        const auto cut
            = std::find_if(machines.begin(), machines.end(), [](const auto &each) { return each.second.isCutOff; });
        ASSERT_NE(cut, machines.end());
        cut->second.isCutOff = false;
    }

    bool runUntil(Duration most, const std::function<bool()> &reached)
    {
        const MonotonicTime end = m_harness.timeline.now() + most;
        while (!reached() && m_harness.timeline.now() < end) {
            m_harness.runFor(milliseconds(20));
        }
        return reached();
    }

    std::size_t starts(std::size_t step) const
    {
        return m_harness.workers.starts({JobId("j"), 0, step, 0});
    }

    bool isCompleted() const
    {
        return m_harness.storedState(JobId("j")) == JobState::Completed;
    }

    /** Long enough that a second run of the first step does not end during a test. */
    static constexpr Duration WorkTime = seconds(6);
    /** Time after the cut in which the ends are listed and the next step starts; a worker is asked every 1.3 s. */
    static constexpr Duration ReactionTime = seconds(2);
    EngineHarness m_harness;

private:
    std::size_t countRunsOfCutWorkers()
    {
        std::size_t runs = 0;
        for (const auto &[id, worker] : m_harness.engine->workers().all()) {
            runs += m_harness.workers.machines().at(id).isCutOff ? worker.runs.size() : 0;
        }
        return runs;
    }
};

// Guards against a step that does not begin, on idle workers, because the owner waits for a second run of a task that
// is done.
TEST_F(GivenUpRun, completionThatIsListedLateCounts)
{
    submitAndCutOff(stepOf(1, 1, 1));
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    endCut();
    EXPECT_TRUE(runUntil(ReactionTime, [this] { return starts(1) == 1; }));
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.stopped, 1U) << "the second run goes on although its task is done";
    m_harness.runFor(WorkTime);
    EXPECT_TRUE(isCompleted());
}

// The same for a gang: the end of one member counts for all, and the second run of every member is stopped.
TEST_F(GivenUpRun, completionOfAGangThatIsListedLateCounts)
{
    StepSpec gang = stepOf(3, 1, 8);
    gang.gang = true;
    submitAndCutOff(gang);
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    endCutOfOneWorker();
    EXPECT_TRUE(runUntil(ReactionTime, [this] { return starts(1) == 1; }));
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.runningTasks(), 1U) << "members of the second run go on although the gang is done";
    m_harness.runFor(WorkTime);
    EXPECT_TRUE(isCompleted());
}

// Guards against a second start of a task after its completion was listed, when there was no room for it before.
TEST_F(GivenUpRun, taskIsNotStartedAfterItsCompletionWasListed)
{
    m_harness.submit(m_harness.job("other", 1, {stepOf(5, 32, 8)}), {.work = seconds(60)});
    m_harness.runFor(milliseconds(500));
    StepSpec first = stepOf(1, 1, 1);
    first.estimate = WorkTime;
    submitAndCutOff(first);
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        const bool runsOther = machine.runs.size() == 1 && machine.runs.begin()->first.first.job == JobId("other");
        m_harness.workers.machines().at(id).isCutOff = !runsOther;
    }
    giveUpRuns();
    ASSERT_EQ(starts(0), 1U);
    endCut();
    EXPECT_TRUE(runUntil(ReactionTime, [this] { return starts(1) == 1; }));
    EXPECT_EQ(starts(0), 1U);
}

// Guards against a job whose only open task is completed by such a run, and that is not shown as completed.
TEST_F(GivenUpRun, completionOfTheLastTaskCompletesTheJob)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = WorkTime});
    cutOffBusyWorkers();
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    endCut();
    EXPECT_TRUE(runUntil(ReactionTime, [this] { return isCompleted(); }));
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
}

// Guards against capacity that is used twice: the rows of the completed job are gone, but its second run goes on at a
// worker that does not answer, and the next owner knows nothing of it.
TEST_F(GivenUpRun, nextOwnerFindsTheSecondRunOfACompletedJob)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 32, 8)}), {.work = WorkTime});
    cutOffBusyWorkers();
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.isCutOff = !machine.runs.empty();
    }
    ASSERT_TRUE(runUntil(seconds(4), [this] { return isCompleted(); }));
    ASSERT_EQ(m_harness.workers.runningTasks(), 1U);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.submit(m_harness.job("k", 1, {stepOf(12, 32, 8)}), {.work = seconds(3)});
    m_harness.runFor(milliseconds(1500));
    endCut();
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.storedState(JobId("k")), JobState::Completed);
    EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
}

// Guards against a start that is sent after the task was completed; it waited for the store.
TEST_F(GivenUpRun, assignedTaskIsNotStartedAfterItsCompletionWasListed)
{
    submitAndCutOff(stepOf(1, 1, 1));
    m_harness.runFor(WorkTime);
    m_harness.store.isUnreachable = true;
    giveUpRuns();
    ASSERT_EQ(starts(0), 1U);
    endCut();
    m_harness.runFor(ReactionTime);
    m_harness.store.isUnreachable = false;
    m_harness.runFor(ReactionTime);
    EXPECT_EQ(starts(0), 1U);
    EXPECT_EQ(starts(1), 1U);
}

// Guards against a cancelled job that such a run turns into a completed one.
TEST_F(GivenUpRun, cancelledJobStaysCancelled)
{
    submitAndCutOff(stepOf(1, 1, 1));
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    m_harness.cancel(JobId("j"));
    endCut();
    m_harness.runFor(seconds(5));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Cancelled);
    EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
}

// Guards against more tasks of a step on one worker than its limit: the second run, which is being stopped, counts too.
TEST_F(GivenUpRun, limitPerWorkerCountsRunsThatAreBeingStopped)
{
    StepSpec step = stepOf(24, 1, 1);
    step.maximumPerWorker = 1;
    m_harness.submit(m_harness.job("j", 1, {step}), {.work = WorkTime});
    m_harness.runFor(seconds(1));
    FakeWorkers::Machine &cut = m_harness.workers.machines().begin()->second;
    ASSERT_EQ(cut.runs.size(), 1U);
    cut.isCutOff = true;
    const TaskKey task = cut.runs.begin()->first.first;
    ASSERT_TRUE(runUntil(seconds(30), [this, &task] { return m_harness.workers.starts(task) == 2; }));
    m_harness.runFor(milliseconds(500));
    endCut();
    m_harness.runFor(seconds(60));
    EXPECT_TRUE(isCompleted());
}

// Guards against the loss of a completion that is listed to the next owner, which knows only the second run.
TEST_F(GivenUpRun, completionThatIsListedToTheNextOwnerCounts)
{
    submitAndCutOff(stepOf(1, 1, 1));
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(milliseconds(500));
    endCut();
    EXPECT_TRUE(runUntil(ReactionTime, [this] { return starts(1) == 1; }));
}

// Guards against a task that lasts and is stopped because one of its earlier runs ended.
TEST_F(GivenUpRun, taskThatLastsGoesOn)
{
    StepSpec lasting = stepOf(1, 1, 1);
    lasting.longRunning = true;
    submitAndCutOff(lasting);
    giveUpRuns();
    ASSERT_EQ(starts(0), 2U);
    endCut();
    m_harness.runFor(ReactionTime);
    EXPECT_EQ(m_harness.workers.stopped, 0U);
    EXPECT_EQ(m_harness.workers.runningTasks(), 1U);
}

} // namespace
} // namespace coriander::workflow
