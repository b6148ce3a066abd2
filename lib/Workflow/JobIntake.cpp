#include "corianderscale/Workflow/JobIntake.h"

#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Limits of a job; far above what the deployments submit, and low enough that a job fits into a stored row. */
constexpr std::size_t MaximumSteps = 64;
constexpr std::size_t MaximumTasks = 2000;
constexpr std::size_t MaximumPayloadBytes = 4000;
constexpr std::size_t MaximumOccurrences = 1000;
/** Time after which a refused job is handed in again; a backlog takes longer to get smaller than a fault of the store.
 */
constexpr Duration BacklogRetryAfter = std::chrono::seconds(5);

CallAnswer noSuchJob()
{
    return {CallOutcome::NoSuchJob, "no such job", {}, {}, {}};
}

std::optional<std::string> checkStep(const JobSpec &job, std::size_t index)
{
    const StepSpec &step = job.steps[index];
    if (step.tasks == 0) {
        return fmt::format("step {}: expected at least one task", index);
    }
    const bool negative = step.perTask.cores.count() < 0 || step.perTask.memory.count() < 0
        || step.perTask.accelerators.count() < 0 || step.estimate < Duration(0);
    if (negative) {
        return fmt::format("step {}: expected amounts of at least 0", index);
    }
    const bool forward
        = std::any_of(step.after.begin(), step.after.end(), [index](std::size_t earlier) { return earlier >= index; });
    if (forward) {
        return fmt::format("step {}: may come only after earlier steps", index);
    }
    return std::nullopt;
}

} // namespace

const char *callOutcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::Unauthorized:
        return "unauthorized";
    case CallOutcome::NoSuchQueue:
        return "no-such-queue";
    case CallOutcome::NoSuchJob:
        return "no-such-job";
    case CallOutcome::Invalid:
        return "invalid";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::Unclear:
        return "unclear";
    }
    return "unknown";
}

std::optional<CallOutcome> callOutcomeFromName(const std::string &name)
{
    for (const CallOutcome outcome : {CallOutcome::Done,
                                      CallOutcome::Unauthorized,
                                      CallOutcome::NoSuchQueue,
                                      CallOutcome::NoSuchJob,
                                      CallOutcome::Invalid,
                                      CallOutcome::Refused,
                                      CallOutcome::Unclear}) {
        if (name == callOutcomeName(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkJob(const JobSpec &job)
{
    if (job.steps.empty() || job.steps.size() > MaximumSteps) {
        return fmt::format("expected 1 to {} steps", MaximumSteps);
    }
    if (job.payload.size() > MaximumPayloadBytes) {
        return fmt::format("expected a payload of at most {} bytes", MaximumPayloadBytes);
    }
    if (job.occurrences > MaximumOccurrences) {
        return fmt::format("expected at most {} occurrences", MaximumOccurrences);
    }
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (const std::optional<std::string> fault = checkStep(job, i)) {
            return fault;
        }
        tasks += std::min(job.steps[i].tasks, MaximumTasks + 1);
    }
    if (tasks > MaximumTasks) {
        return fmt::format("expected at most {} tasks", MaximumTasks);
    }
    return std::nullopt;
}

Duration callTimeLimit(const Catalogue *catalogue,
                       const std::string &host,
                       const std::string &path,
                       Duration callerTimeout)
{
    const QueueSpec *queue = catalogue == nullptr ? nullptr : catalogue->queueFor(host, path);
    if (queue == nullptr || queue->callTimeout == Duration(0)) {
        return callerTimeout;
    }
    return std::min(callerTimeout, queue->callTimeout);
}

std::optional<AdmittedCall> admitCall(const Catalogue *catalogue,
                                      const std::string &host,
                                      const std::string &path,
                                      const std::string &credential,
                                      CallAnswer &answer)
{
    if (catalogue == nullptr) {
        answer = {CallOutcome::Refused, "no configuration is known yet", std::chrono::seconds(1), {}, {}};
        return std::nullopt;
    }
    const QueueSpec *queue = catalogue->queueFor(host, path);
    if (queue == nullptr) {
        answer = {CallOutcome::NoSuchQueue, "no queue takes this host and path", {}, {}, {}};
        return std::nullopt;
    }
    const OrganisationSpec *organisation = catalogue->holderOf(credential);
    if (organisation == nullptr && !queue->open) {
        answer = {CallOutcome::Unauthorized, "the credential is unknown", {}, {}, {}};
        return std::nullopt;
    }
    return AdmittedCall{*queue, organisation == nullptr ? OrganisationId() : organisation->id};
}

/** A write for a caller; sent again until its outcome is known or its deadline is near. */
struct JobIntake::Write {
    const char *event = "";
    JobId job;
    RowChange change;
    MonotonicTime deadline;
    MonotonicTime startedAt;
    CallDone done;
    /** The answer once the write is stored. */
    CallAnswer success;
    /** Called after a conflict with the current rows; returns whether the call starts over and answers by itself. If
     * empty, or if it returns false, an earlier write took effect. */
    std::function<bool(const std::vector<Row> &)> startOver;
    /** Whether an earlier attempt may have taken effect. */
    bool unclear = false;
    int attempts = 0;
};

JobIntake::JobIntake(Times times, Clock clock, RowStore &store, ScheduleAfter scheduleAfter)
    : m_times(times)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_scheduleAfter(std::move(scheduleAfter))
{
}

Duration JobIntake::timeoutUntil(MonotonicTime deadline) const
{
    return std::clamp(deadline - m_clock.now(), Duration(std::chrono::milliseconds(1)), m_times.storeCallTimeout);
}

std::shared_ptr<JobIntake::Write> JobIntake::makeWrite(const char *event,
                                                       const JobId &job,
                                                       MonotonicTime deadline,
                                                       CallDone done) const
{
    const auto write = std::make_shared<Write>();
    write->event = event;
    write->job = job;
    write->deadline = deadline;
    write->startedAt = m_clock.now();
    write->done = std::move(done);
    return write;
}

void JobIntake::submit(const JobSpec &job, MonotonicTime deadline, CallDone done)
{
    const auto write = makeWrite("job-submitted", job.id, deadline, done);
    const StateRecord state{JobState::Queued, job.queue, job.organisation, job.acceptedAt};
    write->change.expected = {{StatesTable, job.id.value(), RowVersion(0)}};
    write->change.written = {{JobsTable, job.id.value(), encodeJob(job), {}, false},
                             {StatesTable, job.id.value(), encodeState(state), {}, false},
                             {WaitingTable, waitingKey(job.queue, job.id), "", {}, false}};
    write->startOver = [this, job, deadline, done = std::move(done)](const std::vector<Row> &current) {
        ProtocolError error;
        const auto record = current.empty() ? std::nullopt : decodeState(current.front().value, error);
        if (!record || !record->withdrawn) {
            return false;
        }
        storeAsCancelled(job, current.front().version, deadline, done);
        return true;
    };
    send(write);
}

void JobIntake::refuseUnlessKnown(const JobId &job, MonotonicTime deadline, CallDone done)
{
    show(job, deadline, [done = std::move(done)](const CallAnswer &shown) {
        if (shown.outcome == CallOutcome::NoSuchJob) {
            done({CallOutcome::Refused, "too many jobs have not ended", BacklogRetryAfter, {}, {}});
        } else if (shown.outcome == CallOutcome::Done) {
            done({CallOutcome::Done, "it is known already", {}, {}, {}});
        } else {
            // An earlier submission of the job may have been stored.
            done({CallOutcome::Unclear, shown.reason, {}, {}, {}});
        }
    });
}

void JobIntake::storeAsCancelled(const JobSpec &job, RowVersion withdrawn, MonotonicTime deadline, CallDone done)
{
    const auto write = makeWrite("withdrawn-job-submitted", job.id, deadline, std::move(done));
    const StateRecord state{JobState::Cancelled, job.queue, job.organisation, m_clock.wallNow()};
    write->change.expected = {{StatesTable, job.id.value(), withdrawn}};
    write->change.written = {{StatesTable, job.id.value(), encodeState(state), {}, false}};
    send(write);
}

void JobIntake::cancel(const JobId &job, MonotonicTime deadline, CallDone done)
{
    const auto forward = [this, job, deadline, done](const std::optional<RowPage> &page, const StateError &error) {
        if (!page) {
            done({CallOutcome::Refused, error.reason, m_times.retryAfter, {}, {}});
            return;
        }
        if (page->rows.empty()) {
            withdraw(job, deadline, done);
            return;
        }
        ProtocolError decodeError;
        const auto record = decodeState(page->rows.front().value, decodeError);
        if (!record) {
            done({CallOutcome::Refused, decodeError.reason, m_times.retryAfter, {}, {}});
            return;
        }
        if (record->withdrawn) {
            done(noSuchJob());
            return;
        }
        if (isFinal(record->state)) {
            done({CallOutcome::Done, jobStateName(record->state), {}, record->state, {}});
            return;
        }
        const auto write = makeWrite("cancel-requested", job, deadline, done);
        write->change.expected = {{StatesTable, job.value(), page->rows.front().version}};
        write->change.written = {{JobsTable, cancelKey(job), "", {}, false}};
        write->startOver = [this, job, deadline, done](const std::vector<Row> &) {
            cancel(job, deadline, done);
            return true;
        };
        send(write);
    };
    m_store.read(StatesTable, job.value(), keyAfter(job.value()), timeoutUntil(deadline), forward);
}

void JobIntake::withdraw(const JobId &job, MonotonicTime deadline, const CallDone &done)
{
    const auto write = makeWrite("job-withdrawn", job, deadline, done);
    write->success = noSuchJob();
    const StateRecord state{JobState::Cancelled, {}, {}, m_clock.wallNow(), true};
    write->change.expected = {{StatesTable, job.value(), RowVersion(0)}};
    write->change.written = {{StatesTable, job.value(), encodeState(state), {}, false}};
    // The submission, or an earlier sending of this write, took effect meanwhile.
    write->startOver = [this, job, deadline, done](const std::vector<Row> &) {
        cancel(job, deadline, done);
        return true;
    };
    send(write);
}

void JobIntake::send(const std::shared_ptr<Write> &write)
{
    ++write->attempts;
    m_store.change(write->change, timeoutUntil(write->deadline), [this, write](const ChangeResult &result) {
        finish(write, result);
    });
}

void JobIntake::scheduleRetry(const std::shared_ptr<Write> &write)
{
    m_scheduleAfter(m_times.retryPause, [this, write] { send(write); });
}

void JobIntake::finish(const std::shared_ptr<Write> &write, const ChangeResult &result)
{
    const MonotonicTime now = m_clock.now();
    CallAnswer answer = write->success;
    bool stored = false;
    const bool timeLeft = now + m_times.storeCallTimeout / 2 < write->deadline;
    switch (result.outcome) {
    case ChangeOutcome::Committed:
        stored = true;
        break;
    case ChangeOutcome::Conflict:
        if (write->startOver && write->startOver(result.current)) {
            return;
        }
        stored = true;
        answer.reason = "it is known already";
        break;
    case ChangeOutcome::NotDone:
        // Retries once without a pause, so that a refusal is not delayed.
        if (!write->unclear && write->attempts < 2) {
            send(write);
            return;
        }
        if (write->unclear && timeLeft) {
            scheduleRetry(write);
            return;
        }
        answer.outcome = write->unclear ? CallOutcome::Unclear : CallOutcome::Refused;
        answer.reason = result.reason;
        answer.retryAfter = m_times.retryAfter;
        break;
    case ChangeOutcome::Unknown:
        write->unclear = true;
        if (timeLeft) {
            scheduleRetry(write);
            return;
        }
        answer.outcome = CallOutcome::Unclear;
        answer.reason = result.reason;
        break;
    }
    logEvent(LogLevel::Info,
             write->event,
             {{"job", write->job},
              {"stored", stored},
              {"version", result.version},
              {"sendings", write->attempts},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - write->startedAt).count()},
              {"reason", answer.reason}});
    write->done(answer);
}

void JobIntake::show(const JobId &job, MonotonicTime deadline, CallDone done)
{
    m_store.read(StatesTable,
                 job.value(),
                 keyAfter(job.value()),
                 timeoutUntil(deadline),
                 [this, done = std::move(done)](const std::optional<RowPage> &page, const StateError &error) {
                     if (!page) {
                         done({CallOutcome::Refused, error.reason, m_times.retryAfter, {}, {}});
                         return;
                     }
                     if (page->rows.empty()) {
                         done(noSuchJob());
                         return;
                     }
                     ProtocolError decodeError;
                     const auto record = decodeState(page->rows.front().value, decodeError);
                     if (!record) {
                         done({CallOutcome::Refused, decodeError.reason, m_times.retryAfter, {}, {}});
                         return;
                     }
                     if (record->withdrawn) {
                         done(noSuchJob());
                         return;
                     }
                     done({CallOutcome::Done, {}, {}, record->state, {}});
                 });
}

void JobIntake::countWaiting(const QueueName &queue, MonotonicTime deadline, CallDone done)
{
    countWaitingFrom(waitingPrefix(queue), queue, 0, deadline, std::move(done));
}

void JobIntake::countWaitingFrom(
    const std::string &from, const QueueName &queue, std::size_t counted, MonotonicTime deadline, CallDone done)
{
    // '0' follows '/' in byte order, so this is the upper bound of the keys of the queue.
    const std::string end = queue.value() + "0";
    m_store.read(WaitingTable,
                 from,
                 end,
                 timeoutUntil(deadline),
                 [this, queue, counted, deadline, done = std::move(done)](const std::optional<RowPage> &page,
                                                                          const StateError &error) {
                     if (!page) {
                         done({CallOutcome::Refused, error.reason, m_times.retryAfter, {}, {}});
                         return;
                     }
                     const std::size_t all = counted + page->rows.size();
                     if (page->hasMore && !page->rows.empty()) {
                         countWaitingFrom(keyAfter(page->rows.back().key), queue, all, deadline, done);
                         return;
                     }
                     done({CallOutcome::Done, {}, {}, {}, all});
                 });
}

} // namespace coriander::workflow
