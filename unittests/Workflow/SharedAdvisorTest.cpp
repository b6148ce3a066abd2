#include <fmt/format.h>

#include "Workflow/EngineHarness.h"
#include "Workflow/FakeAdvisor.h"

namespace coriander::workflow {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** A pool of 24 workers whose queues all need advice, with the answer times of the deployments: 0.2 s, and 20 ms for
 * each worker in a question. */
class SharedAdvisor : public ::testing::Test
{
protected:
    SharedAdvisor()
        : m_advisor(m_harness.timeline)
    {
        m_harness.addWorkers(24);
        m_advisor.approves = [](const StepKey &, const WorkerId &) {
            return true;
        };
        m_advisor.decisionTime = milliseconds(200);
        m_advisor.timePerWorker = milliseconds(20);
        auto catalogue = std::make_shared<Catalogue>(*m_harness.catalogue);
        for (QueueSpec &queue : catalogue->queues) {
            queue.needsAdvice = true;
        }
        m_harness.catalogue = catalogue;
        m_harness.workers.ticketIsValid = [this](const WorkerId &worker, const StartOrder &order) {
            return m_advisor.accepts(worker, order);
        };
        startOwner();
        m_harness.runFor(seconds(1));
    }

    void startOwner()
    {
        m_advisor.changeCaller();
        m_harness.startOwner();
        m_harness.engine->setAdvisor(&m_advisor);
    }

    /** Runs a task on each worker that takes one accelerator and does not end; the queues that follow need no whole
     * worker for it. */
    void useOneAcceleratorOfEachWorker()
    {
        StepSpec step = stepOf(24, 1, 1);
        step.longRunning = true;
        step.maximumPerWorker = 1;
        m_harness.submit(m_harness.job("lasting", 2, {step}), {.lasts = true});
        for (int i = 0; i < 20 && m_harness.workers.runningTasks() < 24; ++i) {
            m_harness.runFor(seconds(1));
        }
        ASSERT_EQ(m_harness.workers.runningTasks(), 24U);
    }

    /** Submits jobs that need whole workers. */
    void submitLargeJobs(int count, int priority, std::size_t tasks = 1, bool gang = false)
    {
        for (int i = 0; i < count; ++i) {
            StepSpec step = stepOf(tasks, 8, 8);
            step.estimate = seconds(20);
            step.gang = gang;
            m_harness.submit(m_harness.job(fmt::format("large{}", i), priority, {step}), {.work = seconds(20)});
        }
    }

    void submitSmallJob(const std::string &id, int priority)
    {
        StepSpec step = stepOf(1, 2, 1);
        step.estimate = seconds(20);
        m_harness.submit(m_harness.job(id, priority, {step}), {.work = seconds(20)});
    }

    std::size_t starts(const std::string &job) const
    {
        return m_harness.workers.starts({JobId(job), 0, 0, 0});
    }

    /** The time of the rule LOST, in which a job must have begun that has room twice over. */
    static constexpr Duration StartLimit = seconds(3);

    EngineHarness m_harness;
    FakeAdvisor m_advisor;
};

// Guards against review/12: jobs that wait for whole workers ask for new approvals on workers without room all the
// time, and the advisor is never asked about the small job behind them.
TEST_F(SharedAdvisor, smallJobStartsBehindLargeOnesThatWaitForRoom)
{
    useOneAcceleratorOfEachWorker();
    submitLargeJobs(6, 1);
    submitSmallJob("small", 1);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// The same with a hundred large jobs, that wait for a while already, and with a small job of a queue of lower priority.
TEST_F(SharedAdvisor, smallJobOfAnotherQueueStartsBehindAHundredLargeOnes)
{
    useOneAcceleratorOfEachWorker();
    submitLargeJobs(100, 1);
    m_harness.runFor(seconds(10));
    submitSmallJob("small", 2);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// The same with gangs of which some members would find room.
TEST_F(SharedAdvisor, smallJobStartsBehindGangsThatFindRoomForSomeMembers)
{
    useOneAcceleratorOfEachWorker();
    m_harness.workers.add("idle0", "r8", WorkerSize);
    m_harness.workers.add("idle1", "r8", WorkerSize);
    m_harness.report(WorkerId("idle0"));
    m_harness.report(WorkerId("idle1"));
    m_harness.runFor(seconds(1));
    submitLargeJobs(10, 1, 4, true);
    m_harness.runFor(seconds(5));
    submitSmallJob("small", 1);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// The same with urgent jobs, whose advice decides which runs they may preempt.
TEST_F(SharedAdvisor, smallJobStartsBehindUrgentOnesThatMayPreempt)
{
    useOneAcceleratorOfEachWorker();
    submitLargeJobs(12, 0, 16, true);
    m_harness.runFor(seconds(5));
    submitSmallJob("small", 2);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// The same for a new owner, which has to ask about all jobs again.
TEST_F(SharedAdvisor, smallJobStartsUnderANewOwner)
{
    useOneAcceleratorOfEachWorker();
    submitLargeJobs(20, 1);
    m_harness.runFor(seconds(3));
    m_harness.endOwner(false);
    submitSmallJob("small", 1);
    startOwner();
    // The new owner takes up to 0.5 s to learn of the workers.
    m_harness.runFor(StartLimit + milliseconds(500));
    EXPECT_EQ(starts("small"), 1U);
}

// The same if the answers about the large jobs are lost: the small one waits for one of them at most.
TEST_F(SharedAdvisor, lostAnswersAboutLargeJobsDoNotStopASmallOne)
{
    useOneAcceleratorOfEachWorker();
    m_advisor.losesAnswer = [](const StepKey &step) {
        return step.job.value().find("large") == 0;
    };
    submitLargeJobs(20, 1);
    m_harness.runFor(seconds(6));
    submitSmallJob("small", 1);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// Guards against an advisor that has become so slow that its answers miss the time limit or arrive with expired
// tickets, and that no job can start then.
TEST_F(SharedAdvisor, jobsStartWhileTheAdvisorIsSlow)
{
    for (const auto &[decision, perWorker] : {std::pair(2000, 20), std::pair(200, 150)}) {
        m_advisor.decisionTime = milliseconds(decision);
        m_advisor.timePerWorker = milliseconds(perWorker);
        const std::string id = fmt::format("small-{}-{}", decision, perWorker);
        submitSmallJob(id, 1);
        m_harness.runFor(seconds(15));
        EXPECT_EQ(starts(id), 1U) << id;
    }
}

// Guards against a job of very many tasks that needs the advisor all the time, so that the job behind it is not asked
// about until the other has no tasks left to start.
TEST_F(SharedAdvisor, jobOfManyTasksLeavesTimeOfTheAdvisorToOthers)
{
    for (int i = 24; i < 90; ++i) {
        const std::string id = "w" + std::to_string(i);
        m_harness.workers.add(id, "r" + std::to_string(i / 3), WorkerSize);
        m_harness.report(WorkerId(id));
    }
    m_harness.runFor(seconds(1));
    m_harness.submit(m_harness.job("many", 1, {stepOf(2000, 4, 0)}), {.work = seconds(4)});
    m_harness.runFor(seconds(2));
    submitSmallJob("small", 1);
    m_harness.runFor(StartLimit);
    EXPECT_EQ(starts("small"), 1U);
}

// Guards against a large job that never starts because its advice on workers without room is not renewed: it starts
// when a worker becomes free, although small jobs go on asking.
TEST_F(SharedAdvisor, largeJobStartsWhenAWorkerBecomesFree)
{
    useOneAcceleratorOfEachWorker();
    submitLargeJobs(3, 1);
    for (int i = 0; i < 30; ++i) {
        submitSmallJob(fmt::format("small{}", i), 1);
    }
    m_harness.runFor(seconds(10));
    EXPECT_EQ(starts("large0") + starts("large1") + starts("large2"), 0U);
    m_harness.cancel(JobId("lasting"));
    m_harness.runFor(seconds(30));
    EXPECT_EQ(starts("large0") + starts("large1") + starts("large2"), 3U);
}

// Guards against a gang whose approvals come from several questions between those of other jobs, so that the first ones
// have expired when the last one arrives.
TEST_F(SharedAdvisor, gangOfAllWorkersStartsBesideManySmallJobs)
{
    for (int i = 0; i < 60; ++i) {
        submitSmallJob(fmt::format("small{}", i), 2);
    }
    StepSpec step = stepOf(24, 1, 1);
    step.gang = true;
    step.maximumPerWorker = 1;
    m_harness.submit(m_harness.job("gang", 1, {step}), {.work = seconds(5)});
    m_harness.runFor(seconds(20));
    EXPECT_EQ(starts("gang"), 1U);
}

} // namespace
} // namespace coriander::workflow
