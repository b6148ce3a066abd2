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

    OrderResult sendOrder(OrderKind kind, std::int64_t ms = 0, std::int64_t epoch = 1)
    {
        WorkerOrder order;
        order.kind = kind;
        order.task = TaskId("j.1.0");
        order.job = JobId("j");
        order.accelerators = Accelerators(4);
        order.command = m_command;
        order.milliseconds = ms;
        order.startByUnixMs = toUnixMs(wallNow()) + m_startByOffsetMs;
        order.checkpoint = true;
        order.excepted = m_excepted;
        m_lastReport = m_model.handle({Epoch(epoch), InstanceId("s"), "http://s", {order}}, m_now, wallNow());
        return m_lastReport.results.front();
    }

    WallTime wallNow() const
    {
        return WallTime(m_now.time_since_epoch());
    }

    WorkerModel m_model{info(), {}};
    MonotonicTime m_now{std::chrono::seconds(100)};
    std::string m_command = "run ms=60000 checkpoint=yes";
    std::int64_t m_startByOffsetMs = 1000;
    std::vector<JobId> m_excepted;
    WorkerReport m_lastReport;
};

// Guards against orders of a former owner being executed.
TEST_F(WorkerModelTest, LowerEpochIsRefused)
{
    EXPECT_TRUE(sendOrder(OrderKind::Reserve, 0, 5).ok);
    EXPECT_EQ(sendOrder(OrderKind::Start, 1000, 4).reason, "stale-epoch");
    EXPECT_EQ(m_lastReport.epoch, Epoch(5));
}

// Guards against reservations that never expire, and against late start orders being executed.
TEST_F(WorkerModelTest, ReservationsLapseAndLateStartsAreRefused)
{
    EXPECT_TRUE(sendOrder(OrderKind::Reserve).ok);
    m_startByOffsetMs = -1;
    EXPECT_EQ(sendOrder(OrderKind::Start, 1000).reason, "too-late");
    m_startByOffsetMs = 1000;
    m_now += ReservationTimeout;
    EXPECT_EQ(sendOrder(OrderKind::Start, 1000).reason, "unknown-task");
}

// Guards against a task that outlives its lease, or a late or excepted renewal that extends it.
TEST_F(WorkerModelTest, TaskStopsWhenItsLeaseLapses)
{
    sendOrder(OrderKind::Reserve);
    EXPECT_TRUE(sendOrder(OrderKind::Start, 10000).ok);
    m_now += 9s;
    m_startByOffsetMs = -1;
    EXPECT_EQ(sendOrder(OrderKind::Renew, 10000).reason, "too-late");
    m_startByOffsetMs = 1000;
    m_excepted = {JobId("j")};
    EXPECT_TRUE(sendOrder(OrderKind::Renew, 10000).ok);
    m_now += 1s;
    m_excepted.clear();
    sendOrder(OrderKind::Renew, 10000);
    EXPECT_TRUE(m_model.activeTasks().empty());
    ASSERT_EQ(m_lastReport.tasks.size(), 1U);
    EXPECT_EQ(m_lastReport.tasks.front().state, TaskState::Stopped);
    EXPECT_EQ(m_lastReport.tasks.front().acceleratorMs, 40000);
}

// Guards against a checkpoint being reported before it is written, and against a lost report not being repeated.
TEST_F(WorkerModelTest, StopWritesCheckpointWithinGraceAndReportsUntilReleased)
{
    sendOrder(OrderKind::Reserve);
    sendOrder(OrderKind::Start, 10000);
    sendOrder(OrderKind::Stop, 500);
    EXPECT_FALSE(m_lastReport.tasks.front().checkpointed);
    m_now += 500ms;
    const auto report = m_model.takeReport(m_now);
    ASSERT_TRUE(report.has_value());
    EXPECT_TRUE(report->tasks.front().checkpointed);
    EXPECT_FALSE(m_model.takeReport(m_now).has_value());
    m_now += 1s;
    EXPECT_TRUE(m_model.takeReport(m_now).has_value());
    EXPECT_TRUE(sendOrder(OrderKind::Release).ok);
    m_now += 2s;
    EXPECT_FALSE(m_model.takeReport(m_now).has_value());
}

} // namespace
} // namespace coriander
