#include <gtest/gtest.h>

#include "SchedulerSimulation.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

class SchedulerCoreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_simulation.addWorker("w1");
        m_simulation.addWorker("w2");
        m_simulation.takeOver("s1");
    }

    void TearDown() override
    {
        EXPECT_EQ(m_simulation.violations, std::vector<std::string>());
    }

    SchedulerSimulation m_simulation;
};

// Guards against a job that is placed but never finished, recorded or released.
TEST_F(SchedulerCoreTest, SingleJobRunsOnceAndIsRecorded)
{
    const JobId job = m_simulation.submit("a", 1, "run ms=2000 outcome=succeed", 2);
    m_simulation.advance(4s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.startCount(job), 1U);
    EXPECT_EQ(m_simulation.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(m_simulation.acceleratorMsInRows(), 4000);
    EXPECT_EQ(m_simulation.core->gangCount(), 0U);
    EXPECT_EQ(m_simulation.core->jobCount(), 0U);
}

// Guards against a gang of which only some members start.
TEST_F(SchedulerCoreTest, GangStartsTogetherAcrossWorkers)
{
    const JobId job = m_simulation.submit("g", 4, "run ms=60000", 4);
    m_simulation.advance(1s);
    EXPECT_EQ(m_simulation.running(job).size(), 4U);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Running);
    m_simulation.advance(70s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.startCount(job), 4U);
    EXPECT_EQ(m_simulation.acceleratorMsInRows(), 4 * 4 * 60000);
}

// Guards against a gang of which only some members run after a reserve or start order, or its answer, was lost.
TEST_F(SchedulerCoreTest, FaultOnReserveOrStartLeavesNoPartialGang)
{
    for (const OrderKind kind : {OrderKind::Reserve, OrderKind::Start}) {
        for (const LinkFault fault : {LinkFault::NotSent, LinkFault::RequestLost, LinkFault::AnswerLost}) {
            SchedulerSimulation simulation;
            simulation.addWorker("w1");
            simulation.addWorker("w2");
            simulation.takeOver("s1");
            int faultsLeft = 1;
            simulation.faultHook
                = [&faultsLeft, kind, fault](const std::string &target, const std::vector<WorkerOrder> &orders) {
                      const bool injected = target == "w2" && faultsLeft > 0
                          && std::any_of(orders.begin(), orders.end(), [kind](const auto &order) {
                                                return order.kind == kind;
                                            });
                      faultsLeft -= injected ? 1 : 0;
                      return injected ? fault : LinkFault::None;
                  };
            const JobId job = simulation.submit("g", 4, "run ms=5000", 4);
            simulation.advance(2s);
            EXPECT_EQ(faultsLeft, 0);
            simulation.advance(120s);
            EXPECT_EQ(simulation.row(job).state, JobState::Finished) << toText(kind) << ' ' << int(fault);
            EXPECT_EQ(simulation.row(job).attempt, 2);
            EXPECT_EQ(simulation.violations, std::vector<std::string>());
        }
    }
}

// Guards against a job row that stays queued while its gang starts, because the table's answer to the write was lost.
TEST_F(SchedulerCoreTest, LostTableAnswerIsResolvedByRetryingTheOperation)
{
    int count = 0;
    m_simulation.faultHook = [&count](const std::string &target, const auto &) {
        return target == "table" && ++count % 2 == 1 ? LinkFault::AnswerLost : LinkFault::None;
    };
    const JobId job = m_simulation.submit("a", 2, "run ms=3000", 4);
    m_simulation.advance(20s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.startCount(job), 2U);
    EXPECT_EQ(m_simulation.acceleratorMsInRows(), 2 * 4 * 3000);
    EXPECT_EQ(m_simulation.core->stepDownReason(), "");
}

// Guards against tasks that start before the row names the attempt.
TEST_F(SchedulerCoreTest, NothingStartsWhileTableIsUnavailable)
{
    bool tableUnavailable = true;
    m_simulation.faultHook = [&tableUnavailable](const std::string &target, const auto &) {
        return target == "table" && tableUnavailable ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = m_simulation.submit("a", 1, "run ms=1000");
    m_simulation.advance(5s);
    EXPECT_EQ(m_simulation.startCount(job), 0U);
    tableUnavailable = false;
    m_simulation.advance(5s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
}

// Guards against lost usage: a worker that drops a task before its end is recorded can no longer report it to a new
// owner.
TEST_F(SchedulerCoreTest, TasksAreReleasedOnlyAfterTheirEndIsRecorded)
{
    bool tableUnavailable = false;
    m_simulation.faultHook = [&tableUnavailable](const std::string &target, const auto &) {
        return target == "table" && tableUnavailable ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = m_simulation.submit("a", 1, "run ms=2000", 2);
    m_simulation.advance(1s);
    tableUnavailable = true;
    m_simulation.advance(5s);
    tableUnavailable = false;
    m_simulation.takeOver("s2");
    m_simulation.advance(5s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(m_simulation.acceleratorMsInRows(), 4000);
}

// Guards against a takeover that restarts or loses running tasks.
TEST_F(SchedulerCoreTest, TakeoverAtAnyStepRestartsNoRunningTask)
{
    for (int step = 0; step < 20; ++step) {
        const JobId job = m_simulation.submit(fmt::format("g{}", step), 4, "run ms=3000", 4);
        m_simulation.advance(std::chrono::milliseconds(200 * step), 50ms);
        const std::size_t running = m_simulation.running(job).size();
        const std::size_t before = m_simulation.startCount(job);
        m_simulation.takeOver(fmt::format("s{}", step));
        m_simulation.advance(120s);
        EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
        EXPECT_EQ(m_simulation.startCount(job), running == 4 ? before : std::max<std::size_t>(before, 4)) << step;
    }
}

// Guards against a gang that keeps running after a member's machine has failed, and against a new attempt that starts
// before the lease of the lost member has expired.
TEST_F(SchedulerCoreTest, LostMemberStopsGangAndJobIsRestarted)
{
    m_simulation.addWorker("w3");
    m_simulation.lookUpWorkers();
    const JobId job = m_simulation.submit("g", 4, "run ms=50000", 4);
    m_simulation.advance(1s);
    const WorkerId failedWorker = m_simulation.running(job).front().worker;
    m_simulation.killWorker(failedWorker.value());
    m_simulation.advance(60s);
    EXPECT_EQ(m_simulation.row(job).attempt, 1);
    m_simulation.advance(120s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.row(job).attempt, 2);
}

// Guards against a new attempt that starts while an unreachable member of the last one still runs.
TEST_F(SchedulerCoreTest, UnreachableMemberCountsAsRunningUntilLeaseExpires)
{
    m_simulation.addWorker("w3");
    m_simulation.lookUpWorkers();
    const JobId job = m_simulation.submit("g", 2, "run ms=500000", 8);
    m_simulation.advance(20s);
    const std::string unreachable = m_simulation.running(job).front().worker.value();
    m_simulation.faultHook = [&unreachable](const std::string &target, const auto &) {
        return target == unreachable ? LinkFault::RequestLost : LinkFault::None;
    };
    m_simulation.advance(150s);
    EXPECT_EQ(m_simulation.row(job).attempt, 2);
    EXPECT_EQ(m_simulation.running(job).size(), 2U);
}

// Guards against a gang that counts as running although one of its workers has restarted.
TEST_F(SchedulerCoreTest, RestartedWorkerEndsItsGangs)
{
    const JobId job = m_simulation.submit("g", 2, "run ms=30000", 8);
    m_simulation.advance(1s);
    m_simulation.restartWorker("w1");
    m_simulation.advance(200s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Finished);
    EXPECT_EQ(m_simulation.row(job).attempt, 2);
}

// Guards against a cancellation that leaves tasks running or is overwritten by the owner's next write.
TEST_F(SchedulerCoreTest, CancelledJobEndsOnceAndStopsItsTasks)
{
    const JobId job = m_simulation.submit("a", 2, "run ms=60000", 4);
    m_simulation.advance(1s);
    m_simulation.cancel(job);
    m_simulation.advance(5s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Cancelled);
    EXPECT_TRUE(m_simulation.row(job).cancelRequested);
    EXPECT_TRUE(m_simulation.running(job).empty());
}

// Guards against a job that stays queued although no worker can ever run it.
TEST_F(SchedulerCoreTest, InfeasibleJobIsRefusedWithReason)
{
    const JobId job = m_simulation.submit("a", 1, "run ms=1000", 64);
    m_simulation.advance(2s);
    EXPECT_EQ(m_simulation.row(job).state, JobState::Refused);
    EXPECT_EQ(m_simulation.row(job).code, "can-never-run");
    EXPECT_NE(m_simulation.row(job).reason, "");
}

// Guards against tasks of unknown or ended jobs that keep running and hold resources.
TEST_F(SchedulerCoreTest, UnknownTasksAreStopped)
{
    WorkerModel &worker = *m_simulation.workers.at(WorkerId("w1"));
    WorkerOrder reserve;
    reserve.kind = OrderKind::Reserve;
    reserve.task = taskIdOf(JobId("dc1-gone"), 1, 0);
    reserve.job = JobId("dc1-gone");
    WorkerOrder start = reserve;
    start.kind = OrderKind::Start;
    start.command = "run ms=600000";
    start.startByUnixMs = toUnixMs(m_simulation.at().wallNow) + 1000;
    start.milliseconds = 600000;
    worker.handle({Epoch(1), InstanceId("old"), "", {reserve, start}}, m_simulation.now, m_simulation.at().wallNow);
    ASSERT_EQ(worker.activeTasks().size(), 1U);
    m_simulation.advance(40s);
    EXPECT_TRUE(worker.activeTasks().empty());
}

// Guards against an owner that keeps acting after another has taken over.
TEST_F(SchedulerCoreTest, LaterEpochAtWorkerEndsOwnership)
{
    m_simulation.workers.at(WorkerId("w1"))
        ->handle({Epoch(9), InstanceId("new"), "", {}}, m_simulation.now, m_simulation.at().wallNow);
    m_simulation.advance(20s);
    EXPECT_NE(m_simulation.core->stepDownReason(), "");
}

} // namespace
} // namespace coriander
