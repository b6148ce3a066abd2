#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** A pool of 40 workers with gangs; workers are taken away after a notice. */
class Drain : public ::testing::Test
{
protected:
    Drain()
    {
        m_harness.addWorkers(40);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    void submitGang(const std::string &id, std::size_t tasks, Duration work)
    {
        StepSpec step;
        step.tasks = tasks;
        step.perTask = resources(4, 4);
        step.gang = true;
        step.estimate = work;
        m_harness.submit(m_harness.job(id, 1, {step}), {.work = work});
    }

    /** Announces that a worker leaves after @p notice, and takes it away then. */
    void announce(const WorkerId &id, Duration notice)
    {
        FakeWorkers::Machine &machine = m_harness.workers.machines().at(id);
        machine.report.draining = true;
        machine.report.minimumTimeToLeave = notice;
        m_harness.report(id);
        m_harness.timeline.after(notice, [this, id] {
            m_harness.workers.leave(id);
            m_harness.timeline.after(milliseconds(500), [this, id] { m_harness.engine->handleWorkerUnlisted(id); });
        });
    }

    bool isCompleted(const std::string &id) const
    {
        return m_harness.storedState(JobId(id)) == JobState::Completed;
    }

    EngineHarness m_harness;
};

// Guards against gangs that wait until the leases of a worker that has left have ended, 9 s, before they run again.
// Load: ten gangs of six run when six of 40 workers leave 1.9 s after a notice.
TEST_F(Drain, gangsRunAgainBeforeTheirWorkersLeave)
{
    for (int i = 0; i < 10; ++i) {
        submitGang("gang" + std::to_string(i), 6, seconds(6));
    }
    m_harness.runFor(seconds(2));
    for (int i = 0; i < 6; ++i) {
        announce(WorkerId("w" + std::to_string(i)), milliseconds(1900));
    }
    m_harness.runFor(seconds(8));
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(isCompleted("gang" + std::to_string(i))) << i;
    }
}

// Guards against stopping work that would have ended before its worker leaves.
TEST_F(Drain, runsThatEndInTimeAreLeftAlone)
{
    submitGang("gang", 6, seconds(4));
    m_harness.runFor(seconds(2));
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        if (!machine.runs.empty()) {
            announce(id, seconds(4));
        }
    }
    m_harness.runFor(seconds(4));
    EXPECT_TRUE(isCompleted("gang"));
    EXPECT_EQ(m_harness.workers.stopped, 0U);
}

// Guards against starts on workers that announced that they leave, while the owner cannot read the announcements.
TEST_F(Drain, nothingStartsWhileTheReportsAreOld)
{
    m_harness.discoveryAnswers = false;
    m_harness.runFor(seconds(2));
    submitGang("gang", 6, seconds(1));
    m_harness.runFor(seconds(5));
    EXPECT_EQ(m_harness.workers.starts({JobId("gang"), 0, 0, 0}), 0U);
    m_harness.discoveryAnswers = true;
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(isCompleted("gang"));
}

// Guards against an owner that starts more work while it is late with the work that runs, so that members of a gang
// start too far apart.
TEST_F(Drain, lateOwnerPlacesNothing)
{
    m_harness.engine->pausePlacing(m_harness.timeline.now() + seconds(2));
    submitGang("gang", 6, seconds(1));
    m_harness.runFor(milliseconds(1900));
    EXPECT_EQ(m_harness.workers.starts({JobId("gang"), 0, 0, 0}), 0U);
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(isCompleted("gang"));
}

// Guards against a start on a worker that announced that it leaves while the assignment was being stored. The write of
// a slow store takes seconds.
TEST_F(Drain, assignedTaskIsNotStartedOnADrainingWorker)
{
    submitGang("gang", 6, seconds(1));
    m_harness.engine->step();
    const EngineBatch batch = m_harness.engine->takeBatch(ChangeLimits());
    ASSERT_EQ(batch.starts.size(), 6U);
    WorkerReport report = m_harness.workers.machines().at(batch.starts.front().first).report;
    report.draining = true;
    m_harness.engine->handleWorkerReport(report);
    m_harness.workers.onStart = [&report, this](const TaskKey &key, std::int64_t) {
        EXPECT_NE(m_harness.engine->job(key.job)->task(key)->worker, report.id);
    };
    m_harness.engine->batchStored(batch);
    m_harness.runFor(seconds(4));
    EXPECT_TRUE(isCompleted("gang"));
}

// Guards against services that are down until their worker has left.
TEST_F(Drain, longRunningTasksMoveAtOnce)
{
    StepSpec step;
    step.perTask = resources(4, 4);
    step.longRunning = true;
    step.estimate = seconds(1);
    m_harness.submit(m_harness.job("service", 1, {step}), {.work = seconds(1000)});
    m_harness.runFor(seconds(2));
    const WorkerId first = m_harness.engine->job(JobId("service"))->task({JobId("service"), 0, 0, 0})->worker;
    announce(first, seconds(4));
    m_harness.runFor(milliseconds(1500));
    EXPECT_NE(m_harness.engine->job(JobId("service"))->task({JobId("service"), 0, 0, 0})->worker, first);
    EXPECT_EQ(m_harness.workers.runningTasks(), 1U);
}

} // namespace
} // namespace coriander::workflow
