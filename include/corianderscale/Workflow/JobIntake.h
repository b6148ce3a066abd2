#pragma once

#include "corianderscale/Workflow/Catalogue.h"
#include "corianderscale/Workflow/Records.h"
#include "corianderscale/Workflow/RowStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** Outcome of a caller's call. */
enum class CallOutcome {
    Done,
    /** The credential is unknown. */
    Unauthorized,
    NoSuchQueue,
    NoSuchJob,
    /** The body is not a valid job. */
    Invalid,
    /** Nothing was done; the caller may retry after CallAnswer::retryAfter. */
    Refused,
    /** It is unknown whether the call took effect. */
    Unclear,
};

/** The name of an outcome in logs, labels and messages. */
const char *callOutcomeName(CallOutcome outcome);
/** No value if no outcome has this name. */
std::optional<CallOutcome> callOutcomeFromName(const std::string &name);

struct CallAnswer {
    CallOutcome outcome = CallOutcome::Done;
    std::string reason;
    /** Time after which the caller may retry; set with Refused. */
    Duration retryAfter{};
    /** State of the job that was asked for. */
    std::optional<JobState> state;
    /** Number of waiting jobs in the queue that was asked for. */
    std::optional<std::size_t> waiting;
};

using CallDone = std::function<void(const CallAnswer &)>;

/** A call whose queue and organisation were found. */
struct AdmittedCall {
    QueueSpec queue;
    /** Empty for a call to an open queue whose credential is missing or unknown. */
    OrganisationId organisation;
};

/** Time limit of a call: @p callerTimeout, or the call timeout of its queue if that is known and shorter. Thread
 * safety: pure. */
Duration callTimeLimit(const Catalogue *catalogue,
                       const std::string &host,
                       const std::string &path,
                       Duration callerTimeout);

/** Finds the queue of a call and checks its credential. Returns no value, and the answer in @p answer, if the call is
 * rejected. Thread safety: pure. */
std::optional<AdmittedCall> admitCall(const Catalogue *catalogue,
                                      const std::string &host,
                                      const std::string &path,
                                      const std::string &credential,
                                      CallAnswer &answer);

/**
 * Stores new jobs and cancel requests, and shows states of jobs. Runs on every instance, whether it owns the term or
 * not.
 *
 * A job is accepted once its row is stored. Submissions are idempotent: a second one with the same id adds no job.
 * Thread safety: only on the thread of the event loop.
 */
class JobIntake
{
public:
    struct Times {
        /** Timeout of one call to the store. */
        Duration storeCallTimeout = std::chrono::milliseconds(700);
        /** Pause before a write whose outcome is unclear is sent again. */
        Duration retryPause = std::chrono::milliseconds(150);
        /** Time after which a refused caller may retry; by then the balancer no longer sends connections to an instance
         * that cannot reach the store. */
        Duration retryAfter = std::chrono::seconds(1);
    };

    /** Calls a function after a pause, on the thread of the event loop. */
    using ScheduleAfter = std::function<void(Duration, std::function<void()>)>;

    JobIntake(Times times, Clock clock, RowStore &store, ScheduleAfter scheduleAfter);

    /** Stores a job; answers by @p deadline at the latest. Precondition: the job is valid, see checkJob(). */
    void submit(const JobSpec &job, MonotonicTime deadline, CallDone done);
    /** Answers a submission that is not stored because there are too many open jobs. A job that was stored before is
     * accepted all the same. */
    void refuseUnlessKnown(const JobId &job, MonotonicTime deadline, CallDone done);
    /** Cancels a job, also one whose submission is still under way: after any answer but Refused and Unclear nothing of
     * it is started. NoSuchJob means that no submission had taken effect, and none will. */
    void cancel(const JobId &job, MonotonicTime deadline, CallDone done);
    void show(const JobId &job, MonotonicTime deadline, CallDone done);
    void countWaiting(const QueueName &queue, MonotonicTime deadline, CallDone done);

private:
    struct Write;

    std::shared_ptr<Write> makeWrite(const char *event, const JobId &job, MonotonicTime deadline, CallDone done) const;
    /** Stores a job that was cancelled before; @p withdrawn is the version of its state. */
    void storeAsCancelled(const JobSpec &job, RowVersion withdrawn, MonotonicTime deadline, CallDone done);
    /** Stores that a job is cancelled which has no row, because its submission may still take effect. */
    void withdraw(const JobId &job, MonotonicTime deadline, const CallDone &done);
    /** Counts the waiting jobs of a queue from the key @p from on; adds them to @p counted. */
    void countWaitingFrom(
        const std::string &from, const QueueName &queue, std::size_t counted, MonotonicTime deadline, CallDone done);
    void send(const std::shared_ptr<Write> &write);
    void scheduleRetry(const std::shared_ptr<Write> &write);
    void finish(const std::shared_ptr<Write> &write, const ChangeResult &result);
    Duration timeoutUntil(MonotonicTime deadline) const;

    Times m_times;
    Clock m_clock;
    RowStore &m_store;
    ScheduleAfter m_scheduleAfter;
};

/** The reason why a job is invalid, or no value for a valid job. */
std::optional<std::string> checkJob(const JobSpec &job);

} // namespace coriander::workflow
