#include "corianderscale/Gateway/ClaimedRun.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t AttemptIdBytes = 16;
/** An endpoint may start the attempt within this time after the claim. Short, because `not-run` is recorded after a
 * fence only once this time is over. */
constexpr std::int64_t StartWindowMs = 2000;
/** Tolerated difference between the wall clocks of gateways and endpoints. */
constexpr std::int64_t ClockMarginMs = 500;
constexpr int MaximumRetries = 3;
constexpr Duration InitialBackoff = std::chrono::milliseconds(50);
constexpr Duration MaximumBackoff = std::chrono::seconds(5);
constexpr int MaximumBackoffDoublings = 7;
/** After this time past the deadline, an unsettled run is abandoned; the next query for its key settles it. */
constexpr Duration SettleTimeout = std::chrono::minutes(10);

bool isRetryable(const std::string &code)
{
    return code == "slot-full" || code == "leaving" || code == "unreachable" || code == "unknown-service";
}

} // namespace

ClaimedRun::ClaimedRun(ClaimedRunParts &parts, ClaimedRequest request)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_version(m_request.replacedVersion)
    , m_abandonAt(std::max(m_request.deadline, parts.hooks.clock.now()) + SettleTimeout)
{
}

void ClaimedRun::scheduleDeadline()
{
    m_parts.hooks.at(m_request.deadline, [self = weak_from_this()] {
        if (const auto run = self.lock()) {
            run->respondUnknown("the deadline passed before the outcome was known; retry with the same key");
        }
    });
}

void ClaimedRun::start(SlotLease lease)
{
    scheduleDeadline();
    m_lease = std::move(lease);
    m_record.organisation = m_request.caller.organisation;
    m_record.caller = m_request.caller.caller;
    m_record.key = m_request.key;
    m_record.service = m_request.service;
    m_record.bodyDigest = contentDigest(m_request.body);
    m_record.gateway = m_parts.gateway;
    m_record.claimedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    writeClaim();
}

void ClaimedRun::settle(const RequestRecord &record, RowVersion version)
{
    scheduleDeadline();
    m_record = record;
    m_version = version;
    m_claimed = true;
    fenceAndQueryAttempt();
}

void ClaimedRun::writeClaim()
{
    m_record.state = RequestState::Claimed;
    m_record.attempt = AttemptId(m_parts.hooks.randomHex(AttemptIdBytes));
    m_record.endpoint = m_lease.endpoint;
    m_record.endpointAddress = m_lease.address;
    m_record.endpointIncarnation = m_lease.incarnation;
    m_record.startByUnixMs = toUnixMs(m_parts.hooks.clock.wallNow()) + StartWindowMs;
    m_parts.records.put(m_record, m_version, m_request.deadline, [self = shared_from_this()](const PutResult &result) {
        self->onClaim(result);
    });
}

void ClaimedRun::onClaim(const PutResult &result)
{
    if (result.outcome == PutOutcome::Committed) {
        m_claimed = true;
        m_version = result.row.version;
        logProgress("request-claimed");
        send();
        return;
    }
    m_lease.release();
    if (result.outcome == PutOutcome::Conflict) {
        if (m_claimed) {
            respondAfterConflict(result.row);
            return;
        }
        respond({ClaimedEnd::Duplicate, result.row, {}});
        end();
        return;
    }
    if (result.outcome == PutOutcome::NotWritten && !m_claimed) {
        respond({ClaimedEnd::Refused, {}, {"cut-off", Outcome::NotRun, "the store is unavailable; retry later", 1000}});
        end();
        return;
    }
    // Nothing was sent. Recording not-run settles the claim, whether or not the write of the claim took effect.
    finishWithoutAnswer(RequestState::NotRun, "cut-off", "the claim could not be written; retry later");
}

void ClaimedRun::logProgress(const char *event) const
{
    logEvent(LogLevel::Info,
             event,
             {{"key", m_record.key},
              {"organisation", m_record.organisation},
              {"caller", m_record.caller},
              {"attempt", m_record.attempt},
              {"endpoint", m_record.endpoint},
              {"state", toText(m_record.state)}});
}

void ClaimedRun::send()
{
    const Clock &clock = m_parts.hooks.clock;
    if (toUnixMs(clock.wallNow()) >= m_record.startByUnixMs || clock.now() >= m_request.deadline) {
        m_lease.release();
        finishWithoutAnswer(
            RequestState::NotRun, "too-late", "writing the claim took too long; retry with the same key");
        return;
    }
    Attempt attempt;
    attempt.id = m_record.attempt;
    attempt.service = m_record.service;
    attempt.startByUnixMs = m_record.startByUnixMs;
    attempt.body = m_request.body;
    attempt.deadline = clock.now() + m_request.runLimit;
    m_triedEndpoints.insert(m_lease.endpoint);
    if (m_retryCount == 0) {
        m_parts.retryBudget.recordSend();
    }
    m_parts.sender.send(attempt, std::move(m_lease), [self = shared_from_this()](const AttemptResult &result) {
        self->onAttempt(result);
    });
}

void ClaimedRun::onAttempt(const AttemptResult &result)
{
    switch (result.end) {
    case AttemptEnd::Answered:
        finishWithAnswer(result.status, result.body);
        return;
    case AttemptEnd::NotStarted:
    case AttemptEnd::Unsent:
        retry(result.code, result.reason);
        return;
    case AttemptEnd::Uncertain:
        fenceAndQueryAttempt();
        return;
    }
}

void ClaimedRun::retry(const std::string &code, const std::string &reason)
{
    const bool tooLate = code == "too-late" || m_parts.hooks.clock.now() >= m_request.deadline;
    if (code == "fenced") {
        finishWithoutAnswer(RequestState::NotRun, "cut-off", "another gateway recorded the request as not run");
        return;
    }
    if (tooLate || !isRetryable(code) || m_retryCount >= MaximumRetries || !m_parts.retryBudget.tryTakeRetry()) {
        finishWithoutAnswer(RequestState::NotRun, tooLate ? "too-late" : "overloaded", reason);
        return;
    }
    ++m_retryCount;
    if (auto lease = m_parts.dispatcher.tryTake(m_record.service, m_triedEndpoints)) {
        m_lease = std::move(*lease);
        writeClaim();
        return;
    }
    SlotRequest slotRequest;
    slotRequest.service = m_record.service;
    slotRequest.urgency = m_request.urgency;
    slotRequest.caller = m_request.caller;
    slotRequest.startDeadline = m_request.deadline;
    slotRequest.start = [self = shared_from_this()](SlotLease lease) {
        self->m_lease = std::move(lease);
        self->writeClaim();
    };
    slotRequest.refuse = [self = shared_from_this()](const ErrorBody &error) {
        self->finishWithoutAnswer(RequestState::NotRun, error.code, error.reason);
    };
    m_parts.dispatcher.submit(std::move(slotRequest));
}

void ClaimedRun::fenceAndQueryAttempt()
{
    m_parts.sender.fence(
        m_record.endpointAddress,
        m_record.attempt,
        [self = shared_from_this()](const std::optional<AttemptStatus> &status) { self->onStatus(status); });
}

void ClaimedRun::onStatus(const std::optional<AttemptStatus> &status)
{
    if (!status || status->state == "running") {
        scheduleFence();
        return;
    }
    if (status->state == "done") {
        if (contentDigest(status->answer) == status->contentDigest) {
            finishWithAnswer(200, status->answer);
            return;
        }
        if (status->answer.empty()) {
            finishWithoutAnswer(RequestState::Unknown,
                                "outcome-unknown",
                                "the request ran, but the endpoint no longer stores its answer");
            return;
        }
        scheduleFence();
        return;
    }
    if (status->incarnation != m_record.endpointIncarnation) {
        finishWithoutAnswer(
            RequestState::Unknown, "outcome-unknown", "the endpoint restarted; it is unknown whether the request ran");
        return;
    }
    if (!status->fenced) {
        scheduleFence();
        return;
    }
    recordNotRunAfterStartWindow();
}

void ClaimedRun::recordNotRunAfterStartWindow()
{
    const std::int64_t left = m_record.startByUnixMs + ClockMarginMs - toUnixMs(m_parts.hooks.clock.wallNow());
    if (left <= 0) {
        finishWithoutAnswer(RequestState::NotRun, "too-late", "the endpoint did not start the request; retry");
        return;
    }
    const MonotonicTime due = m_parts.hooks.clock.now() + std::chrono::milliseconds(left);
    m_parts.hooks.at(due, [self = shared_from_this()] { self->recordNotRunAfterStartWindow(); });
}

void ClaimedRun::scheduleFence()
{
    const MonotonicTime due = m_parts.hooks.clock.now() + nextBackoff();
    if (due > m_abandonAt) {
        logEvent(
            LogLevel::Warning, "claim-unsettled", {{"attempt", m_record.attempt}, {"endpoint", m_record.endpoint}});
        respondUnknown("the endpoint does not answer; retry with the same key");
        end();
        return;
    }
    m_parts.hooks.at(due, [self = shared_from_this()] { self->fenceAndQueryAttempt(); });
}

Duration ClaimedRun::nextBackoff()
{
    const int doublings = std::min(m_backoffCount++, MaximumBackoffDoublings);
    return std::min<Duration>(InitialBackoff * (1 << doublings), MaximumBackoff);
}

void ClaimedRun::finishWithoutAnswer(RequestState state, const std::string &code, const std::string &reason)
{
    m_record.state = state;
    m_record.code = code;
    m_record.reason = reason;
    m_record.endedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    m_backoffCount = 0;
    recordFinal();
}

void ClaimedRun::finishWithAnswer(int status, const std::string &body)
{
    m_answer = body;
    m_record.state = status < 400 ? RequestState::Finished : RequestState::Failed;
    m_record.answerStatus = status;
    m_record.answerDigest = contentDigest(body);
    m_record.endedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    m_backoffCount = 0;
    if (RequestRecords::fitsRow(body)) {
        m_record.answer = body;
        recordFinal();
        return;
    }
    m_record.answerObject = "answers/" + m_record.attempt.value();
    storeAnswer();
}

void ClaimedRun::storeAnswer()
{
    m_parts.records.putAnswer(m_record.answerObject, m_answer, [self = shared_from_this()](bool stored) {
        if (stored) {
            self->recordFinal();
            return;
        }
        RequestRecord completeRecord = self->m_record;
        completeRecord.answer = self->m_answer;
        self->respond({ClaimedEnd::Recorded, {completeRecord, self->m_version}, {}});
        const MonotonicTime due = self->m_parts.hooks.clock.now() + self->nextBackoff();
        if (due > self->m_abandonAt) {
            self->end();
            return;
        }
        self->m_parts.hooks.at(due, [self] { self->storeAnswer(); });
    });
}

void ClaimedRun::recordFinal()
{
    m_parts.records.put(m_record, m_version, NeverDue, [self = shared_from_this()](const PutResult &result) {
        self->onFinalRecorded(result);
    });
}

void ClaimedRun::onFinalRecorded(const PutResult &result)
{
    if (result.outcome == PutOutcome::Committed) {
        RequestSnapshot row{m_record, result.row.version};
        row.record->answer = m_record.answerObject.empty() ? m_record.answer : m_answer;
        logProgress("request-recorded");
        respond({ClaimedEnd::Recorded, std::move(row), {}});
        end();
        return;
    }
    if (result.outcome == PutOutcome::Conflict) {
        const auto &found = result.row.record;
        // The delayed write of the claim took effect after all; the final record replaces that version.
        if (found && found->attempt == m_record.attempt && found->state == RequestState::Claimed) {
            m_claimed = true;
            m_version = result.row.version;
            recordFinal();
            return;
        }
        respondAfterConflict(result.row);
        return;
    }
    scheduleRecordFinal();
}

void ClaimedRun::scheduleRecordFinal()
{
    // The answer is valid even when it is not recorded. If the run is abandoned, its claim stays in the table; the next
    // query for its key then asks the endpoint for the outcome.
    const bool answered = m_record.state == RequestState::Finished || m_record.state == RequestState::Failed;
    if (answered || (m_claimed && m_record.state == RequestState::NotRun)) {
        RequestSnapshot row{m_record, m_version};
        row.record->answer = m_record.answerObject.empty() ? m_record.answer : m_answer;
        respond({ClaimedEnd::Recorded, std::move(row), {}});
    }
    const MonotonicTime due = m_parts.hooks.clock.now() + nextBackoff();
    if (due > m_abandonAt) {
        logEvent(LogLevel::Warning, "request-unrecorded", {{"attempt", m_record.attempt}});
        respondUnknown("the store is unavailable; retry with the same key");
        end();
        return;
    }
    m_parts.hooks.at(due, [self = shared_from_this()] { self->recordFinal(); });
}

void ClaimedRun::respondAfterConflict(const RequestSnapshot &row)
{
    const bool answered = m_record.state == RequestState::Finished || m_record.state == RequestState::Failed;
    if (answered) {
        RequestSnapshot own{m_record, row.version};
        own.record->answer = m_answer;
        if (!row.record || row.record->state != m_record.state || row.record->attempt != m_record.attempt) {
            logEvent(LogLevel::Error, "request-record-differs", {{"attempt", m_record.attempt}});
        }
        respond({ClaimedEnd::Recorded, std::move(own), {}});
    } else if (m_claimed && row.record && row.record->attempt == m_record.attempt) {
        respond({ClaimedEnd::Recorded, row, {}});
    } else {
        respond({ClaimedEnd::Duplicate, row, {}});
    }
    end();
}

void ClaimedRun::respond(ClaimedResult result)
{
    if (!m_responded) {
        m_responded = true;
        m_request.onAnswer(result);
    }
}

void ClaimedRun::respondUnknown(const std::string &reason)
{
    respond({ClaimedEnd::Unknown, {}, {"outcome-unknown", Outcome::Unknown, reason, 1000}});
}

void ClaimedRun::end()
{
    if (!m_ended) {
        m_ended = true;
        m_request.onEnded();
    }
}

} // namespace coriander
