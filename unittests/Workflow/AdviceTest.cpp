#include "Workflow/EngineHarness.h"
#include "Workflow/FakeAdvisor.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** An engine whose queues all need advice, with six workers; the advisor approves two of them for every step. */
class Advised : public ::testing::Test
{
protected:
    Advised()
        : m_advisor(m_harness.timeline)
    {
        m_harness.addWorkers(6);
        m_advisor.approvedWorkers = {WorkerId("w2"), WorkerId("w4")};
        auto catalogue = std::make_shared<Catalogue>(*m_harness.catalogue);
        for (QueueSpec &queue : catalogue->queues) {
            queue.needsAdvice = true;
        }
        m_harness.catalogue = catalogue;
        m_harness.workers.ticketIsValid = [this](const WorkerId &worker, const StartOrder &order) {
            const bool valid = m_advisor.accepts(worker, order);
            m_rejected += valid ? 0 : 1;
            return valid;
        };
        m_harness.startOwner();
        m_harness.engine->setAdvisor(&m_advisor);
        m_harness.runFor(seconds(1));
    }

    void submit(const std::string &id, std::size_t tasks, std::int64_t accelerators, bool gang)
    {
        StepSpec step;
        step.tasks = tasks;
        step.perTask = resources(1, accelerators);
        step.estimate = seconds(2);
        step.gang = gang;
        m_harness.submit(m_harness.job(id, 1, {step}), {});
    }

    EngineHarness m_harness;
    FakeAdvisor m_advisor;
    int m_rejected = 0;
};

// Guards against tasks that start on workers that are not approved, or wait although approved workers are free.
TEST_F(Advised, tasksRunOnApprovedWorkersWithTheirTickets)
{
    submit("gang", 2, 8, true);
    submit("each", 3, 4, false);
    m_harness.runFor(seconds(12));
    EXPECT_EQ(m_harness.storedState(JobId("gang")), JobState::Completed);
    EXPECT_EQ(m_harness.storedState(JobId("each")), JobState::Completed);
    EXPECT_EQ(m_rejected, 0);
}

// Guards against starts with expired tickets, and against a question to the advisor in every planning pass.
TEST_F(Advised, expiredTicketsAreAskedForAgain)
{
    m_advisor.valid = seconds(1);
    submit("long", 12, 8, false);
    m_harness.runFor(seconds(20));
    EXPECT_EQ(m_harness.storedState(JobId("long")), JobState::Completed);
    EXPECT_EQ(m_rejected, 0);
    EXPECT_LT(m_advisor.questions, 40);
}

// Guards against jobs that wait forever after the advisor was unreachable or a worker rejected valid tickets.
TEST_F(Advised, goesOnAfterFailedQuestionsAndRejectedTickets)
{
    m_advisor.isUnreachable = true;
    submit("job", 2, 8, false);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.workers.starts({JobId("job"), 0, 0, 0}), 0U);
    m_advisor.isUnreachable = false;
    int left = 2;
    const auto valid = m_harness.workers.ticketIsValid;
    m_harness.workers.ticketIsValid = [&left, valid](const WorkerId &worker, const StartOrder &order) {
        return left-- <= 0 && valid(worker, order);
    };
    m_harness.runFor(seconds(10));
    EXPECT_EQ(m_harness.storedState(JobId("job")), JobState::Completed);
}

} // namespace
} // namespace coriander::workflow
