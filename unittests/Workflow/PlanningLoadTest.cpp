#include <ctime>

#include "Workflow/EngineHarness.h"
#include "Workflow/FakeAdvisor.h"

namespace coriander::workflow {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/** Processor time of this process, in seconds. */
double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Backlogs that are large, or that can never be done, beside ordinary jobs. */
class PlanningLoad : public ::testing::Test
{
protected:
    PlanningLoad()
    {
        m_harness.addWorkers(12);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** A job of independent steps, of which @p occurrences, one a second, are due. */
    JobSpec overdue(const std::string &id, std::size_t occurrences, const std::vector<StepSpec> &steps)
    {
        JobSpec spec = m_harness.job(id, 1, steps);
        spec.occurrences = occurrences;
        spec.firstDue = m_harness.timeline.clock().wallNow() - hours(1);
        spec.interval = seconds(1);
        return spec;
    }

    /** Keeps all accelerators of the workers busy. */
    void fillWorkers()
    {
        m_harness.submit(m_harness.job("filling", 1, {stepOf(12, 1, 8)}), {.work = minutes(5)});
        m_harness.runFor(seconds(1));
        ASSERT_EQ(m_harness.workers.runningTasks(), 12U);
    }

    void expectOrdinaryJobIsDone(const std::string &id)
    {
        m_harness.submit(m_harness.job(id, 1, {stepOf(2, 1, 0)}), {.work = seconds(1)});
        m_harness.runFor(seconds(4));
        EXPECT_EQ(m_harness.storedState(JobId(id)), JobState::Completed);
    }

    bool isStarted(const std::string &job) const
    {
        return m_harness.workers.starts({JobId(job), 0, 0, 0}) > 0;
    }

    EngineHarness m_harness;
};

// Guards against planning passes of seconds, in which the owner serves neither callers nor the store and loses its
// term: jobs that can never be done, due 1,000 times. A pass took more than 2 s; all passes of 5 s together now take a
// small part of the bound.
TEST_F(PlanningLoad, hopelessOccurrencesTakeNoTime)
{
    for (int i = 0; i < 2; ++i) {
        m_harness.submit(overdue("hopeless" + std::to_string(i), 1000, std::vector<StepSpec>(8, stepOf(40, 64, 0))),
                         {});
    }
    const double before = processorSeconds();
    expectOrdinaryJobIsDone("ordinary");
    EXPECT_LT(processorSeconds(), before + 10);
}

// The same for gangs that are too large as a whole, for a label that no worker has, and for steps behind one that is
// done.
TEST_F(PlanningLoad, otherHopelessOccurrencesTakeNoTime)
{
    StepSpec gang = stepOf(40, 30, 0);
    gang.gang = true;
    StepSpec labelled = stepOf(40, 1, 0);
    labelled.requiredLabel = "none";
    StepSpec first = stepOf(1, 1, 0);
    StepSpec behind = stepOf(40, 64, 0);
    behind.after = {2};
    for (int i = 0; i < 2; ++i) {
        m_harness.submit(overdue("hopeless" + std::to_string(i), 1000, {gang, labelled, first, behind}),
                         {.work = seconds(1)});
    }
    m_harness.runFor(seconds(20));
    const double before = processorSeconds();
    expectOrdinaryJobIsDone("ordinary");
    EXPECT_LT(processorSeconds(), before + 10);
}

// Guards against occurrences that could run, find no room and are each compared with all workers in each pass.
TEST_F(PlanningLoad, waitingOccurrencesTakeNoTime)
{
    fillWorkers();
    for (int i = 0; i < 2; ++i) {
        m_harness.submit(overdue("waiting" + std::to_string(i), 1000, std::vector<StepSpec>(8, stepOf(40, 1, 1))), {});
    }
    const double before = processorSeconds();
    expectOrdinaryJobIsDone("ordinary");
    EXPECT_LT(processorSeconds(), before + 10);
}

// Guards against hopeless work that is left out for ever: a worker that is large enough is added.
TEST_F(PlanningLoad, hopelessWorkRunsOnceAWorkerCanHoldIt)
{
    m_harness.submit(m_harness.job("large", 1, {stepOf(2, 64, 0)}), {.work = seconds(1)});
    m_harness.runFor(seconds(3));
    EXPECT_FALSE(isStarted("large"));
    m_harness.workers.add("w12", "r4", resources(64, 8, 65536));
    m_harness.report(WorkerId("w12"));
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("large")), JobState::Completed);
}

// Guards against a pass that is done as a whole however long it takes, and against one that begins with the same steps
// each time, so that the last ones are never reached.
TEST_F(PlanningLoad, longPassIsContinuedWhereItStopped)
{
    fillWorkers();
    m_harness.times.planningWork = 20 * (decision::PlanningBudget::WorkPerStep + 12); // 20 steps and 12 workers
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(1));
    for (int i = 0; i < 200; ++i) {
        StepSpec step = stepOf(1, 1, 1);
        step.perTask.memory = MemoryMib(100 + i); // Steps of one size are compared once.
        m_harness.submit(m_harness.job("a" + std::to_string(1000 + i), 1, {step}), {});
    }
    m_harness.runFor(seconds(1));
    m_harness.submit(m_harness.job("last", 2, {stepOf(1, 1, 0)}), {.work = seconds(1)});
    m_harness.submit(m_harness.job("urgent", 0, {stepOf(1, 1, 0)}), {.work = seconds(1)});
    m_harness.runFor(milliseconds(100));
    EXPECT_TRUE(isStarted("urgent")) << "urgent work is not tried at the beginning of each part";
    m_harness.runFor(seconds(1));
    EXPECT_TRUE(isStarted("last"));
    EXPECT_GT(m_harness.engine->counts().planningContinued, 10U);
}

// Guards against a divided pass that takes the event loop for itself, because each of many events continues it at once.
TEST_F(PlanningLoad, eventsDoNotContinueADividedPassBeforeItsPause)
{
    fillWorkers();
    m_harness.times.planningWork = 20 * (decision::PlanningBudget::WorkPerStep + 12);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(1));
    for (int i = 0; i < 200; ++i) {
        StepSpec step = stepOf(1, 1, 1);
        step.perTask.memory = MemoryMib(100 + i);
        m_harness.submit(m_harness.job("a" + std::to_string(1000 + i), 1, {step}), {});
    }
    m_harness.engine->step();
    const std::size_t before = m_harness.engine->counts().planningContinued;
    ASSERT_GT(before, 0U);
    for (int i = 0; i < 50; ++i) {
        m_harness.engine->addJob(m_harness.job("event" + std::to_string(i), 1, {stepOf(1, 1, 1)}));
        m_harness.engine->step();
    }
    EXPECT_EQ(m_harness.engine->counts().planningContinued, before);
    m_harness.runFor(milliseconds(60));
    EXPECT_GT(m_harness.engine->counts().planningContinued, before);
}

// Guards against a part of a pass that takes long because its few steps have thousands of waiting tasks each.
TEST_F(PlanningLoad, waitingTasksCountInTheBudget)
{
    fillWorkers();
    m_harness.times.planningWork = 20 * (decision::PlanningBudget::WorkPerStep + 12);
    m_harness.endOwner(false);
    m_harness.startOwner();
    m_harness.runFor(seconds(1));
    for (int i = 0; i < 15; ++i) {
        StepSpec step = stepOf(2000, 1, 1);
        step.perTask.memory = MemoryMib(100 + i);
        m_harness.submit(m_harness.job("a" + std::to_string(1000 + i), 1, {step}), {});
    }
    m_harness.engine->step();
    EXPECT_GT(m_harness.engine->counts().planningContinued, 0U);
}

// Guards against a job of which nothing runs and that is left out because a job with many runs found no room before it:
// the limit of runs on a worker is lower for the latter.
TEST_F(PlanningLoad, jobOfWhichNothingRunsIsComparedByItsOwnLimit)
{
    StepSpec tiny = stepOf(1000, 0, 0);
    tiny.perTask = {};
    tiny.requiredLabel = "r0";
    for (int i = 0; i < 3; ++i) {
        m_harness.submit(m_harness.job("full" + std::to_string(i), 1, {tiny}), {.work = seconds(60)});
    }
    m_harness.runFor(seconds(2));
    ASSERT_EQ(m_harness.workers.runningTasks(), 3000U) << "half of the runs that three workers may have";
    // More tasks of a job that has runs come first in each pass, and find no room.
    std::vector<StepSpec> more{tiny, tiny};
    more[1].tasks = 2;
    more[0].tasks = 1;
    more[0].requiredLabel = "r1";
    m_harness.submit(m_harness.job("a-more", 0, more), {.work = seconds(60)});
    StepSpec one = tiny;
    one.tasks = 1;
    m_harness.submit(m_harness.job("b-one", 1, {one}), {.work = seconds(1)});
    m_harness.runFor(seconds(2));
    EXPECT_TRUE(isStarted("b-one"));
}

// Guards against tasks that are all assigned and started in one go, because thousands of them become due together.
TEST_F(PlanningLoad, manyStartsAreSpreadOverSeveralPasses)
{
    StepSpec small = stepOf(1500, 0, 0);
    small.perTask = {MilliCores(5), MemoryMib(1), Accelerators(0)};
    for (int i = 0; i < 8; ++i) {
        m_harness.submit(m_harness.job("many" + std::to_string(i), 1, {small}), {.work = seconds(30)});
    }
    m_harness.engine->step();
    std::size_t runs = 0;
    for (const auto &[id, worker] : m_harness.engine->workers().all()) {
        runs += worker.runs.size();
    }
    EXPECT_EQ(runs, 3000U) << "the budget is spent with the second job";
    EXPECT_EQ(m_harness.engine->takeBatch(ChangeLimits()).starts.size(), 1500U);
}

// Guards against an owner that runs out of memory because tasks that need next to nothing are all assigned, and against
// such tasks that keep all other jobs from starting.
TEST_F(PlanningLoad, tinyTasksAreLimitedAndLeaveRoomToOtherJobs)
{
    StepSpec tiny = stepOf(2000, 0, 0);
    tiny.perTask = {};
    for (int i = 0; i < 20; ++i) {
        m_harness.submit(m_harness.job("tiny" + std::to_string(i), 1, {tiny}), {.work = minutes(5)});
    }
    m_harness.runFor(seconds(5));
    EXPECT_LE(m_harness.engine->workers().runCount(), 10000U + 20U * 16U);
    EXPECT_GE(m_harness.engine->workers().runCount(), 10000U);
    for (const auto &[id, worker] : m_harness.engine->workers().all()) {
        EXPECT_LE(worker.runs.size(), 2000U);
    }
    expectOrdinaryJobIsDone("ordinary");
}

// Guards against one job whose rows fill each change of the store, so that those of other jobs are not stored.
TEST_F(PlanningLoad, rowsOfOneJobDoNotKeepOutThoseOfOthers)
{
    StepSpec tiny = stepOf(1, 0, 0);
    tiny.perTask = {MilliCores(1), MemoryMib(1), Accelerators(0)};
    JobSpec schedule = overdue("a-schedule", 1000, {tiny});
    m_harness.submit(schedule, {.work = seconds(30)});
    m_harness.submit(m_harness.job("b-ordinary", 1, {stepOf(1, 1, 0)}), {.work = seconds(1)});
    m_harness.engine->step();
    ChangeLimits limits;
    EXPECT_EQ(m_harness.engine->takeBatch(limits).written.front().key, progressKey(JobId("a-schedule"), 0));
    const EngineBatch second = m_harness.engine->takeBatch(limits);
    EXPECT_EQ(second.written.front().key, progressKey(JobId("b-ordinary"), 0));
}

// Guards against starts and ends that wait until the rows of thousands of jobs have the new policy of their queue.
TEST_F(PlanningLoad, rowsWithANewPolicyLetOtherRowsPass)
{
    StepSpec hopeless = stepOf(1, 64, 0);
    for (int i = 0; i < 2000; ++i) {
        m_harness.submit(m_harness.job("a" + std::to_string(10000 + i), 2, {hopeless}), {});
    }
    m_harness.runFor(seconds(1));
    auto changed = std::make_shared<Catalogue>(*m_harness.catalogue);
    changed->queues.at(2).stretch = 4;
    changed->index();
    m_harness.engine->setCatalogue(changed);
    m_harness.submit(m_harness.job("z", 1, {stepOf(1, 1, 0)}), {.work = milliseconds(50)});
    m_harness.runFor(milliseconds(200));
    EXPECT_EQ(m_harness.storedState(JobId("z")), JobState::Completed);
    std::size_t outdated = 0;
    const auto countOutdated = [this, &outdated, &changed] {
        outdated = 0;
        for (const auto &[name, row] : m_harness.store.rows) {
            ProtocolError error;
            if (name.first == JobsTable) {
                outdated += decodeJob(row.value, error)->policy == QueuePolicy(changed->queues.at(2)) ? 0 : 1;
            }
        }
    };
    countOutdated();
    EXPECT_GT(outdated, 0U) << "the job was not ahead of the policies";
    m_harness.runFor(seconds(2));
    countOutdated();
    EXPECT_EQ(outdated, 0U);
}

// Guards against advice that is kept for all steps of a job as long as the job lasts.
TEST(AdviceLoad, adviceIsKeptForALimitedNumberOfSteps)
{
    EngineHarness harness;
    harness.addWorkers(6);
    FakeAdvisor advisor(harness.timeline);
    for (const auto &[id, machine] : harness.workers.machines()) {
        advisor.approvedWorkers.insert(id);
    }
    AdviceCache cache(harness.timeline.clock(), [] {});
    cache.setAdvisor(&advisor);
    WorkerTable workers;
    Worker &worker = workers.all()[WorkerId("w0")];
    worker.report = harness.workers.machines().at(WorkerId("w0")).report;
    worker.listed = worker.known = true;
    worker.clock = ClockSample{};
    PlacementNeed need;
    need.service = worker.report.service;
    std::size_t kept = 0;
    for (std::size_t k = 0; k < 500; ++k) {
        const PlacementBoard board(workers, harness.timeline.now());
        cache.beginPart();
        cache.propose({{JobId("j"), k, 0}, {}, need, {}, false}, board);
        EXPECT_TRUE(cache.askFirst(board));
        harness.runFor(seconds(1));
    }
    for (std::size_t k = 0; k < 500; ++k) {
        kept += cache.knows({JobId("j"), k, 0}) ? 1 : 0;
    }
    EXPECT_EQ(kept, AdviceCache::MaximumSteps);
    EXPECT_TRUE(cache.knows({JobId("j"), 499, 0}));
    cache.forget(StepKey{JobId("j"), 499, 0});
    EXPECT_FALSE(cache.knows({JobId("j"), 499, 0}));
}

} // namespace
} // namespace coriander::workflow
