#include <gtest/gtest.h>

#include "CoreWorld.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

class SchedulerCoreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_world.addWorker("w1");
        m_world.addWorker("w2");
        m_world.takeOver("s1");
    }

    void TearDown() override
    {
        EXPECT_EQ(m_world.violations, std::vector<std::string>());
    }

    CoreWorld m_world;
};

// Guards against a job that is placed but never finished, recorded or released.
TEST_F(SchedulerCoreTest, SingleJobRunsOnceAndIsRecorded)
{
    const JobId job = m_world.submit("a", 1, "run ms=2000 outcome=succeed", 2);
    m_world.advance(4s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.startsOf(job), 1U);
    EXPECT_EQ(m_world.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(m_world.acceleratorMsInRows(), 4000);
    EXPECT_EQ(m_world.core->gangCount(), 0U);
    EXPECT_EQ(m_world.core->jobCount(), 0U);
}

// Guards against a gang of which only some members start.
TEST_F(SchedulerCoreTest, GangStartsTogetherAcrossWorkers)
{
    const JobId job = m_world.submit("g", 4, "run ms=60000", 4);
    m_world.advance(1s);
    EXPECT_EQ(m_world.running(job).size(), 4U);
    EXPECT_EQ(m_world.row(job).state, JobState::Running);
    m_world.advance(70s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.startsOf(job), 4U);
    EXPECT_EQ(m_world.acceleratorMsInRows(), 4 * 4 * 60000);
}

// Guards against a gang of which only some members run after a reserve or start order, or its answer, was lost.
TEST_F(SchedulerCoreTest, LostAnswersOfReserveAndStartLeaveNoPartOfAGang)
{
    for (const OrderKind kind : {OrderKind::Reserve, OrderKind::Start}) {
        for (const LinkFault fault : {LinkFault::NotSent, LinkFault::RequestLost, LinkFault::AnswerLost}) {
            CoreWorld fresh;
            fresh.addWorker("w1");
            fresh.addWorker("w2");
            fresh.takeOver("s1");
            int left = 1;
            fresh.faults = [&left, kind, fault](const std::string &target, const std::vector<WorkerOrder> &orders) {
                const bool hit = target == "w2" && left > 0
                    && std::any_of(orders.begin(), orders.end(), [kind](const auto &order) {
                                     return order.kind == kind;
                                 });
                left -= hit ? 1 : 0;
                return hit ? fault : LinkFault::None;
            };
            const JobId job = fresh.submit("g", 4, "run ms=5000", 4);
            fresh.advance(2s);
            EXPECT_EQ(left, 0);
            fresh.advance(120s);
            EXPECT_EQ(fresh.row(job).state, JobState::Finished) << toText(kind) << ' ' << int(fault);
            EXPECT_EQ(fresh.row(job).attempt, 2);
            EXPECT_EQ(fresh.violations, std::vector<std::string>());
        }
    }
}

// Guards against a job row that stays queued while its gang starts, because the table's answer to the write was lost.
TEST_F(SchedulerCoreTest, LostAnswersOfTheTableAreSettledByTheSameOperation)
{
    int count = 0;
    m_world.faults = [&count](const std::string &target, const auto &) {
        return target == "table" && ++count % 2 == 1 ? LinkFault::AnswerLost : LinkFault::None;
    };
    const JobId job = m_world.submit("a", 2, "run ms=3000", 4);
    m_world.advance(20s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.startsOf(job), 2U);
    EXPECT_EQ(m_world.acceleratorMsInRows(), 2 * 4 * 3000);
    EXPECT_EQ(m_world.core->stepDownReason(), "");
}

// Guards against tasks that start before the row names the attempt.
TEST_F(SchedulerCoreTest, NothingStartsWhileTheTableIsAway)
{
    bool away = true;
    m_world.faults = [&away](const std::string &target, const auto &) {
        return target == "table" && away ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = m_world.submit("a", 1, "run ms=1000");
    m_world.advance(5s);
    EXPECT_EQ(m_world.startsOf(job), 0U);
    away = false;
    m_world.advance(5s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
}

// Guards against lost usage: a worker that drops a task before its end is recorded can no longer report it to a new
// owner.
TEST_F(SchedulerCoreTest, TasksAreReleasedOnlyAfterTheirEndIsRecorded)
{
    bool away = false;
    m_world.faults = [&away](const std::string &target, const auto &) {
        return target == "table" && away ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = m_world.submit("a", 1, "run ms=2000", 2);
    m_world.advance(1s);
    away = true;
    m_world.advance(5s);
    away = false;
    m_world.takeOver("s2");
    m_world.advance(5s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(m_world.acceleratorMsInRows(), 4000);
}

// Guards against a takeover that restarts or loses running tasks.
TEST_F(SchedulerCoreTest, TakeoverAtEveryStepRestartsNothingThatRuns)
{
    for (int step = 0; step < 20; ++step) {
        const JobId job = m_world.submit(fmt::format("g{}", step), 4, "run ms=3000", 4);
        m_world.advance(std::chrono::milliseconds(200 * step), 50ms);
        const std::size_t running = m_world.running(job).size();
        const std::size_t before = m_world.startsOf(job);
        m_world.takeOver(fmt::format("s{}", step));
        m_world.advance(120s);
        EXPECT_EQ(m_world.row(job).state, JobState::Finished);
        EXPECT_EQ(m_world.startsOf(job), running == 4 ? before : std::max<std::size_t>(before, 4)) << step;
    }
}

// Guards against a gang that keeps running after a member's machine has failed, and against a new attempt that starts
// before the lease of the lost member has expired.
TEST_F(SchedulerCoreTest, LostMemberStopsTheGangAndTheJobRunsAgain)
{
    m_world.addWorker("w3");
    m_world.lookUpWorkers();
    const JobId job = m_world.submit("g", 4, "run ms=50000", 4);
    m_world.advance(1s);
    const WorkerId victim = m_world.running(job).front().worker;
    m_world.killWorker(victim.value());
    m_world.advance(60s);
    EXPECT_EQ(m_world.row(job).attempt, 1);
    m_world.advance(120s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.row(job).attempt, 2);
}

// Guards against a new attempt that starts while an unreachable member of the last one still runs.
TEST_F(SchedulerCoreTest, UnreachableMemberCountsAsRunningUntilItsLeaseHasLapsed)
{
    m_world.addWorker("w3");
    m_world.lookUpWorkers();
    const JobId job = m_world.submit("g", 2, "run ms=500000", 8);
    m_world.advance(20s);
    const std::string cut = m_world.running(job).front().worker.value();
    m_world.faults = [&cut](const std::string &target, const auto &) {
        return target == cut ? LinkFault::RequestLost : LinkFault::None;
    };
    m_world.advance(150s);
    EXPECT_EQ(m_world.row(job).attempt, 2);
    EXPECT_EQ(m_world.running(job).size(), 2U);
}

// Guards against a gang that counts as running although one of its workers has restarted.
TEST_F(SchedulerCoreTest, RestartedWorkerEndsItsGangs)
{
    const JobId job = m_world.submit("g", 2, "run ms=30000", 8);
    m_world.advance(1s);
    m_world.restartWorker("w1");
    m_world.advance(200s);
    EXPECT_EQ(m_world.row(job).state, JobState::Finished);
    EXPECT_EQ(m_world.row(job).attempt, 2);
}

// Guards against a cancellation that leaves tasks running or is overwritten by the owner's next write.
TEST_F(SchedulerCoreTest, CancelledJobEndsOnceAndStops)
{
    const JobId job = m_world.submit("a", 2, "run ms=60000", 4);
    m_world.advance(1s);
    m_world.cancel(job);
    m_world.advance(5s);
    EXPECT_EQ(m_world.row(job).state, JobState::Cancelled);
    EXPECT_TRUE(m_world.row(job).cancelRequested);
    EXPECT_TRUE(m_world.running(job).empty());
}

// Guards against a job that stays queued although no worker can ever run it.
TEST_F(SchedulerCoreTest, JobThatCanNeverRunIsRefusedWithItsReason)
{
    const JobId job = m_world.submit("a", 1, "run ms=1000", 64);
    m_world.advance(2s);
    EXPECT_EQ(m_world.row(job).state, JobState::Refused);
    EXPECT_EQ(m_world.row(job).code, "can-never-run");
    EXPECT_NE(m_world.row(job).reason, "");
}

// Guards against tasks of unknown or ended jobs that keep running and hold resources.
TEST_F(SchedulerCoreTest, UnknownTasksAreStopped)
{
    WorkerModel &worker = *m_world.workers.at(WorkerId("w1"));
    WorkerOrder reserve;
    reserve.kind = OrderKind::Reserve;
    reserve.task = taskIdOf(JobId("dc1-gone"), 1, 0);
    reserve.job = JobId("dc1-gone");
    WorkerOrder start = reserve;
    start.kind = OrderKind::Start;
    start.command = "run ms=600000";
    start.startByUnixMs = toUnixMs(m_world.at().wallNow) + 1000;
    start.milliseconds = 600000;
    worker.handle({Epoch(1), InstanceId("old"), "", {reserve, start}}, m_world.now, m_world.at().wallNow);
    ASSERT_EQ(worker.activeTasks().size(), 1U);
    m_world.advance(40s);
    EXPECT_TRUE(worker.activeTasks().empty());
}

// Guards against an owner that keeps acting after another has taken over.
TEST_F(SchedulerCoreTest, LaterEpochAtAWorkerEndsOwnership)
{
    m_world.workers.at(WorkerId("w1"))
        ->handle({Epoch(9), InstanceId("new"), "", {}}, m_world.now, m_world.at().wallNow);
    m_world.advance(20s);
    EXPECT_NE(m_world.core->stepDownReason(), "");
}

} // namespace
} // namespace coriander
