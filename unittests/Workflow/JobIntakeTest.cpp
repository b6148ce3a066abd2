#include "corianderscale/Workflow/JobIntake.h"

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

class Intake : public ::testing::Test
{
protected:
    Intake()
        : m_store(m_timeline)
        , m_intake({}, m_timeline.clock(), m_store, [this](Duration pause, std::function<void()> next) {
            m_timeline.after(pause, std::move(next));
        })
    {
    }

    static JobSpec job()
    {
        JobSpec spec;
        spec.id = JobId("5c0e7a21d94b36f8");
        spec.queue = QueueName("q");
        spec.steps.emplace_back();
        return spec;
    }

    CallAnswer submit()
    {
        std::optional<CallAnswer> answer;
        m_intake.submit(job(), m_timeline.now() + seconds(2), [&answer](const CallAnswer &given) { answer = given; });
        m_timeline.runFor(seconds(10));
        EXPECT_TRUE(answer);
        return answer.value_or(CallAnswer{});
    }

    Timeline m_timeline;
    FakeRowStore m_store;
    JobIntake m_intake;
};

// Guards against an acceptance before the job is stored, and against a second job under the same id.
TEST_F(Intake, jobIsStoredOnce)
{
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    ASSERT_NE(m_store.find(JobsTable, job().id.value()), nullptr);
    ASSERT_NE(m_store.find(WaitingTable, waitingKey(job().queue, job().id)), nullptr);
    const RowVersion version = m_store.find(JobsTable, job().id.value())->version;
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    EXPECT_EQ(m_store.find(JobsTable, job().id.value())->version, version);
}

// Guards against a job that runs again because its submission arrives after it has ended.
TEST_F(Intake, lateDuplicateOfAnEndedJobStoresNothing)
{
    submit();
    m_store.apply({{}, {}, {{JobsTable, job().id.value()}}});
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    EXPECT_EQ(m_store.find(JobsTable, job().id.value()), nullptr);
}

// Guards against a refusal that is delayed or has no retry time while the store is unreachable.
TEST_F(Intake, refusesAtOnceWithoutTheStore)
{
    m_store.isUnreachable = true;
    const MonotonicTime before = m_timeline.now();
    std::optional<MonotonicTime> answeredAt;
    CallAnswer answer;
    m_intake.submit(job(), before + seconds(2), [&](const CallAnswer &given) {
        answer = given;
        answeredAt = m_timeline.now();
    });
    m_timeline.runFor(seconds(3));
    EXPECT_EQ(answer.outcome, CallOutcome::Refused);
    EXPECT_GE(answer.retryAfter, seconds(1));
    ASSERT_TRUE(answeredAt);
    EXPECT_LT(*answeredAt - before, milliseconds(100));
}

// Guards against a refusal of a job that was stored. After a lost answer the write is retried until its outcome is
// known, else the outcome is reported as unclear.
TEST_F(Intake, writeWithLostAnswerIsNotReportedAsRefused)
{
    m_store.responseLossProbability = 1;
    m_timeline.after(milliseconds(300), [this] { m_store.responseLossProbability = 0; });
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    m_store.rows.clear();
    m_store.requestLost = 1;
    EXPECT_EQ(submit().outcome, CallOutcome::Unclear);
}

// Guards against retries without a pause that flood an unreachable store.
TEST_F(Intake, unclearWriteIsRepeatedWithPauses)
{
    m_store.requestLost = 1;
    m_timeline.after(milliseconds(10), [this] { m_store.isUnreachable = true; });
    EXPECT_EQ(submit().outcome, CallOutcome::Unclear);
    EXPECT_LE(m_store.changes, 15U);
}

// Guards against cancel requests for unknown or ended jobs whose rows are never removed.
TEST_F(Intake, cancelNeedsAnOpenJob)
{
    const auto cancel = [this](const JobId &id) {
        CallAnswer answer;
        m_intake.cancel(id, m_timeline.now() + seconds(2), [&answer](const CallAnswer &given) { answer = given; });
        m_timeline.runFor(seconds(3));
        return answer.outcome;
    };
    const JobId unknown("5c0e7a21d94b36f9");
    EXPECT_EQ(cancel(unknown), CallOutcome::NoSuchJob);
    EXPECT_EQ(m_store.find(JobsTable, cancelKey(unknown)), nullptr);
    submit();
    EXPECT_EQ(cancel(job().id), CallOutcome::Done);
    EXPECT_NE(m_store.find(JobsTable, cancelKey(job().id)), nullptr);
    m_store.apply({{},
                   {{StatesTable, job().id.value(), encodeState({JobState::Completed, {}, {}, {}}), {}, false}},
                   {{JobsTable, cancelKey(job().id)}}});
    EXPECT_EQ(cancel(job().id), CallOutcome::Done);
    EXPECT_EQ(m_store.find(JobsTable, cancelKey(job().id)), nullptr);
}

/** Cancels of a job whose submission has no known outcome. */
class Withdrawal : public Intake
{
protected:
    CallAnswer cancel()
    {
        std::optional<CallAnswer> answer;
        m_intake.cancel(
            job().id, m_timeline.now() + seconds(2), [&answer](const CallAnswer &given) { answer = given; });
        for (int i = 0; i < 300 && !answer; ++i) {
            m_timeline.runFor(milliseconds(10));
        }
        EXPECT_TRUE(answer);
        return answer.value_or(CallAnswer{});
    }

    CallAnswer show()
    {
        CallAnswer answer;
        m_intake.show(job().id, m_timeline.now() + seconds(2), [&answer](const CallAnswer &given) { answer = given; });
        m_timeline.runFor(milliseconds(100));
        return answer;
    }

    bool hasJobRow() const
    {
        return m_store.find(JobsTable, job().id.value()) != nullptr;
    }
};

// Guards against a job that runs after its cancelling was acknowledged: the store carries out its submission late.
TEST_F(Withdrawal, lateSubmissionOfACancelledJobStoresNothing)
{
    m_store.delayedProbability = 1;
    CallAnswer submitted;
    m_intake.submit(job(), m_timeline.now() + milliseconds(700), [&](const CallAnswer &given) { submitted = given; });
    m_timeline.runFor(milliseconds(750));
    ASSERT_EQ(submitted.outcome, CallOutcome::Unclear);
    m_store.delayedProbability = 0;
    EXPECT_EQ(cancel().outcome, CallOutcome::NoSuchJob);
    m_timeline.runFor(seconds(10));
    EXPECT_FALSE(hasJobRow());
    EXPECT_EQ(show().outcome, CallOutcome::NoSuchJob);
    EXPECT_EQ(cancel().outcome, CallOutcome::NoSuchJob);
}

// The same while another instance still sends the submission. Its caller learns that the job is known, and cancelled.
TEST_F(Withdrawal, submissionAfterTheCancelIsShownAsCancelled)
{
    EXPECT_EQ(cancel().outcome, CallOutcome::NoSuchJob);
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    EXPECT_FALSE(hasJobRow());
    EXPECT_EQ(m_store.find(WaitingTable, waitingKey(job().queue, job().id)), nullptr);
    EXPECT_EQ(show().state, JobState::Cancelled);
    EXPECT_EQ(submit().outcome, CallOutcome::Done);
    EXPECT_EQ(show().state, JobState::Cancelled);
}

// Guards against a cancel that is lost between reading the state and writing: the submission takes effect in between.
TEST_F(Withdrawal, submissionDuringTheCancelIsCancelled)
{
    m_intake.submit(job(), m_timeline.now() + seconds(2), [](const CallAnswer &) {});
    EXPECT_EQ(cancel().outcome, CallOutcome::Done);
    EXPECT_NE(m_store.find(JobsTable, cancelKey(job().id)), nullptr);
}

// Guards against an acknowledged cancel that is not stored, and against a cancel that conflicts with itself for ever.
TEST_F(Withdrawal, isAcknowledgedOnlyWhenStored)
{
    m_store.responseLossProbability = 1;
    m_timeline.after(milliseconds(300), [this] { m_store.responseLossProbability = 0; });
    EXPECT_EQ(cancel().outcome, CallOutcome::NoSuchJob);
    m_store.rows.clear();
    m_store.requestLost = 1;
    EXPECT_EQ(cancel().outcome, CallOutcome::Unclear);
    m_store.requestLost = 0;
    m_store.rows.clear();
    m_store.apply({{}, {{StatesTable, job().id.value(), "unreadable", {}, false}}, {}});
    EXPECT_EQ(cancel().outcome, CallOutcome::Refused);
}

// Guards against answers that differ from the stored states and counts.
TEST_F(Intake, showsStatesAndCounts)
{
    submit();
    CallAnswer shown;
    CallAnswer counted;
    CallAnswer other;
    const MonotonicTime deadline = m_timeline.now() + seconds(2);
    m_intake.show(job().id, deadline, [&shown](const CallAnswer &answer) { shown = answer; });
    m_intake.countWaiting(job().queue, deadline, [&counted](const CallAnswer &answer) { counted = answer; });
    m_intake.countWaiting(QueueName("q1"), deadline, [&other](const CallAnswer &answer) { other = answer; });
    m_timeline.runFor(seconds(1));
    EXPECT_EQ(shown.state, JobState::Queued);
    EXPECT_EQ(counted.waiting, 1U);
    EXPECT_EQ(other.waiting, 0U);
}

// Guards against calls that are admitted with an unknown credential or to a queue that does not exist.
TEST(Admission, queueAndCredentialDecide)
{
    Catalogue catalogue;
    QueueSpec queue;
    queue.name = QueueName("closed");
    queue.host = "a";
    queue.prefix = "/x/";
    catalogue.queues.push_back(queue);
    queue.name = QueueName("open");
    queue.prefix = "/x/open/";
    queue.open = true;
    catalogue.queues.push_back(queue);
    catalogue.organisations.push_back({OrganisationId("org"), {"key"}, Accelerators()});
    catalogue.index();
    CallAnswer answer;
    EXPECT_FALSE(admitCall(nullptr, "a", "/x/1", "key", answer));
    EXPECT_EQ(answer.outcome, CallOutcome::Refused);
    EXPECT_FALSE(admitCall(&catalogue, "a", "/y/1", "key", answer));
    EXPECT_EQ(answer.outcome, CallOutcome::NoSuchQueue);
    EXPECT_FALSE(admitCall(&catalogue, "a", "/x/1", "other", answer));
    EXPECT_EQ(answer.outcome, CallOutcome::Unauthorized);
    EXPECT_EQ(admitCall(&catalogue, "a", "/x/1", "key", answer)->organisation, OrganisationId("org"));
    EXPECT_EQ(admitCall(&catalogue, "a", "/x/open/1", "", answer)->queue.name, QueueName("open"));
}

// Guards against a count that ends with the first page of the store, so that a long queue looks short.
TEST_F(Intake, waitingJobsBeyondOnePageAreCounted)
{
    m_store.rowsPerPage = 10;
    const QueueName queue("q");
    for (int i = 0; i < 35; ++i) {
        m_store.apply({{}, {{WaitingTable, waitingKey(queue, JobId(std::to_string(i))), "", {}, false}}, {}});
    }
    m_store.apply({{}, {{WaitingTable, waitingKey(QueueName("q2"), JobId("1")), "", {}, false}}, {}});
    CallAnswer answer;
    m_intake.countWaiting(queue, m_timeline.now() + seconds(1), [&answer](const CallAnswer &given) { answer = given; });
    m_timeline.runFor(seconds(2));
    EXPECT_EQ(answer.waiting, 35U);
}

// Guards against a call that takes longer than its queue allows.
TEST(Admission, callEndsWithTheTimeOfItsQueue)
{
    Catalogue catalogue;
    QueueSpec queue;
    queue.name = QueueName("q");
    queue.host = "a";
    queue.prefix = "/x/";
    catalogue.queues.push_back(queue);
    queue.name = QueueName("short");
    queue.prefix = "/x/short/";
    queue.callTimeout = seconds(2);
    catalogue.queues.push_back(queue);
    catalogue.index();
    EXPECT_EQ(callTimeLimit(nullptr, "a", "/x/1", seconds(3)), seconds(3));
    EXPECT_EQ(callTimeLimit(&catalogue, "a", "/other", seconds(3)), seconds(3));
    EXPECT_EQ(callTimeLimit(&catalogue, "a", "/x/1", seconds(3)), seconds(3));
    EXPECT_EQ(callTimeLimit(&catalogue, "a", "/x/short/1", seconds(3)), seconds(2));
    EXPECT_EQ(callTimeLimit(&catalogue, "a", "/x/short/1", seconds(1)), seconds(1));
}

// Guards against accepting jobs that can never complete or that do not fit into a row.
TEST(JobCheck, impossibleJobsAreRefused)
{
    JobSpec job;
    EXPECT_TRUE(checkJob(job));
    job.steps.emplace_back();
    EXPECT_FALSE(checkJob(job));
    job.steps[0].after = {0};
    EXPECT_TRUE(checkJob(job));
    job.steps[0].after.clear();
    job.steps[0].tasks = 0;
    EXPECT_TRUE(checkJob(job));
    job.steps[0].tasks = 1000000;
    EXPECT_TRUE(checkJob(job));
    job.steps[0].tasks = 1;
    job.payload.assign(5000, 'x');
    EXPECT_TRUE(checkJob(job));
}

} // namespace
} // namespace coriander::workflow
