#include <malloc.h>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/** Bytes that the process has allocated; 0 where the allocator does not count, as under sanitizers. */
std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

/** Jobs that run many times. */
class RecurringJob : public ::testing::Test
{
protected:
    RecurringJob()
    {
        m_harness.addWorkers(12);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    /** A job of @p steps independent steps of @p tasks small tasks, that runs 1,000 times. */
    JobSpec recurring(
        const std::string &id, std::size_t steps, std::size_t tasks, Duration untilFirst, Duration interval)
    {
        StepSpec step = stepOf(tasks, 0, 0);
        step.perTask = {MilliCores(100), MemoryMib(64), Accelerators(0)};
        JobSpec spec = m_harness.job(id, 1, std::vector<StepSpec>(steps, step));
        spec.occurrences = 1000;
        spec.firstDue = m_harness.timeline.clock().wallNow() + untilFirst;
        spec.interval = interval;
        return spec;
    }

    /** Adds the job to the owner alone; the rows of the fake store would count as memory as well. */
    void add(const JobSpec &spec)
    {
        m_harness.engine->addJob(spec);
    }

    static constexpr std::size_t MegaByte = 1000000;

    EngineHarness m_harness;
};

// Guards against an owner that runs out of memory because it keeps the tasks of occurrences that are not due. The bound
// is for the specifications of ten jobs; their 2,000,000 tasks took more than 300 MB.
TEST_F(RecurringJob, occurrencesThatAreNotDueTakeNoMemory)
{
    const std::size_t before = allocatedBytes();
    for (int i = 0; i < 10; ++i) {
        add(recurring("schedule" + std::to_string(i), 1, 200, hours(1), hours(1)));
    }
    m_harness.runFor(seconds(2));
    EXPECT_LT(allocatedBytes(), before + MegaByte);
    m_harness.submit(m_harness.job("ordinary", 1, {stepOf(2, 1, 0)}), {.work = seconds(1)});
    m_harness.runFor(seconds(4));
    EXPECT_EQ(m_harness.storedState(JobId("ordinary")), JobState::Completed);
}

// The same for occurrences that are due and find no room: a few tasks of each job run, and all others wait.
TEST_F(RecurringJob, tasksThatWaitTakeNoMemory)
{
    const std::size_t before = allocatedBytes();
    for (int i = 0; i < 10; ++i) {
        JobSpec spec = recurring("schedule" + std::to_string(i), 8, 200, -hours(1), seconds(1));
        for (StepSpec &step : spec.steps) {
            step.perTask = resources(30, 8);
        }
        m_harness.workers.setBehaviour(spec.id, 0, {.work = minutes(1), .resources = resources(30, 8)});
        add(spec);
    }
    m_harness.runFor(seconds(1));
    EXPECT_EQ(m_harness.workers.runningTasks(), 12U);
    EXPECT_LT(allocatedBytes(), before + 2 * MegaByte);
}

// The same for jobs that run once, of which only one task at a time finds room.
TEST_F(RecurringJob, tasksBesideOneThatRunsTakeNoMemory)
{
    const std::size_t before = allocatedBytes();
    for (int i = 0; i < 500; ++i) {
        JobSpec spec = m_harness.job("job" + std::to_string(i), 1, {stepOf(2000, 0, 0)});
        spec.steps[0].perTask = {MilliCores(1), MemoryMib(1), Accelerators(0)};
        spec.steps[0].requiredLabel = "r0";
        spec.steps[0].maximumPerWorker = 1;
        m_harness.workers.setBehaviour(spec.id, 0, {.work = minutes(1), .resources = spec.steps[0].perTask});
        add(spec);
    }
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.workers.runningTasks(), 1500U);
    EXPECT_LT(allocatedBytes(), before + 10 * MegaByte);
}

// Guards against occurrences that are done and still take memory, in the owner or in the rows that the next owner
// reads.
TEST_F(RecurringJob, occurrencesThatAreDoneTakeNoMemory)
{
    JobSpec spec = recurring("schedule", 1, 100, Duration(0), milliseconds(100));
    spec.steps.push_back(stepOf(1, 64, 0)); // No worker is large enough, so the job does not end.
    m_harness.submit(spec, {.work = milliseconds(500)});
    m_harness.workers.setBehaviour(spec.id, 0, {.work = milliseconds(500), .resources = spec.steps[0].perTask});
    m_harness.runFor(seconds(60));
    const Job *job = m_harness.engine->job(spec.id);
    ASSERT_NE(job, nullptr);
    EXPECT_TRUE(job->stepDone({500, 0}));
    EXPECT_LT(job->openSteps().size(), 20U);
    std::size_t bytes = 0;
    for (const auto &[name, row] : m_harness.store.rows) {
        bytes += name.first == ProgressTable ? row.value.size() : 0;
    }
    EXPECT_GT(job->storedCount(), 500U);
    EXPECT_LT(bytes, job->storedCount() * 100);
}

// Guards against an owner that forgets which occurrences of a recurring job its predecessor had done or had assigned.
TEST_F(RecurringJob, nextOwnerKnowsWhatWasDoneAndAssigned)
{
    JobSpec spec = recurring("schedule", 2, 3, Duration(0), seconds(1));
    spec.steps[1].after = {0};
    spec.occurrences = 12;
    m_harness.submit(spec, {.work = milliseconds(1700)});
    for (int i = 0; i < 5; ++i) {
        m_harness.runFor(milliseconds(2300));
        m_harness.endOwner(false);
        m_harness.startOwner();
    }
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.storedState(JobId("schedule")), JobState::Completed);
    for (std::size_t k = 0; k < spec.occurrences; ++k) {
        for (std::size_t i = 0; i < 3; ++i) {
            EXPECT_EQ(m_harness.workers.starts({spec.id, k, 0, i}), 1U);
            EXPECT_EQ(m_harness.workers.starts({spec.id, k, 1, i}), 1U);
        }
    }
}

// Guards against a number of open jobs that no owner can hold: what counts as backlog covers the memory that jobs take.
TEST_F(RecurringJob, backlogCountsTheMemoryOfOpenJobs)
{
    const std::size_t before = allocatedBytes();
    std::vector<JobSpec> specs;
    for (int i = 0; !m_harness.engine->backlog().isFull() && i < 100000; ++i) {
        JobSpec spec = recurring("j" + std::to_string(i), 1 + i % 64, 1, hours(1), hours(1));
        spec.payload = std::string(static_cast<std::size_t>(i * 37 % 4000), 'p');
        specs.push_back(spec);
        add(spec);
    }
    EXPECT_TRUE(m_harness.engine->backlog().isFull());
    specs.clear();
    EXPECT_LT(allocatedBytes(), before + 2 * decision::JobBacklog::MaximumBytes);
    for (int i = 0; i < 100000 && m_harness.engine->backlog().isFull(); ++i) {
        m_harness.engine->cancelJob(JobId("j" + std::to_string(i)));
        m_harness.engine->takeBatch(ChangeLimits());
    }
    EXPECT_FALSE(m_harness.engine->backlog().isFull());
}

} // namespace
} // namespace coriander::workflow
