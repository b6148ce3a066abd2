#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Steps that prefer some workers, or for which workers are kept free. Racks have three workers each. */
class Preference : public ::testing::Test
{
protected:
    Preference()
    {
        m_harness.addWorkers(9);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    std::size_t startsOf(const std::string &job, std::size_t index = 0) const
    {
        return m_harness.workers.starts({JobId(job), 0, 0, index});
    }

    WorkerId workerOf(const std::string &job, std::size_t index) const
    {
        const Task *task = m_harness.engine->job(JobId(job))->task({JobId(job), 0, 0, index});
        return task == nullptr ? WorkerId() : task->worker;
    }

    EngineHarness m_harness;
};

// Guards against a task that lasts and is not started again outside of its data rack, because other tasks of its job
// run.
TEST_F(Preference, eachTaskThatLastsRunsOutsideOfItsRackIfNeedBe)
{
    StepSpec step = stepOf(3, 32, 8);
    step.longRunning = true;
    step.dataRack = RackId("r0");
    m_harness.submit(m_harness.job("lasting", 1, {step}), {.lasts = true});
    m_harness.runFor(seconds(2));
    ASSERT_EQ(m_harness.workers.runningTasks(), 3U);
    const WorkerId leaving = workerOf("lasting", 1);
    m_harness.workers.machines().at(leaving).report.draining = true;
    m_harness.workers.machines().at(leaving).report.minimumTimeToLeave = seconds(4);
    m_harness.report(leaving);
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.workers.runningTasks(), 3U);
}

// Guards against room that is freed for a guaranteed job on a worker where it is not placed, so that it never begins.
TEST_F(Preference, guaranteedJobWithADataRackBeginsInAFullPool)
{
    m_harness.submit(m_harness.job("bulk", 2, {stepOf(9, 1, 8)}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    StepSpec step = stepOf(2, 1, 8);
    step.dataRack = RackId("r1");
    m_harness.submit(m_harness.job("urgent", 0, {step}), {.work = seconds(60)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(startsOf("urgent", 0), 1U);
    EXPECT_EQ(startsOf("urgent", 1), 1U);
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_EQ(m_harness.workers.machines().at(workerOf("urgent", i)).report.rack, RackId("r1"));
    }
    EXPECT_EQ(m_harness.workers.stopped, 2U);
}

// The same where only workers of other racks can make room.
TEST_F(Preference, guaranteedJobBeginsOutsideOfAnUrgentDataRack)
{
    StepSpec urgent = stepOf(3, 1, 8);
    urgent.dataRack = RackId("r1");
    m_harness.submit(m_harness.job("first", 0, {urgent}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    m_harness.submit(m_harness.job("bulk", 2, {stepOf(6, 1, 8)}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    ASSERT_EQ(m_harness.workers.runningTasks(), 9U);
    StepSpec step = stepOf(2, 1, 8);
    step.dataRack = RackId("r1");
    m_harness.submit(m_harness.job("second", 0, {step}), {.work = seconds(60)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(startsOf("second", 0), 1U);
    EXPECT_EQ(startsOf("second", 1), 1U);
}

// Guards against workers that stay idle, reserved for a gang that finds no room, while a job needs them.
TEST_F(Preference, workersReservedForAGangServeAJobThatStandsStill)
{
    for (const char *id : {"w0", "w1"}) {
        m_harness.workers.machines().at(WorkerId(id)).report.labels.push_back("b");
        m_harness.report(WorkerId(id));
    }
    StepSpec spread = stepOf(9, 1, 1);
    spread.maximumPerWorker = 1;
    m_harness.submit(m_harness.job("spread", 1, {spread}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    StepSpec gang = stepOf(2, 1, 8);
    gang.gang = true;
    gang.estimate = seconds(100);
    m_harness.submit(m_harness.job("gang", 1, {gang}), {.work = seconds(60)});
    m_harness.runFor(seconds(1));
    StepSpec small = stepOf(1, 1, 0);
    small.requiredLabel = "b";
    m_harness.submit(m_harness.job("small", 2, {small}), {.work = seconds(60)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(startsOf("small"), 1U);
    EXPECT_EQ(startsOf("gang"), 0U);
}

} // namespace
} // namespace coriander::workflow
