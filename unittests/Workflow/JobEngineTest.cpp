#include <cstdlib>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

class Engine : public ::testing::Test
{
protected:
    Engine()
    {
        m_harness.addWorkers(6);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    TaskKey task(const std::string &job, std::size_t step, std::size_t index) const
    {
        return {JobId(job), 0, step, index};
    }

    EngineHarness m_harness;
};

// Guards against a job that is not started, whose steps start too early, or that is not completed after its last task.
TEST_F(Engine, runsStepsInOrderAndCompletes)
{
    std::vector<StepSpec> steps{stepOf(3, 1, 1), stepOf(2, 1, 1)};
    steps[1].after = {0};
    m_harness.workers.onStart = [this](const TaskKey &key, std::int64_t) {
        for (std::size_t i = 0; key.step == 1 && i < 3; ++i) {
            EXPECT_TRUE(m_harness.workers.isDone(task("j", 0, i))) << "started before the step it depends on was done";
        }
    };
    m_harness.submit(m_harness.job("j", 1, steps), {});
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
    EXPECT_EQ(m_harness.store.find(JobsTable, "j"), nullptr);
    EXPECT_EQ(m_harness.store.find(ProgressTable, "j.0"), nullptr);
}

// Guards against a gang that starts while there is room for only some of its members.
TEST_F(Engine, gangWaitsForRoomForAllMembers)
{
    StepSpec gang = stepOf(6, 1, 8);
    gang.gang = true;
    m_harness.submit(m_harness.job("small", 1, {stepOf(1, 1, 1)}), {.work = seconds(4)});
    m_harness.runFor(seconds(1));
    m_harness.submit(m_harness.job("gang", 2, {gang}), {});
    m_harness.runFor(seconds(2));
    EXPECT_EQ(m_harness.workers.runningTasks(), 1U);
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("gang")), JobState::Completed);
}

// Guards against a gang that never starts because small tasks of lower priority take every accelerator that is freed.
TEST(GangReserve, gangIsNotStarvedBySmallTasks)
{
    EngineHarness harness;
    harness.addWorkers(18);
    harness.startOwner();
    harness.runFor(seconds(1));
    for (int i = 0; i < 180; ++i) {
        const std::string id = "small" + std::to_string(100 + i);
        harness.submit(harness.job(id, 2, {stepOf(5, 1, 1)}), {.work = milliseconds(1500 + 70 * (i * 7 % 30))});
    }
    harness.runFor(seconds(1));
    StepSpec gang = stepOf(2, 1, 8);
    gang.gang = true;
    gang.sameRack = true;
    gang.estimate = seconds(20);
    harness.submit(harness.job("gang", 1, {gang}), {.work = seconds(2)});
    harness.runFor(seconds(8));
    EXPECT_EQ(harness.workers.starts({JobId("gang"), 0, 0, 0}), 1U);
}

// Guards against a job covered by a guarantee that waits while jobs of lower priority use the guaranteed accelerators.
TEST_F(Engine, guaranteeIsReclaimedFromLowerPriorities)
{
    m_harness.submit(m_harness.job("bulk", 2, {stepOf(6, 1, 8)}), {.work = seconds(30)});
    m_harness.runFor(seconds(1));
    StepSpec gang = stepOf(2, 1, 8);
    gang.gang = true;
    m_harness.submit(m_harness.job("urgent", 0, {gang}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(m_harness.workers.starts(task("urgent", 0, 0)), 1U);
    EXPECT_EQ(m_harness.workers.starts(task("urgent", 0, 1)), 1U);
}

// Guards against room that is freed for one job and used by another, so that more runs are preempted than needed.
TEST_F(Engine, freedRoomIsKeptForItsJob)
{
    m_harness.submit(m_harness.job("bulk", 2, {stepOf(48, 1, 1)}), {.work = seconds(30)});
    m_harness.runFor(seconds(1));
    StepSpec gang = stepOf(2, 1, 8);
    gang.gang = true;
    m_harness.submit(m_harness.job("urgent1", 0, {gang}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(100));
    StepSpec small = stepOf(1, 1, 4);
    small.estimate = seconds(1);
    m_harness.submit(m_harness.job("urgent2", 0, {small}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(900));
    EXPECT_EQ(m_harness.workers.starts(task("urgent1", 0, 0)), 1U);
    EXPECT_EQ(m_harness.workers.starts(task("urgent2", 0, 0)), 1U);
    EXPECT_EQ(m_harness.workers.stopped, 20U);
}

// Guards against retries beyond the maximum number of attempts, and against a new owner that restarts a failed job.
TEST_F(Engine, failedJobStaysFailedAfterAChangeOfOwner)
{
    StepSpec gang = stepOf(3, 1, 8);
    gang.gang = true;
    m_harness.submit(m_harness.job("bad", 1, {gang}), {.work = seconds(1), .failures = 100});
    for (int i = 0; i < 400 && m_harness.storedState(JobId("bad")) != JobState::Failed; ++i) {
        m_harness.runFor(milliseconds(10));
    }
    ASSERT_EQ(m_harness.storedState(JobId("bad")), JobState::Failed);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.storedState(JobId("bad")), JobState::Failed);
    EXPECT_EQ(m_harness.workers.starts(task("bad", 0, 0)), 3U);
}

// Guards against tasks of a worker that stops answering and that are never run again. Holds to such a worker must not
// extend its lease.
TEST_F(Engine, tasksOfASilentWorkerRunAgainAfterItsLease)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(5)});
    m_harness.runFor(seconds(1));
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.isCutOff = !machine.runs.empty();
    }
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.workers.starts(task("j", 0, 0)), 2U);
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// Guards against tasks that are never run again because their worker left before a new owner began.
TEST_F(Engine, tasksOfAWorkerUnknownToANewOwnerRunAgain)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(5)});
    m_harness.runFor(seconds(1));
    std::set<WorkerId> gone;
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        if (!machine.runs.empty()) {
            gone.insert(id);
        }
    }
    for (const WorkerId &id : gone) {
        m_harness.workers.restart(id);
        m_harness.workers.machines().at(id).hasLeft = true;
    }
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// Guards against starts after a cancel, and against runs and rows of a cancelled job that are not removed.
TEST_F(Engine, cancelStopsWhatRunsAndStartsNoMore)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(20, 16, 1)}), {.work = seconds(10)});
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.runningTasks(), 12U);
    m_harness.cancel(JobId("j"));
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Cancelled);
    EXPECT_EQ(m_harness.store.find(JobsTable, "j"), nullptr);
}

// Guards against a task that runs twice because its start order is carried out after the run was given up.
TEST_F(Engine, startThatIsCarriedOutLateDoesNotRunTwice)
{
    m_harness.workers.faults.delayedProbability = 1;
    m_harness.submit(m_harness.job("j", 1, {stepOf(3, 1, 1)}), {.work = seconds(3)});
    m_harness.runFor(milliseconds(100));
    m_harness.workers.faults.delayedProbability = 0;
    m_harness.runFor(seconds(25));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// Guards against an owner that ends because a worker lists a run or an end of a task that its job does not have.
TEST_F(Engine, listedTasksThatTheJobDoesNotHaveAreIgnored)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(4)});
    m_harness.runFor(seconds(1));
    for (auto &[id, machine] : m_harness.workers.machines()) {
        for (const TaskKey &odd :
             {TaskKey{JobId("j"), 7, 0, 0}, TaskKey{JobId("j"), 0, 9, 0}, TaskKey{JobId("j"), 0, 0, 5}}) {
            machine.ended.push_back({++machine.lastEnd, odd, 1, EndKind::Failed, ""});
            machine.listedOnly.push_back({odd, 2, "", 10});
        }
    }
    m_harness.runFor(seconds(2));
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.listedOnly.clear();
    }
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
    EXPECT_EQ(m_harness.workers.starts(task("j", 0, 0)), 1U);
}

// Guards against urgent work that can never run and keeps all other work of a pool without accelerators from starting.
TEST(UrgentReserveLoad, hopelessUrgentJobDoesNotStopOtherWork)
{
    EngineHarness harness;
    for (int i = 0; i < 8; ++i) {
        harness.workers.add("w" + std::to_string(i), "r0", resources(32, 0, 65536));
    }
    harness.startOwner();
    harness.runFor(seconds(1));
    harness.submit(harness.job("hopeless", 0, {stepOf(1, 1, 1)}), {});
    harness.runFor(seconds(1));
    harness.submit(harness.job("j", 1, {stepOf(1, 1, 0)}), {.work = seconds(1)});
    harness.runFor(seconds(4));
    EXPECT_EQ(harness.storedState(JobId("j")), JobState::Completed);
}

/** 16 workers in four racks. */
class RackPreferenceLoad : public ::testing::Test
{
protected:
    RackPreferenceLoad()
    {
        for (int i = 0; i < 16; ++i) {
            m_harness.workers.add("w" + std::to_string(10 + i), "r" + std::to_string(i / 4), WorkerSize);
        }
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** Fills @p accelerators on one worker of the rack for a long time. */
    void fill(const std::string &rack, std::size_t tasks, std::int64_t accelerators)
    {
        StepSpec step = stepOf(tasks, 1, accelerators);
        step.dataRack = RackId(rack);
        m_harness.submit(m_harness.job("fill-" + rack, 1, {step}), {.work = seconds(600)});
        m_harness.runFor(milliseconds(500));
    }

    EngineHarness m_harness;
};

// Guards against a gang that waits for ever for one rack, with most workers idle, because each rack holds some work
// that does not end.
TEST_F(RackPreferenceLoad, gangLeavesItsRackWhenThePoolIsIdle)
{
    for (const char *rack : {"r0", "r1", "r2", "r3"}) {
        fill(rack, 1, 1);
    }
    StepSpec gang = stepOf(4, 1, 8);
    gang.gang = true;
    gang.sameRack = true;
    m_harness.submit(m_harness.job("gang", 1, {gang}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(1500));
    EXPECT_EQ(m_harness.workers.starts({JobId("gang"), 0, 0, 0}), 0U) << "left its rack at once";
    m_harness.runFor(milliseconds(1400));
    EXPECT_EQ(m_harness.workers.starts({JobId("gang"), 0, 0, 0}), 1U);
}

// The same for a task that prefers the rack of its data, which is full.
TEST_F(RackPreferenceLoad, taskLeavesTheRackOfItsDataWhenThePoolIsIdle)
{
    fill("r1", 4, 8);
    StepSpec step = stepOf(1, 1, 1);
    step.dataRack = RackId("r1");
    m_harness.submit(m_harness.job("task", 1, {step}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(1500));
    EXPECT_EQ(m_harness.workers.starts({JobId("task"), 0, 0, 0}), 0U) << "left its rack at once";
    m_harness.runFor(milliseconds(1400));
    EXPECT_EQ(m_harness.workers.starts({JobId("task"), 0, 0, 0}), 1U);
}

// Guards against an urgent gang that preempts and starts more of its tasks on one worker than its limit allows.
TEST_F(Engine, preemptionKeepsTheLimitPerWorker)
{
    m_harness.submit(m_harness.job("bulk", 2, {stepOf(6, 1, 8)}), {.work = seconds(30)});
    m_harness.runFor(seconds(1));
    StepSpec gang = stepOf(4, 1, 1);
    gang.gang = true;
    gang.maximumPerWorker = 1;
    gang.estimate = seconds(60);
    std::map<WorkerId, int> startedOn;
    m_harness.workers.onStart = [&](const TaskKey &key, std::int64_t run) {
        for (const auto &[id, machine] : m_harness.workers.machines()) {
            startedOn[id] += key.job == JobId("urgent") && machine.runs.count({key, run}) > 0 ? 1 : 0;
        }
    };
    m_harness.submit(m_harness.job("urgent", 0, {gang}), {.work = seconds(2)});
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.workers.starts(task("urgent", 0, 3)), 1U);
    for (const auto &[id, count] : startedOn) {
        EXPECT_LE(count, 1) << id;
    }
}

// Guards against a job within its organisation's guarantee that waits for urgent jobs beyond any guarantee.
TEST_F(Engine, guaranteeIsReclaimedFromUrgentWorkBeyondAGuarantee)
{
    JobSpec flood = m_harness.job("flood", 0, {stepOf(6, 1, 8)});
    flood.organisation = OrganisationId("without-guarantee");
    m_harness.submit(flood, {.work = seconds(30)});
    m_harness.runFor(seconds(1));
    m_harness.submit(m_harness.job("covered", 0, {stepOf(2, 1, 8)}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(m_harness.workers.starts(task("covered", 0, 0)), 1U);
    EXPECT_EQ(m_harness.workers.starts(task("covered", 0, 1)), 1U);
    EXPECT_EQ(m_harness.workers.stopped, 2U);
}

// Guards against a task on a worker without its label: the worker was restarted under its id as another kind, and its
// new report is not read yet.
TEST_F(Engine, restartedWorkerGetsNoWorkBeforeItsReport)
{
    StepSpec step = stepOf(1, 1, 1);
    step.requiredLabel = "a";
    m_harness.submit(m_harness.job("first", 1, {stepOf(6, 1, 8)}), {.work = seconds(2)});
    m_harness.runFor(seconds(1));
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        m_harness.workers.restart(id);
        m_harness.workers.machines().at(id).report.labels = {"b", "r0"};
    }
    m_harness.runFor(seconds(3));
    m_harness.submit(m_harness.job("labelled", 1, {step}), {});
    m_harness.runFor(seconds(2));
    EXPECT_EQ(m_harness.workers.starts(task("labelled", 0, 0)), 0U);
    m_harness.workers.machines().at(WorkerId("w3")).report.labels = {"a", "r1"};
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        m_harness.report(id);
    }
    m_harness.runFor(seconds(8));
    EXPECT_EQ(m_harness.storedState(JobId("labelled")), JobState::Completed);
    EXPECT_EQ(m_harness.storedState(JobId("first")), JobState::Completed);
}

// Guards against a task that lasts and is not started again while work of lower priority keeps all workers full.
TEST_F(Engine, taskThatLastsIsStartedAgainInAFullPool)
{
    StepSpec lasting = stepOf(1, 1, 8);
    lasting.longRunning = true;
    m_harness.submit(m_harness.job("lasting", 1, {lasting}), {.work = seconds(20), .failures = 1});
    m_harness.runFor(seconds(9));
    StepSpec low = stepOf(1, 1, 8);
    low.estimate = seconds(9);
    for (int i = 0; i < 60; ++i) {
        m_harness.submit(m_harness.job("low" + std::to_string(100 + i), 2, {low}),
                         {.work = milliseconds(8000 + 100 * (i % 17))});
    }
    m_harness.runFor(milliseconds(900));
    ASSERT_EQ(m_harness.workers.starts(task("lasting", 0, 0)), 1U);
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.starts(task("lasting", 0, 0)), 2U);
}

// The same where its room was taken before the task came, so that nothing frees a whole worker soon.
TEST_F(Engine, taskThatLastsPreemptsLowerPriorities)
{
    m_harness.submit(m_harness.job("low", 2, {stepOf(48, 1, 1)}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    StepSpec lasting = stepOf(1, 1, 8);
    lasting.longRunning = true;
    m_harness.submit(m_harness.job("lasting", 1, {lasting}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.stopped, 0U) << "preempted at once";
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.workers.starts(task("lasting", 0, 0)), 1U);
    EXPECT_EQ(m_harness.workers.stopped, 8U);
}

// Guards against one job that can never be done and takes all workers out of service, because its tasks fail on each.
TEST_F(Engine, hopelessJobDoesNotStopOtherJobs)
{
    m_harness.submit(m_harness.job("hopeless", 1, {stepOf(12, 1, 4)}), {.work = seconds(4), .failures = 1000});
    m_harness.runFor(seconds(3));
    for (int i = 0; i < 6; ++i) {
        m_harness.submit(m_harness.job("j" + std::to_string(i), 1, {stepOf(1, 1, 1)}), {.work = seconds(2)});
    }
    m_harness.runFor(seconds(7));
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(m_harness.storedState(JobId("j" + std::to_string(i))), JobState::Completed);
    }
}

// Guards against a job that is counted as begun although each of its starts was refused.
TEST_F(Engine, jobWhoseStartsAreRefusedWaits)
{
    const std::string waiting = waitingKey(QueueName("q1"), JobId("j"));
    m_harness.workers.ticketIsValid = [](const WorkerId &, const StartOrder &) {
        return false;
    };
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(1)});
    for (int i = 0; i < 600; ++i) {
        m_harness.runFor(milliseconds(10));
        ASSERT_NE(m_harness.store.find(WaitingTable, waiting), nullptr);
    }
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Queued);
    m_harness.workers.ticketIsValid = {};
    m_harness.runFor(seconds(2));
    EXPECT_EQ(m_harness.store.find(WaitingTable, waiting), nullptr);
    m_harness.runFor(seconds(4));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

/** A job of many small tasks that all run on one worker and end at the same time. */
class ManyEnds : public Engine
{
protected:
    ManyEnds()
    {
        StepSpec step = stepOf(Tasks, 0, 0);
        step.perTask = {MilliCores(20), MemoryMib(16), Accelerators(0)};
        m_harness.submit(m_harness.job("many", 1, {step}), {.work = seconds(3)});
        m_harness.runFor(seconds(1));
        std::size_t most = 0;
        for (const auto &[id, machine] : m_harness.workers.machines()) {
            most = std::max(most, machine.runs.size());
        }
        EXPECT_GT(most, FakeWorkers::MaximumListedEnds) << "the tasks are spread over too many workers";
    }

    void expectEachTaskRanOnce()
    {
        EXPECT_EQ(m_harness.storedState(JobId("many")), JobState::Completed);
        std::size_t repeated = 0;
        for (std::size_t i = 0; i < Tasks; ++i) {
            repeated += m_harness.workers.starts(task("many", 0, i)) > 1 ? 1 : 0;
        }
        EXPECT_EQ(repeated, 0U) << "tasks ran again after they had ended";
    }

    static constexpr std::size_t Tasks = 1200;
};

// Guards against tasks that run again because their ends do not fit into the worker's answer: more than 500 ends wait
// while the store is down.
TEST_F(ManyEnds, endsBeyondOneAnswerWaitForTheStore)
{
    m_harness.store.isUnreachable = true;
    m_harness.runFor(milliseconds(4500));
    m_harness.store.isUnreachable = false;
    m_harness.runFor(seconds(10));
    expectEachTaskRanOnce();
}

// The same while there is no owner; the next one does not know the runs from orders of its own.
TEST_F(ManyEnds, endsBeyondOneAnswerWaitForTheNextOwner)
{
    m_harness.endOwner(false);
    m_harness.runFor(milliseconds(3500));
    m_harness.startOwner();
    m_harness.runFor(seconds(10));
    expectEachTaskRanOnce();
}

// The same for runs whose stop the worker has confirmed: an end beyond the answer may say that the task is done.
TEST_F(ManyEnds, endsBeyondOneAnswerOutlastADrain)
{
    m_harness.store.isUnreachable = true;
    m_harness.runFor(milliseconds(2500));
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.report.draining = true;
        machine.report.minimumTimeToLeave = milliseconds(500);
        m_harness.report(id);
    }
    m_harness.runFor(milliseconds(2000));
    m_harness.store.isUnreachable = false;
    m_harness.runFor(seconds(10));
    expectEachTaskRanOnce();
}

// Guards against an owner that continues after a worker has seen the epoch of a later owner.
TEST_F(Engine, ownerNoticesThatItIsSuperseded)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(10)});
    m_harness.runFor(seconds(1));
    for (auto &[id, machine] : m_harness.workers.machines()) {
        machine.epoch = 9;
    }
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(m_harness.engine->superseded());
}

/** Tests with random sequences of faults and events; the parameter is the seed. */
class EngineHistory : public ::testing::TestWithParam<int>
{
};

class RandomHistory
{
public:
    /** With @p workersLeave, workers also leave after a notice and fail what they start. */
    RandomHistory(std::uint32_t seed, bool workersLeave)
        : m_harness(seed)
        , m_random(seed)
        , m_workersLeave(workersLeave)
    {
        m_harness.addWorkers(8);
        m_harness.startOwner();
        m_harness.workers.faults = {0.01, 0.02, 0.03};
    }

    void run()
    {
        for (int i = 0; i < 120; ++i) {
            injectEvents();
            m_harness.runFor(milliseconds(250));
            expectRunsOfAssignedTasks();
        }
        recoverAndCheck();
    }

private:
    int draw(int most)
    {
        return std::uniform_int_distribution<int>(0, most)(m_random);
    }

    WorkerId randomWorker()
    {
        return WorkerId("w" + std::to_string(draw(7)));
    }

    void injectEvents()
    {
        if (draw(1) == 0) {
            submitOne();
        }
        if (draw(15) == 0 && !m_harness.specs.empty()) {
            m_harness.cancel(
                std::next(m_harness.specs.begin(), draw(static_cast<int>(m_harness.specs.size()) - 1))->first);
        }
        if (draw(30) == 0) {
            const WorkerId id = randomWorker();
            m_harness.workers.restart(id);
            m_harness.report(id);
        }
        if (draw(20) == 0) {
            cutWorker(randomWorker());
        }
        if (draw(24) == 0 && m_harness.engine) {
            m_harness.endOwner(draw(1) == 0);
            m_harness.timeline.after(milliseconds(draw(3000)), [this] { m_harness.startOwner(); });
        }
        m_harness.workers.machines().at(randomWorker()).isStalled = draw(4) == 0;
        m_harness.store.isUnreachable = draw(20) == 0;
        if (m_workersLeave) {
            m_harness.workers.machines().at(randomWorker()).failsRuns = draw(5) == 0;
            if (draw(12) == 0) {
                announceLeaving(randomWorker());
            }
        }
    }

    /** Announces that a worker leaves; a new process takes its place at a time near the announced one. */
    void announceLeaving(const WorkerId &id)
    {
        FakeWorkers::Machine &machine = m_harness.workers.machines().at(id);
        const int noticeMs = draw(4000);
        machine.report.draining = true;
        machine.report.minimumTimeToLeave = milliseconds(noticeMs);
        m_harness.report(id);
        m_harness.timeline.after(milliseconds(noticeMs + draw(2000)), [this, id] {
            WorkerReport &report = m_harness.workers.machines().at(id).report;
            report.draining = false;
            report.minimumTimeToLeave.reset();
            m_harness.workers.restart(id);
            m_harness.report(id);
        });
    }

    /** Cuts a worker off. Its report lapses after 3 s, unless the cut has ended. */
    void cutWorker(const WorkerId &id)
    {
        m_harness.workers.machines().at(id).isCutOff = true;
        m_harness.timeline.after(seconds(3), [this, id] {
            if (m_harness.workers.machines().at(id).isCutOff && m_harness.engine) {
                m_harness.engine->handleWorkerUnlisted(id);
            }
        });
        m_harness.timeline.after(milliseconds(draw(14000)), [this, id] {
            m_harness.workers.machines().at(id).isCutOff = false;
            m_harness.report(id);
        });
    }

    /** An assigned task ends only with its run, so the owner must know the run. */
    void expectRunsOfAssignedTasks()
    {
        if (!m_harness.engine) {
            return;
        }
        std::set<RunKey> runs;
        for (const auto &[id, worker] : m_harness.engine->workers().all()) {
            for (const auto &[key, run] : worker.runs) {
                runs.insert(key);
            }
        }
        for (const auto &[id, spec] : m_harness.specs) {
            const Job *job = m_harness.engine->job(id);
            for (std::size_t s = 0; job != nullptr && s < spec.steps.size(); ++s) {
                for (std::size_t i = 0; i < spec.steps[s].tasks; ++i) {
                    const TaskKey key{id, 0, s, i};
                    const Task *task = job->task(key);
                    EXPECT_TRUE(job->phase(key) != TaskPhase::Assigned || runs.count({key, task->run}) > 0)
                        << toString(key) << " is assigned and has no run";
                }
            }
        }
    }

    void submitOne()
    {
        std::vector<StepSpec> steps;
        const int count = 1 + draw(1);
        for (int s = 0; s < count; ++s) {
            StepSpec step = stepOf(static_cast<std::size_t>(draw(5)) + 1, 1 + draw(12), draw(8));
            step.gang = draw(1) == 0;
            step.sameRack = draw(1) == 0;
            if (s > 0) {
                step.after = {0};
            }
            steps.push_back(step);
        }
        FakeWorkers::TaskBehaviour behaviour;
        behaviour.work = milliseconds(300 + draw(4000));
        behaviour.failures = draw(9) == 0 ? draw(4) : 0;
        m_harness.submit(m_harness.job("j" + std::to_string(m_harness.specs.size()), draw(2), steps), behaviour);
    }

    void recoverAndCheck()
    {
        m_harness.workers.faults = {};
        m_harness.store.isUnreachable = false;
        for (auto &[id, machine] : m_harness.workers.machines()) {
            machine.isCutOff = false;
            machine.isStalled = false;
            machine.failsRuns = false;
        }
        m_harness.runFor(seconds(150));
        for (const auto &[id, spec] : m_harness.specs) {
            const std::optional<JobState> state = m_harness.storedState(id);
            ASSERT_TRUE(state && isFinal(*state)) << "job " << id << " did not end";
            if (*state == JobState::Completed) {
                expectAllTasksDone(spec);
            }
        }
        EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
    }

    void expectAllTasksDone(const JobSpec &spec)
    {
        for (std::size_t s = 0; s < spec.steps.size(); ++s) {
            std::size_t done = 0;
            for (std::size_t i = 0; i < spec.steps[s].tasks; ++i) {
                done += m_harness.workers.isDone({spec.id, 0, s, i}) ? 1 : 0;
            }
            // The end of one member of a gang counts for all members.
            EXPECT_TRUE(done == spec.steps[s].tasks || (spec.steps[s].gang && done > 0))
                << "job " << spec.id << " is shown as completed although tasks are not done";
        }
    }

    EngineHarness m_harness;
    std::mt19937 m_random;
    bool m_workersLeave;
};

// Guards against duplicate runs, exceeded capacity, exceeded attempts and jobs that never end, under random changes of
// owner, restarts of workers, lost and late orders, store outages and cancels.
TEST_P(EngineHistory, keepsItsGuaranteesUnderRandomFaults)
{
    RandomHistory(static_cast<std::uint32_t>(GetParam()), false).run();
}

// The same while workers leave after a notice and others fail all that they start.
TEST_P(EngineHistory, keepsItsGuaranteesWhileWorkersLeaveAndFail)
{
    RandomHistory(static_cast<std::uint32_t>(GetParam()), true).run();
}

/** The first of 100 seeds; CORIANDER_FIRST_SEED selects others. */
int firstSeed()
{
    const char *text = std::getenv("CORIANDER_FIRST_SEED");
    return text == nullptr ? 1 : std::atoi(text);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EngineHistory, ::testing::Range(firstSeed(), firstSeed() + 100));

} // namespace
} // namespace coriander::workflow
