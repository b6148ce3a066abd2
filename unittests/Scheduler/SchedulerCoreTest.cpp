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
        world.addWorker("w1");
        world.addWorker("w2");
        world.takeOver("s1");
    }

    void TearDown() override
    {
        EXPECT_EQ(world.violations, std::vector<std::string>());
    }

    CoreWorld world;
};

// Guards against a job that is placed but never finished, recorded or released.
TEST_F(SchedulerCoreTest, SingleJobRunsOnceAndIsRecorded)
{
    const JobId job = world.submit("a", 1, "run ms=2000 outcome=succeed", 2);
    world.advance(4s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.startsOf(job), 1U);
    EXPECT_EQ(world.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(world.acceleratorMsInRows(), 4000);
    EXPECT_EQ(world.core->gangCount(), 0U);
    EXPECT_EQ(world.core->jobCount(), 0U);
}

// Guards against members of a gang that start apart or on their own.
TEST_F(SchedulerCoreTest, GangStartsTogetherAcrossWorkers)
{
    const JobId job = world.submit("g", 4, "run ms=60000", 4);
    world.advance(1s);
    EXPECT_EQ(world.running(job).size(), 4U);
    EXPECT_EQ(world.row(job).state, JobState::Running);
    world.advance(70s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.startsOf(job), 4U);
    EXPECT_EQ(world.acceleratorMsInRows(), 4 * 4 * 60000);
}

// Guards against a gang that starts in part when one member refuses or does not answer.
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

// Guards against a row that says queued while its gang starts, after the answer of the table was lost.
TEST_F(SchedulerCoreTest, LostAnswersOfTheTableAreSettledByTheSameOperation)
{
    int count = 0;
    world.faults = [&count](const std::string &target, const auto &) {
        return target == "table" && ++count % 2 == 1 ? LinkFault::AnswerLost : LinkFault::None;
    };
    const JobId job = world.submit("a", 2, "run ms=3000", 4);
    world.advance(20s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.startsOf(job), 2U);
    EXPECT_EQ(world.acceleratorMsInRows(), 2 * 4 * 3000);
    EXPECT_EQ(world.core->stepDownReason(), "");
}

// Guards against tasks that start before the row names the attempt.
TEST_F(SchedulerCoreTest, NothingStartsWhileTheTableIsAway)
{
    bool away = true;
    world.faults = [&away](const std::string &target, const auto &) {
        return target == "table" && away ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = world.submit("a", 1, "run ms=1000");
    world.advance(5s);
    EXPECT_EQ(world.startsOf(job), 0U);
    away = false;
    world.advance(5s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
}

// Guards against usage that is lost because the worker forgot a task before it was recorded.
TEST_F(SchedulerCoreTest, TasksAreReleasedOnlyAfterTheirEndIsRecorded)
{
    bool away = false;
    world.faults = [&away](const std::string &target, const auto &) {
        return target == "table" && away ? LinkFault::NotSent : LinkFault::None;
    };
    const JobId job = world.submit("a", 1, "run ms=2000", 2);
    world.advance(1s);
    away = true;
    world.advance(5s);
    away = false;
    world.takeOver("s2");
    world.advance(5s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.row(job).borrowedUsage.acceleratorMs, 4000);
    EXPECT_EQ(world.acceleratorMsInRows(), 4000);
}

// Guards against a takeover that restarts or loses what runs.
TEST_F(SchedulerCoreTest, TakeoverAtEveryStepRestartsNothingThatRuns)
{
    for (int step = 0; step < 20; ++step) {
        const JobId job = world.submit(fmt::format("g{}", step), 4, "run ms=3000", 4);
        world.advance(std::chrono::milliseconds(200 * step), 50ms);
        const std::size_t running = world.running(job).size();
        const std::size_t before = world.startsOf(job);
        world.takeOver(fmt::format("s{}", step));
        world.advance(120s);
        EXPECT_EQ(world.row(job).state, JobState::Finished);
        EXPECT_EQ(world.startsOf(job), running == 4 ? before : std::max<std::size_t>(before, 4)) << step;
    }
}

// Guards against a gang that runs on after a member's machine has failed, and against a restart before the bound.
TEST_F(SchedulerCoreTest, LostMemberStopsTheGangAndTheJobRunsAgain)
{
    world.addWorker("w3");
    world.lookUpWorkers();
    const JobId job = world.submit("g", 4, "run ms=50000", 4);
    world.advance(1s);
    const WorkerId victim = world.running(job).front().worker;
    world.killWorker(victim.value());
    world.advance(60s);
    EXPECT_EQ(world.row(job).attempt, 1);
    world.advance(120s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.row(job).attempt, 2);
}

// Guards against an unreachable member that runs on while the job was started again.
TEST_F(SchedulerCoreTest, UnreachableMemberCountsAsRunningUntilItsLeaseHasLapsed)
{
    world.addWorker("w3");
    world.lookUpWorkers();
    const JobId job = world.submit("g", 2, "run ms=500000", 8);
    world.advance(20s);
    const std::string cut = world.running(job).front().worker.value();
    world.faults = [&cut](const std::string &target, const auto &) {
        return target == cut ? LinkFault::RequestLost : LinkFault::None;
    };
    world.advance(150s);
    EXPECT_EQ(world.row(job).attempt, 2);
    EXPECT_EQ(world.running(job).size(), 2U);
}

// Guards against a worker restart that goes unnoticed.
TEST_F(SchedulerCoreTest, RestartedWorkerEndsItsGangs)
{
    const JobId job = world.submit("g", 2, "run ms=30000", 8);
    world.advance(1s);
    world.restartWorker("w1");
    world.advance(200s);
    EXPECT_EQ(world.row(job).state, JobState::Finished);
    EXPECT_EQ(world.row(job).attempt, 2);
}

// Guards against a cancellation that leaves tasks running or is overwritten by the owner's next write.
TEST_F(SchedulerCoreTest, CancelledJobEndsOnceAndStops)
{
    const JobId job = world.submit("a", 2, "run ms=60000", 4);
    world.advance(1s);
    world.cancel(job);
    world.advance(5s);
    EXPECT_EQ(world.row(job).state, JobState::Cancelled);
    EXPECT_TRUE(world.row(job).cancelRequested);
    EXPECT_TRUE(world.running(job).empty());
}

// Guards against a job that can never run and stays in the queue.
TEST_F(SchedulerCoreTest, JobThatCanNeverRunIsRefusedWithItsReason)
{
    const JobId job = world.submit("a", 1, "run ms=1000", 64);
    world.advance(2s);
    EXPECT_EQ(world.row(job).state, JobState::Refused);
    EXPECT_EQ(world.row(job).code, "can-never-run");
    EXPECT_NE(world.row(job).reason, "");
}

// Guards against tasks of ended jobs that keep resources.
TEST_F(SchedulerCoreTest, UnknownTasksAreStopped)
{
    WorkerModel &worker = *world.workers.at(WorkerId("w1"));
    WorkerOrder reserve;
    reserve.kind = OrderKind::Reserve;
    reserve.task = taskIdOf(JobId("dc1-gone"), 1, 0);
    reserve.job = JobId("dc1-gone");
    WorkerOrder start = reserve;
    start.kind = OrderKind::Start;
    start.command = "run ms=600000";
    start.startByUnixMs = toUnixMs(world.at().wallNow) + 1000;
    start.milliseconds = 600000;
    worker.handle({Epoch(1), InstanceId("old"), "", {reserve, start}}, world.now, world.at().wallNow);
    ASSERT_EQ(worker.activeTasks().size(), 1U);
    world.advance(40s);
    EXPECT_TRUE(worker.activeTasks().empty());
}

// Guards against an owner that goes on after another has taken over.
TEST_F(SchedulerCoreTest, LaterEpochAtAWorkerEndsOwnership)
{
    world.workers.at(WorkerId("w1"))->handle({Epoch(9), InstanceId("new"), "", {}}, world.now, world.at().wallNow);
    world.advance(20s);
    EXPECT_NE(world.core->stepDownReason(), "");
}

} // namespace
} // namespace coriander
