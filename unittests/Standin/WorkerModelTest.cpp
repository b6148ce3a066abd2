#include "corianderscale/Standin/WorkerModel.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

using namespace std::chrono_literals;

class WorkerModelTest : public ::testing::Test
{
protected:
    static WorkerInfo info()
    {
        WorkerInfo info;
        info.id = WorkerId("w1");
        info.incarnation = InstanceId("w1-a");
        info.cores = MilliCores(4000);
        info.memory = MemoryMib(4096);
        info.accelerators = Accelerators(4);
        return info;
    }

    OrderResult send(OrderKind kind, std::int64_t ms = 0, std::int64_t epoch = 1)
    {
        WorkerOrder order;
        order.kind = kind;
        order.task = TaskId("j.1.0");
        order.job = JobId("j");
        order.accelerators = Accelerators(4);
        order.command = command;
        order.milliseconds = ms;
        order.startByUnixMs = toUnixMs(wall()) + startIn;
        order.checkpoint = true;
        order.excepted = excepted;
        last = model.handle({Epoch(epoch), InstanceId("s"), "http://s", {order}}, now, wall());
        return last.results.front();
    }

    WallTime wall() const
    {
        return WallTime(now.time_since_epoch());
    }

    WorkerModel model{info(), {}};
    MonotonicTime now{std::chrono::seconds(100)};
    std::string command = "run ms=60000 checkpoint=yes";
    std::int64_t startIn = 1000;
    std::vector<JobId> excepted;
    WorkerReport last;
};

// Guards against an old owner that still gives orders.
TEST_F(WorkerModelTest, LowerEpochIsRefused)
{
    EXPECT_TRUE(send(OrderKind::Reserve, 0, 5).ok);
    EXPECT_EQ(send(OrderKind::Start, 1000, 4).reason, "stale-epoch");
    EXPECT_EQ(last.epoch, Epoch(5));
}

// Guards against reservations that hold resources for ever, and against starts that arrive late.
TEST_F(WorkerModelTest, ReservationsLapseAndLateStartsAreRefused)
{
    EXPECT_TRUE(send(OrderKind::Reserve).ok);
    startIn = -1;
    EXPECT_EQ(send(OrderKind::Start, 1000).reason, "too-late");
    startIn = 1000;
    now += ReservationTerm;
    EXPECT_EQ(send(OrderKind::Start, 1000).reason, "unknown-task");
}

// Guards against a task that outlives its lease, or a late or excepted renewal that extends it.
TEST_F(WorkerModelTest, TaskStopsWhenItsLeaseLapses)
{
    send(OrderKind::Reserve);
    EXPECT_TRUE(send(OrderKind::Start, 10000).ok);
    now += 9s;
    startIn = -1;
    EXPECT_EQ(send(OrderKind::Renew, 10000).reason, "too-late");
    startIn = 1000;
    excepted = {JobId("j")};
    EXPECT_TRUE(send(OrderKind::Renew, 10000).ok);
    now += 1s;
    excepted.clear();
    send(OrderKind::Renew, 10000);
    EXPECT_TRUE(model.activeTasks().empty());
    ASSERT_EQ(last.tasks.size(), 1U);
    EXPECT_EQ(last.tasks.front().state, TaskState::Stopped);
    EXPECT_EQ(last.tasks.front().acceleratorMs, 40000);
}

// Guards against a checkpoint that is claimed without time to write it, and against reports that are lost.
TEST_F(WorkerModelTest, StopWritesCheckpointWithinGraceAndReportsUntilReleased)
{
    send(OrderKind::Reserve);
    send(OrderKind::Start, 10000);
    send(OrderKind::Stop, 500);
    EXPECT_FALSE(last.tasks.front().checkpointed);
    now += 500ms;
    const auto report = model.takeReport(now);
    ASSERT_TRUE(report.has_value());
    EXPECT_TRUE(report->tasks.front().checkpointed);
    EXPECT_FALSE(model.takeReport(now).has_value());
    now += 1s;
    EXPECT_TRUE(model.takeReport(now).has_value());
    EXPECT_TRUE(send(OrderKind::Release).ok);
    now += 2s;
    EXPECT_FALSE(model.takeReport(now).has_value());
}

} // namespace
} // namespace coriander
