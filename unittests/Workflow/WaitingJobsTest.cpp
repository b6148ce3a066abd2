#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** What callers are shown of jobs whose starts are sent, in a pool in which one worker has the label that they need. */
class WaitingJobs : public ::testing::Test
{
protected:
    WaitingJobs()
    {
        m_harness.addWorkers(6);
        m_harness.workers.machines().at(m_only).report.labels = {"only"};
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    void submit(const std::string &id, Duration work = seconds(1))
    {
        StepSpec step = stepOf(1, 1, 1);
        step.requiredLabel = "only";
        m_harness.submit(m_harness.job(id, 1, {step}), {.work = work});
    }

    void cutOff(bool cut)
    {
        m_harness.workers.machines().at(m_only).isCutOff = cut;
    }

    void replaceOwner()
    {
        m_harness.endOwner(false);
        m_harness.startOwner();
    }

    bool isWaiting(const std::string &id) const
    {
        return m_harness.store.find(WaitingTable, waitingKey(QueueName("q1"), JobId(id))) != nullptr;
    }

    bool hasBegun(const std::string &id) const
    {
        return m_harness.workers.starts({JobId(id), 0, 0, 0}) > 0;
    }

    /** Expects that the job is shown as waiting, or as begun, in each 10 ms of @p time. */
    void expectShown(const std::string &id, bool waiting, Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(10)) {
            m_harness.runFor(milliseconds(10));
            ASSERT_EQ(isWaiting(id), waiting) << "after " << passed.count() << " us";
            ASSERT_EQ(m_harness.storedState(JobId(id)), waiting ? JobState::Queued : JobState::Running)
                << "after " << passed.count() << " us";
        }
    }

    const WorkerId m_only{"w3"};
    EngineHarness m_harness;
};

// Guards against review/15: a job whose start is not answered counts as begun until the last lease of the worker ended.
TEST_F(WaitingJobs, jobWaitsWhileItsOnlyWorkerIsSilent)
{
    cutOff(true);
    for (const char *id : {"a", "b", "c", "d"}) {
        submit(id);
    }
    for (int i = 0; i < 15; ++i) {
        for (const char *id : {"a", "b", "c", "d"}) {
            expectShown(id, true, milliseconds(250));
        }
    }
    ASSERT_FALSE(hasBegun("a"));
    cutOff(false);
    m_harness.runFor(seconds(15));
    EXPECT_EQ(m_harness.storedState(JobId("a")), JobState::Completed);
    EXPECT_FALSE(isWaiting("a"));
}

// The same for a worker that is restarted as the start arrives, so that the run is known not to exist.
TEST_F(WaitingJobs, jobWaitsWhileItsOnlyWorkerIsRestarted)
{
    cutOff(true);
    submit("job");
    expectShown("job", true, seconds(1));
    cutOff(false);
    m_harness.workers.restart(m_only);
    m_harness.workers.machines().at(m_only).report.labels = {};
    m_harness.engine->handleWorkerReport(m_harness.workers.machines().at(m_only).report);
    expectShown("job", true, seconds(15));
}

// The same for a new owner that finds the start stored.
TEST_F(WaitingJobs, jobWaitsUnderANewOwner)
{
    cutOff(true);
    submit("job");
    expectShown("job", true, seconds(1));
    replaceOwner();
    expectShown("job", true, seconds(15));
}

// Guards against a job that has begun and is shown as waiting, because its worker does not answer the new owner.
TEST_F(WaitingJobs, jobThatHasBegunIsRunningUnderANewOwner)
{
    submit("job", minutes(5));
    m_harness.runFor(seconds(1));
    ASSERT_TRUE(hasBegun("job"));
    cutOff(true);
    replaceOwner();
    expectShown("job", false, seconds(15));
    replaceOwner();
    expectShown("job", false, seconds(5));
}

// Guards against a job that is shown as waiting for longer than the start of its first task takes to be answered, and
// against one that goes back to waiting when its only run is lost.
TEST_F(WaitingJobs, jobIsRunningOnceAStartWasAccepted)
{
    submit("job", minutes(5));
    m_harness.runFor(milliseconds(300));
    ASSERT_TRUE(hasBegun("job"));
    expectShown("job", false, seconds(1));
    m_harness.workers.restart(m_only);
    m_harness.workers.machines().at(m_only).report.labels = {};
    m_harness.engine->handleWorkerReport(m_harness.workers.machines().at(m_only).report);
    expectShown("job", false, seconds(5));
}

// Guards against a job that counts as waiting although a task has begun, because the answer to the start was lost.
TEST_F(WaitingJobs, jobIsRunningOnceItsWorkerListsTheRun)
{
    m_harness.workers.faults.responseLossProbability = 1;
    submit("job", minutes(5));
    m_harness.runFor(seconds(1));
    ASSERT_TRUE(hasBegun("job"));
    EXPECT_TRUE(isWaiting("job")) << "the owner does not know yet";
    m_harness.workers.faults = {};
    m_harness.runFor(seconds(2));
    expectShown("job", false, seconds(1));
}

// Guards against a gang that counts as begun although one member is missing: its members work only together, so none
// has.
TEST_F(WaitingJobs, gangWaitsWhileAMemberIsMissing)
{
    cutOff(true);
    StepSpec step = stepOf(6, 1, 1);
    step.gang = true;
    step.maximumPerWorker = 1;
    m_harness.submit(m_harness.job("job", 1, {step}), {.work = minutes(5)});
    expectShown("job", true, seconds(5));
    ASSERT_GT(m_harness.workers.starts({JobId("job"), 0, 0, 0}), 0U);
    cutOff(false);
    m_harness.runFor(seconds(15));
    ASSERT_EQ(m_harness.workers.runningTasks(), 6U);
    EXPECT_EQ(m_harness.engine->counts().runsBegun, 6U);
    expectShown("job", false, seconds(1));
}

// Guards against jobs stored by earlier versions, which showed a job as running when its start was stored, and that are
// never shown as waiting; and against those that are never shown as running again.
TEST_F(WaitingJobs, jobOfAnEarlierVersionIsShownByWhatItsWorkerSays)
{
    submit("begun", minutes(5));
    m_harness.runFor(seconds(1));
    cutOff(true);
    submit("not-begun");
    m_harness.runFor(seconds(1));
    for (const char *id : {"begun", "not-begun"}) {
        ProtocolError error;
        const std::string key = progressKey(JobId(id), 0);
        OccurrenceRecord record = *decodeOccurrence(m_harness.store.find(ProgressTable, key)->value, error);
        record.jobBegun = false;
        const StateRecord state{JobState::Running, QueueName("q1"), OrganisationId("org"), {}};
        m_harness.store.apply({{},
                               {{ProgressTable, key, encodeOccurrence(record), {}, false},
                                {StatesTable, id, encodeState(state), {}, false}},
                               {{WaitingTable, waitingKey(QueueName("q1"), JobId(id))}}});
    }
    replaceOwner();
    m_harness.runFor(milliseconds(100));
    expectShown("not-begun", true, seconds(4));
    cutOff(false);
    m_harness.runFor(seconds(2));
    expectShown("begun", false, seconds(1));
    EXPECT_EQ(m_harness.storedState(JobId("not-begun")), JobState::Completed);
}

// Guards against figures that say that a run has started although its start was only sent.
TEST_F(WaitingJobs, startsThatWereSentAreNotCountedAsBegun)
{
    cutOff(true);
    submit("job");
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.engine->counts().startsSent, 1U);
    EXPECT_EQ(m_harness.engine->counts().runsBegun, 0U);
    cutOff(false);
    m_harness.runFor(seconds(15));
    EXPECT_EQ(m_harness.engine->counts().runsBegun, 1U);
}

} // namespace
} // namespace coriander::workflow
