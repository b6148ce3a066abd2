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
    endCut();
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
