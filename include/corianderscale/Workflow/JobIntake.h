#pragma once

#include "corianderscale/Workflow/Catalogue.h"
#include "corianderscale/Workflow/Records.h"
#include "corianderscale/Workflow/RowStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** How a call is to be answered. */
enum class CallOutcome {
    Done,
    /** The credential is unknown. */
    Unauthorized,
    NoSuchQueue,
    NoSuchJob,
    /** The body is no valid job. */
    Invalid,
    /** Nothing was done; the caller may come again after retryAfter. */
    Refused,
    /** It may have been done, or not. */
    Unclear,
};

struct CallAnswer {
    CallOutcome outcome = CallOutcome::Done;
    std::string reason;
    /** With Refused. */
    Duration retryAfter{};
    /** Of a job that was asked for. */
    std::optional<JobState> state;
    /** Of a queue that was asked for. */
    std::optional<std::size_t> waiting;
};

using CallDone = std::function<void(const CallAnswer &)>;

/** A call whose queue and caller are known. */
struct AdmittedCall {
    QueueSpec queue;
    /** Empty on an open queue without a credential. */
    OrganisationId organisation;

    /** How long the call may take when its caller waits for @p callerWaits. */
    Duration allowedTime(Duration callerWaits) const;
};

/** Finds the queue of a call and checks its credential; no value with how to answer. Thread safety: pure. */
std::optional<AdmittedCall> admitCall(const Catalogue *catalogue,
                                      const std::string &host,
                                      const std::string &path,
                                      const std::string &credential,
                                      CallAnswer &answer);

/**
 * Stores new jobs and cancel requests and shows jobs; on every instance, owner or not.
 *
 * A job is accepted once its row is stored. A job that comes again under its id stays one job.
 * Thread safety: only on the thread of the event loop.
 */
class JobIntake
{
public:
    struct Times {
        /** How long one call to the store may take. */
        Duration callLimit = std::chrono::milliseconds(700);
        /** Pause before a write whose outcome is unclear is sent again. */
        Duration retryPause = std::chrono::milliseconds(150);
        /** When a caller is told to come again; by then the balancer has taken out an instance without the store. */
        Duration retryAfter = std::chrono::seconds(1);
    };

    /** Calls a function after a pause, on the thread of the event loop. */
    using Later = std::function<void(Duration, std::function<void()>)>;

    JobIntake(Times times, Clock clock, RowStore &store, Later later);

    /** Answers at the latest at @p deadline. Precondition: the job is valid, see checkJob(). */
    void submit(const JobSpec &job, MonotonicTime deadline, CallDone done);
    void cancel(const JobId &job, MonotonicTime deadline, CallDone done);
    void show(const JobId &job, MonotonicTime deadline, CallDone done);
    void countWaiting(const QueueName &queue, MonotonicTime deadline, CallDone done);

private:
    struct Write;

    void send(const std::shared_ptr<Write> &write);
    void sendLater(const std::shared_ptr<Write> &write);
    void finish(const std::shared_ptr<Write> &write, const ChangeResult &result);
    Duration limitUntil(MonotonicTime deadline) const;

    Times m_times;
    Clock m_clock;
    RowStore &m_store;
    Later m_later;
};

/** Why a job can't be taken, or no value for a valid one. */
std::optional<std::string> checkJob(const JobSpec &job);

} // namespace coriander::workflow
