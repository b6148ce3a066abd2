#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Three workers in each of the data centres near and far; each data centre is one rack. */
class EvacuatedDataCentres : public ::testing::Test
{
protected:
    EvacuatedDataCentres()
    {
        m_harness.addWorkers(6);
        for (int i = 0; i < 6; ++i) {
            moveTo(i < 3 ? m_near : m_far, "w" + std::to_string(i));
        }
        m_harness.workers.onStart = [this](const TaskKey &key, std::int64_t run) {
            ++m_starts[dataCentreOf({key, run})];
        };
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    void moveTo(const DataCentreId &dataCentre, const std::string &worker)
    {
        m_harness.workers.machines().at(WorkerId(worker)).report.dataCentre = dataCentre;
    }

    DataCentreId dataCentreOf(const RunKey &key)
    {
        for (const auto &[id, machine] : m_harness.workers.machines()) {
            if (machine.runs.count(key) > 0) {
                return machine.report.dataCentre;
            }
        }
        return {};
    }

    void evacuate(const std::set<DataCentreId> &dataCentres)
    {
        m_harness.engine->setEvacuatedDataCentres(dataCentres);
    }

    /** Submits a job of one step whose tasks each take a whole worker. */
    void submit(const std::string &id, std::size_t tasks, Duration work, int priority = 1, bool gang = false)
    {
        StepSpec step = stepOf(tasks, 1, 8);
        step.gang = gang;
        m_harness.submit(m_harness.job(id, priority, {step}), {.work = work});
    }

    /** Submits a job and takes the batch that assigns its tasks, which is not stored yet. */
    EngineBatch submitAndAssign(const std::string &id, std::size_t tasks, bool gang)
    {
        submit(id, tasks, seconds(1), 1, gang);
        m_harness.engine->step();
        EngineBatch batch = m_harness.engine->takeBatch(ChangeLimits());
        EXPECT_EQ(batch.starts.size(), tasks);
        return batch;
    }

    bool isCompleted(const std::string &id) const
    {
        return m_harness.storedState(JobId(id)) == JobState::Completed;
    }

    const DataCentreId m_near{"near"};
    const DataCentreId m_far{"far"};
    EngineHarness m_harness;
    std::map<DataCentreId, int> m_starts;
};

// Guards against tasks that are started in an evacuated data centre, against running tasks that are stopped there, and
// against a data centre that stays unused after its evacuation.
TEST_F(EvacuatedDataCentres, getNoNewWorkAndKeepWhatRuns)
{
    submit("before", 6, seconds(4));
    m_harness.runFor(seconds(1));
    ASSERT_EQ(m_starts[m_far], 3);
    evacuate({m_far});
    EXPECT_EQ(m_harness.engine->runsIn(m_far), 3U);
    submit("during", 6, seconds(1));
    m_harness.runFor(seconds(8));
    EXPECT_TRUE(isCompleted("before") && isCompleted("during"));
    EXPECT_EQ(m_harness.workers.stopped, 0U);
    EXPECT_EQ(m_starts[m_far], 3);
    EXPECT_EQ(m_starts[m_near], 9);
    EXPECT_EQ(m_harness.engine->runsIn(m_far), 0U);
    evacuate({});
    submit("after", 6, seconds(1));
    m_harness.runFor(milliseconds(500));
    EXPECT_EQ(m_starts[m_far], 6);
}

// Guards against a task that lasts and is stopped by the evacuation of its data centre, where it may continue.
TEST_F(EvacuatedDataCentres, keepTasksThatLast)
{
    StepSpec step = stepOf(6, 1, 8);
    step.longRunning = true;
    m_harness.submit(m_harness.job("service", 1, {step}), {.work = seconds(1000), .lasts = true});
    m_harness.runFor(seconds(1));
    evacuate({m_far});
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.workers.stopped, 0U);
    EXPECT_EQ(m_harness.workers.runningTasks(), 6U);
}

// Guards against an evacuation that ends or replaces another one, as when only the latest is kept.
TEST_F(EvacuatedDataCentres, canBeSeveralAtOnce)
{
    const DataCentreId third("third");
    moveTo(third, "w5");
    m_harness.report(WorkerId("w5"));
    m_harness.runFor(seconds(1));
    evacuate({m_far, third});
    submit("one", 6, seconds(1));
    m_harness.runFor(seconds(4));
    EXPECT_TRUE(isCompleted("one"));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 6}}));
    evacuate({m_far});
    submit("two", 6, seconds(1));
    m_harness.runFor(seconds(4));
    EXPECT_TRUE(isCompleted("two"));
    EXPECT_GT(m_starts[third], 0);
    EXPECT_EQ(m_starts[m_near] + m_starts[third], 12);
}

// Guards against an owner that loses work or stops while no data centre may be used.
TEST_F(EvacuatedDataCentres, canBeAll)
{
    evacuate({m_near, m_far});
    submit("job", 6, seconds(1));
    m_harness.runFor(seconds(10));
    EXPECT_TRUE(m_starts.empty());
    evacuate({m_near});
    m_harness.runFor(seconds(5));
    EXPECT_TRUE(isCompleted("job"));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_far, 6}}));
}

// Guards against the start of a task that was assigned before the evacuation and stored after it began. The write of a
// slow store takes seconds.
TEST_F(EvacuatedDataCentres, getNoStartThatWasAssignedBefore)
{
    const EngineBatch batch = submitAndAssign("job", 6, false);
    evacuate({m_far});
    m_harness.engine->batchStored(batch);
    m_harness.runFor(seconds(6));
    EXPECT_TRUE(isCompleted("job"));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 6}}));
}

// Guards against an assigned start that is sent because the data centre was evacuated only for a moment: the start was
// abandoned, and the task has another run.
TEST_F(EvacuatedDataCentres, doNotStartAnAbandonedRunWhenTheyAreUsedAgain)
{
    const EngineBatch batch = submitAndAssign("job", 6, false);
    evacuate({m_far});
    evacuate({});
    evacuate({m_far});
    m_harness.engine->batchStored(batch);
    m_harness.runFor(milliseconds(500));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 3}}));
    evacuate({});
    m_harness.runFor(seconds(6));
    EXPECT_TRUE(isCompleted("job"));
    for (std::size_t i = 0; i < 6; ++i) {
        EXPECT_EQ(m_harness.workers.starts({JobId("job"), 0, 0, i}), 1U) << i;
    }
}

// Guards against the other members of a gang that start and wait for a member whose start was abandoned.
TEST_F(EvacuatedDataCentres, stopGangsWithAnUnsentMemberAsAWhole)
{
    const EngineBatch batch = submitAndAssign("gang", 6, true);
    evacuate({m_far});
    m_harness.engine->batchStored(batch);
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(m_starts.empty());
    EXPECT_EQ(m_harness.workers.runningTasks(), 0U);
    evacuate({});
    m_harness.runFor(seconds(4));
    EXPECT_TRUE(isCompleted("gang"));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 3}, {m_far, 3}}));
}

// Guards against a job that waits for room that was freed for it in a data centre that is evacuated since.
TEST_F(EvacuatedDataCentres, loseTheClaimsOnTheirRoom)
{
    // The gang is the costlier victim, so room is freed in the data centre without it.
    evacuate({m_far});
    submit("gang", 3, seconds(60), 2, true);
    m_harness.runFor(milliseconds(500));
    evacuate({});
    submit("singles", 3, seconds(60), 2);
    m_harness.runFor(milliseconds(500));
    ASSERT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 3}, {m_far, 3}}));
    submit("urgent", 1, seconds(1), 0);
    m_harness.engine->step();
    ASSERT_EQ(m_harness.engine->counts().preempted, 1U);
    evacuate({m_far});
    m_harness.runFor(milliseconds(1000));
    EXPECT_EQ(m_harness.workers.starts({JobId("urgent"), 0, 0, 0}), 1U);
    EXPECT_EQ(m_starts[m_far], 3);
}

// Guards against a gang that waits for a rack, or a step that waits for the rack of its data, in an evacuated data
// centre although another rack has room.
TEST_F(EvacuatedDataCentres, doNotKeepWorkWaitingForTheirRacks)
{
    moveTo(DataCentreId("third"), "w1");
    moveTo(DataCentreId("third"), "w2");
    m_harness.workers.machines().at(WorkerId("w1")).report.rack = RackId("r2");
    m_harness.workers.machines().at(WorkerId("w2")).report.rack = RackId("r2");
    for (const char *id : {"w1", "w2"}) {
        m_harness.report(WorkerId(id));
    }
    m_harness.runFor(seconds(1));
    StepSpec gang = stepOf(3, 1, 8);
    gang.gang = true;
    gang.sameRack = true;
    StepSpec data = stepOf(1, 1, 0);
    data.dataRack = RackId("r1");
    evacuate({m_far});
    m_harness.submit(m_harness.job("gang", 1, {gang}), {});
    m_harness.submit(m_harness.job("data", 1, {data}), {});
    m_harness.runFor(milliseconds(300));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 2}, {DataCentreId("third"), 2}}));
}

// Guards against an owner that places work before it knows which data centres are evacuated.
TEST_F(EvacuatedDataCentres, areReadBeforeANewOwnerPlacesWork)
{
    m_harness.endOwner(false);
    m_harness.evacuationsAnswer = false;
    m_harness.startOwner();
    submit("job", 6, seconds(1));
    m_harness.runFor(seconds(2));
    EXPECT_TRUE(m_starts.empty());
    evacuate({m_far});
    m_harness.evacuationsAnswer = true;
    m_harness.runFor(seconds(5));
    EXPECT_TRUE(isCompleted("job"));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 6}}));
}

// Guards against starts by an owner that cannot read the evacuations any more, while other instances can.
TEST_F(EvacuatedDataCentres, areReadAgainAndAgainWhileWorkIsPlaced)
{
    m_harness.evacuationsAnswer = false;
    m_harness.runFor(m_harness.times.maximumEvacuationsAge + milliseconds(10));
    submit("job", 6, seconds(1));
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(m_starts.empty());
    EXPECT_EQ(m_harness.engine->job(JobId("job"))->task({JobId("job"), 0, 0, 0}), nullptr) << "assigned and abandoned";
    m_harness.evacuationsAnswer = true;
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(isCompleted("job"));
}

// Guards against an assigned start that is sent after the write took so long that the evacuations are not known any
// more.
TEST_F(EvacuatedDataCentres, areKnownWhenAnAssignedStartIsSent)
{
    m_harness.evacuationsAnswer = false;
    const EngineBatch batch = submitAndAssign("gang", 6, true);
    m_harness.runFor(m_harness.times.maximumEvacuationsAge + milliseconds(100));
    m_harness.engine->batchStored(batch);
    m_harness.runFor(seconds(1));
    EXPECT_TRUE(m_starts.empty());
    m_harness.evacuationsAnswer = true;
    m_harness.runFor(seconds(3));
    EXPECT_TRUE(isCompleted("gang"));
}

// Guards against runs of an earlier owner that a new owner stops or forgets in an evacuated data centre.
TEST_F(EvacuatedDataCentres, keepTheRunsOfAnEarlierOwner)
{
    submit("before", 6, seconds(6));
    m_harness.runFor(seconds(1));
    m_harness.endOwner(false);
    m_harness.runFor(seconds(1));
    m_harness.startOwner();
    evacuate({m_far});
    EXPECT_EQ(m_harness.engine->evacuatedDataCentres(), std::set<DataCentreId>{m_far});
    submit("during", 3, seconds(1));
    m_harness.runFor(seconds(9));
    EXPECT_TRUE(isCompleted("before") && isCompleted("during"));
    EXPECT_EQ(m_harness.workers.stopped, 0U);
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 6}, {m_far, 3}}));
}

// Guards against a task that waits for the rack of its data, which is full, because the runs left in an evacuated data
// centre make the idle rest of the pool look busy.
TEST(EvacuatedCapacity, doesNotCountAsUse)
{
    EngineHarness harness;
    for (int i = 0; i < 16; ++i) {
        harness.workers.add("w" + std::to_string(10 + i), "r" + std::to_string(i / 4), WorkerSize).report.dataCentre
            = DataCentreId(i < 8 ? "near" : "far");
    }
    harness.startOwner();
    harness.runFor(seconds(1));
    for (const char *rack : {"r1", "r2", "r3"}) {
        StepSpec full = stepOf(4, 1, 8);
        full.dataRack = RackId(rack);
        full.longRunning = true;
        harness.submit(harness.job(std::string("fill-") + rack, 1, {full}), {.lasts = true});
        harness.runFor(milliseconds(500));
    }
    harness.engine->setEvacuatedDataCentres({DataCentreId("far")});
    StepSpec step = stepOf(1, 1, 1);
    step.dataRack = RackId("r1");
    harness.submit(harness.job("task", 1, {step}), {});
    harness.runFor(milliseconds(2900));
    EXPECT_EQ(harness.workers.starts({JobId("task"), 0, 0, 0}), 1U);
}

// Guards against other work that waits because workers are reserved for an urgent job, although the only worker that is
// large enough for it is in an evacuated data centre.
TEST(EvacuatedCapacity, isNotReservedFor)
{
    EngineHarness harness;
    for (int i = 0; i < 8; ++i) {
        harness.workers.add("w" + std::to_string(i), "r" + std::to_string(i / 2), resources(32, 4, 65536));
    }
    harness.workers.add("large", "r9", resources(32, 8, 65536)).report.dataCentre = DataCentreId("far");
    harness.startOwner();
    harness.runFor(seconds(1));
    harness.engine->setEvacuatedDataCentres({DataCentreId("far")});
    for (const char *rack : {"r1", "r2", "r3"}) {
        StepSpec full = stepOf(2, 1, 4);
        full.dataRack = RackId(rack);
        full.longRunning = true;
        harness.submit(harness.job(std::string("fill-") + rack, 1, {full}), {.lasts = true});
        harness.runFor(milliseconds(500));
    }
    harness.submit(harness.job("urgent", 0, {stepOf(8, 1, 8)}), {});
    harness.runFor(seconds(1));
    harness.submit(harness.job("other", 1, {stepOf(2, 1, 4)}), {.work = seconds(1)});
    harness.runFor(seconds(3));
    EXPECT_EQ(harness.storedState(JobId("other")), JobState::Completed);
}

} // namespace
} // namespace coriander::workflow
