#include <functional>

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** A job whose queue is removed from the configuration and added again. */
class RemovedQueue : public ::testing::Test
{
protected:
    RemovedQueue()
    {
        m_harness.addWorkers(6);
        m_harness.startOwner();
        m_harness.runFor(seconds(1));
    }

    static TaskKey task(const std::string &job, std::size_t step, std::size_t index)
    {
        return {JobId(job), 0, step, index};
    }

    /** The configuration without the queue q1. */
    std::shared_ptr<const Catalogue> withoutQueue() const
    {
        auto reduced = std::make_shared<Catalogue>(*m_harness.catalogue);
        std::erase_if(reduced->queues, [](const QueueSpec &queue) { return queue.name == QueueName("q1"); });
        reduced->index();
        return reduced;
    }

    /** The configuration in which @p change was made to the queue q1. */
    std::shared_ptr<const Catalogue> withQueue(const std::function<void(QueueSpec &)> &change) const
    {
        auto changed = std::make_shared<Catalogue>(*m_harness.catalogue);
        change(changed->queues.at(1));
        changed->index();
        return changed;
    }

    /** Replaces the owner; the next one begins with the configuration @p catalogue. */
    void replaceOwner(std::shared_ptr<const Catalogue> catalogue)
    {
        const auto complete = std::exchange(m_harness.catalogue, std::move(catalogue));
        m_harness.endOwner(false);
        m_harness.startOwner();
        m_harness.catalogue = complete;
    }

    /** A job of two steps, one after the other. */
    JobSpec chain()
    {
        std::vector<StepSpec> steps{stepOf(2, 1, 1), stepOf(2, 1, 1)};
        steps[1].after = {0};
        return m_harness.job("j", 1, steps);
    }

    std::optional<JobSpec> storedJob() const
    {
        ProtocolError error;
        const Row *row = m_harness.store.find(JobsTable, "j");
        return row == nullptr ? std::nullopt : decodeJob(row->value, error);
    }

    std::size_t startsOf(const std::string &job) const
    {
        return m_harness.workers.starts(task(job, 0, 0));
    }

    EngineHarness m_harness;
};

// Guards against an accepted job that stands still because its queue was removed, or replaced by one of another name.
TEST_F(RemovedQueue, acceptedJobIsFinished)
{
    m_harness.submit(chain(), {.work = seconds(2)});
    m_harness.runFor(seconds(1));
    m_harness.engine->setCatalogue(withoutQueue());
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// The same when the owner is replaced after the queue, before the job is known to any owner, or between the two.
TEST_F(RemovedQueue, acceptedJobIsFinishedByTheNextOwner)
{
    m_harness.submit(chain(), {.work = seconds(2)});
    m_harness.runFor(seconds(1));
    m_harness.engine->setCatalogue(withoutQueue());
    replaceOwner(withoutQueue());
    m_harness.runFor(seconds(1));
    m_harness.endOwner(false);
    JobSpec later = chain();
    later.id = JobId("k");
    m_harness.submit(later, {.work = seconds(2)});
    replaceOwner(withoutQueue());
    m_harness.runFor(seconds(10));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
    EXPECT_EQ(m_harness.storedState(JobId("k")), JobState::Completed);
}

// Guards against a job that the next owner runs by an old policy of its queue, which may name a pool that is gone; and
// against jobs that an earlier version stored without a policy.
TEST_F(RemovedQueue, newestPolicyIsStoredWithTheJob)
{
    JobSpec spec = chain();
    spec.policy.reset();
    m_harness.submit(spec, {.work = seconds(20)});
    m_harness.runFor(seconds(1));
    ASSERT_TRUE(storedJob());
    EXPECT_EQ(storedJob()->policy, QueuePolicy(*m_harness.catalogue->queue(QueueName("q1"))));
    const auto changed = withQueue([](QueueSpec &queue) {
        queue.service = ServiceName("other");
        queue.maximumAttempts = 2;
    });
    m_harness.engine->setCatalogue(changed);
    m_harness.runFor(seconds(1));
    EXPECT_EQ(storedJob()->policy, QueuePolicy(*changed->queue(QueueName("q1"))));
    m_harness.engine->setCatalogue(withoutQueue());
    m_harness.runFor(seconds(1));
    EXPECT_EQ(storedJob()->policy, QueuePolicy(*changed->queue(QueueName("q1"))));
}

// Guards against a row that exceeds the limit of the store once it has the policy, and is refused with all other rows.
TEST_F(RemovedQueue, policyThatDoesNotFitIntoTheRowIsNotStored)
{
    JobSpec spec = m_harness.job("j", 1, {stepOf(1, 1, 1)});
    spec.policy.reset();
    spec.payload = std::string(65536 - encodeJob(spec).size() - 10, 'p');
    ASSERT_LE(encodeJob(spec).size(), 65536U);
    m_harness.submit(spec, {.work = seconds(2)});
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
    EXPECT_EQ(m_harness.store.refusedChanges, 0U);
}

// Guards against runs that can't be preempted for a guarantee because their queue was removed.
TEST_F(RemovedQueue, runsAreStillPreemptedForAGuarantee)
{
    m_harness.submit(m_harness.job("bulk", 1, {stepOf(6, 1, 8)}), {.work = seconds(30)});
    m_harness.runFor(seconds(1));
    m_harness.engine->setCatalogue(withoutQueue());
    StepSpec gang = stepOf(2, 1, 8);
    gang.gang = true;
    m_harness.submit(m_harness.job("urgent", 0, {gang}), {.work = seconds(2)});
    m_harness.runFor(milliseconds(2900));
    EXPECT_EQ(m_harness.workers.starts(task("urgent", 0, 0)), 1U);
}

// Guards against a job that is failed after one failed run because its queue, and with it the number of attempts, was
// removed from the configuration for a while.
TEST_F(RemovedQueue, failedRunMeanwhileLeavesTheOtherAttempts)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(4), .failures = 1});
    m_harness.runFor(seconds(1));
    m_harness.engine->setCatalogue(withoutQueue());
    m_harness.runFor(seconds(4));
    EXPECT_EQ(startsOf("j"), 2U) << "the next attempt does not need the queue";
    m_harness.engine->setCatalogue(m_harness.catalogue);
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// The same when the owner that saw the failure is replaced, before the queue is added again. The job was stored by an
// earlier version and not seen by this one, so its policy is not known.
TEST_F(RemovedQueue, failedRunMeanwhileLeavesTheOtherAttemptsToTheNextOwner)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(4), .failures = 1});
    m_harness.runFor(seconds(1));
    JobSpec stored = *storedJob();
    stored.policy.reset();
    m_harness.store.apply({{}, {{JobsTable, "j", encodeJob(stored), {}, false}}, {}});
    replaceOwner(withoutQueue());
    m_harness.runFor(seconds(4));
    EXPECT_EQ(startsOf("j"), 1U) << "started without a policy";
    m_harness.engine->setCatalogue(m_harness.catalogue);
    m_harness.runFor(seconds(6));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Completed);
}

// Guards against a start beyond the number of attempts: the last attempt fails while the queue is removed.
TEST_F(RemovedQueue, jobWithoutAttemptsLeftFailsWhileTheQueueIsRemoved)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(2), .failures = 100});
    for (int i = 0; i < 1000 && startsOf("j") < 3; ++i) {
        m_harness.runFor(milliseconds(10));
    }
    m_harness.engine->setCatalogue(withoutQueue());
    EXPECT_NE(m_harness.storedState(JobId("j")), JobState::Failed);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Failed);
    m_harness.engine->setCatalogue(m_harness.catalogue);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Failed);
    EXPECT_EQ(startsOf("j"), 3U);
}

// The same when the next owner restores the job with the queue.
TEST_F(RemovedQueue, jobWithoutAttemptsLeftFailsAtTheNextOwner)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(2), .failures = 100});
    for (int i = 0; i < 1000 && startsOf("j") < 3; ++i) {
        m_harness.runFor(milliseconds(10));
    }
    m_harness.engine->setCatalogue(withoutQueue());
    m_harness.runFor(seconds(3));
    replaceOwner(m_harness.catalogue);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Failed);
    EXPECT_EQ(startsOf("j"), 3U);
}

// Guards against attempts that are counted against a limit that is not known, and a start beyond the limit once it is:
// a job without a policy has no attempts left when its queue is back.
TEST_F(RemovedQueue, jobWithoutPolicyAndAttemptsFailsWhenTheQueueIsBack)
{
    m_harness.submit(m_harness.job("j", 1, {stepOf(1, 1, 1)}), {.work = seconds(2), .failures = 100});
    for (int i = 0; i < 1000 && startsOf("j") < 3; ++i) {
        m_harness.runFor(milliseconds(10));
    }
    JobSpec stored = *storedJob();
    stored.policy.reset();
    m_harness.store.apply({{}, {{JobsTable, "j", encodeJob(stored), {}, false}}, {}});
    replaceOwner(withoutQueue());
    m_harness.runFor(seconds(3));
    EXPECT_NE(m_harness.storedState(JobId("j")), JobState::Failed);
    m_harness.engine->setCatalogue(m_harness.catalogue);
    m_harness.runFor(seconds(3));
    EXPECT_EQ(m_harness.storedState(JobId("j")), JobState::Failed);
    EXPECT_EQ(startsOf("j"), 3U);
}

} // namespace
} // namespace coriander::workflow
