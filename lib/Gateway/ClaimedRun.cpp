#include "corianderscale/Gateway/ClaimedRun.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t AttemptIdBytes = 16;
/** An endpoint may start the attempt within this time after the claim. Short, because settling a claim waits for it. */
constexpr std::int64_t StartWindowMs = 2000;
/** Tolerated difference between the wall clocks of gateways and endpoints. */
constexpr std::int64_t ClockMarginMs = 500;
constexpr int MaximumRetries = 3;
constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration LongestBackoff = std::chrono::seconds(5);
constexpr int BackoffDoublings = 7;
/** After this time past the deadline, an unsettled run is abandoned; the next query for its key settles it. */
constexpr Duration SettleLimit = std::chrono::minutes(10);

bool mayRetry(const std::string &code)
{
    return code == "slot-full" || code == "leaving" || code == "unreachable" || code == "unknown-service";
}

} // namespace

ClaimedRun::ClaimedRun(ClaimedRunParts &parts, ClaimedRequest request)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_version(m_request.replaces)
    , m_giveUpAt(std::max(m_request.deadline, parts.hooks.clock.now()) + SettleLimit)
{
}

void ClaimedRun::armDeadline()
{
    m_parts.hooks.at(m_request.deadline, [self = weak_from_this()] {
        if (const auto run = self.lock()) {
            run->tellUnknown("the deadline passed before the outcome was known; retry with the same key");
        }
    });
}

void ClaimedRun::start(SlotLease lease)
{
    armDeadline();
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
    armDeadline();
    m_record = record;
    m_version = version;
    m_claimed = true;
    askEndpoint();
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
            adopt(result.row);
            return;
        }
        tell({ClaimedEnd::Duplicate, result.row, {}});
        end();
        return;
    }
    if (result.outcome == PutOutcome::NotWritten && !m_claimed) {
        tell({ClaimedEnd::Refused, {}, {"cut-off", Outcome::NotRun, "the store is unavailable; retry later", 1000}});
        end();
        return;
    }
    // Nothing was sent. Recording not-run settles the claim, whether or not the write of the claim took effect.
    finishWith(RequestState::NotRun, "cut-off", "the claim could not be written; retry later");
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
        finishWith(RequestState::NotRun, "too-late", "writing the claim took too long; retry with the same key");
        return;
    }
    Attempt attempt;
    attempt.id = m_record.attempt;
    attempt.service = m_record.service;
    attempt.startByUnixMs = m_record.startByUnixMs;
    attempt.body = m_request.body;
    attempt.deadline = clock.now() + m_request.runLimit;
    m_tried.insert(m_lease.endpoint);
    if (m_retries == 0) {
        m_parts.retries.noteSend();
    }
    m_parts.sender.send(attempt, std::move(m_lease), [self = shared_from_this()](const AttemptResult &result) {
        self->onAttempt(result);
    });
}

void ClaimedRun::onAttempt(const AttemptResult &result)
{
    switch (result.end) {
    case AttemptEnd::Answered:
        finishAnswered(result.status, result.body);
        return;
    case AttemptEnd::NotStarted:
    case AttemptEnd::Unsent:
        retry(result.code, result.reason);
        return;
    case AttemptEnd::Uncertain:
        askEndpoint();
        return;
    }
}

void ClaimedRun::retry(const std::string &code, const std::string &reason)
{
    const bool tooLate = code == "too-late" || m_parts.hooks.clock.now() >= m_request.deadline;
    if (code == "fenced") {
        finishWith(RequestState::NotRun, "cut-off", "another gateway recorded the request as not run");
        return;
    }
    if (tooLate || !mayRetry(code) || m_retries >= MaximumRetries || !m_parts.retries.spend()) {
        finishWith(RequestState::NotRun, tooLate ? "too-late" : "overloaded", reason);
        return;
    }
    ++m_retries;
    if (auto lease = m_parts.dispatcher.tryTake(m_record.service, m_tried)) {
        m_lease = std::move(*lease);
        writeClaim();
        return;
    }
    SlotRequest wait;
    wait.service = m_record.service;
    wait.urgency = m_request.urgency;
    wait.caller = m_request.caller;
    wait.startDeadline = m_request.deadline;
    wait.start = [self = shared_from_this()](SlotLease lease) {
        self->m_lease = std::move(lease);
        self->writeClaim();
    };
    wait.refuse = [self = shared_from_this()](const ErrorBody &error) {
        self->finishWith(RequestState::NotRun, error.code, error.reason);
    };
    m_parts.dispatcher.submit(std::move(wait));
}

void ClaimedRun::askEndpoint()
{
    m_parts.sender.fence(
        m_record.endpointAddress,
        m_record.attempt,
        [self = shared_from_this()](const std::optional<AttemptStatus> &status) { self->onStatus(status); });
}

void ClaimedRun::onStatus(const std::optional<AttemptStatus> &status)
{
    if (!status || status->state == "running") {
        askLater();
        return;
    }
    if (status->state == "done") {
        if (contentDigest(status->answer) == status->contentDigest) {
            finishAnswered(200, status->answer);
            return;
        }
        if (status->answer.empty()) {
            finishWith(RequestState::Unknown,
                       "outcome-unknown",
                       "the request ran, but the endpoint no longer stores its answer");
            return;
        }
        askLater();
        return;
    }
    if (status->incarnation != m_record.endpointIncarnation) {
        finishWith(
            RequestState::Unknown, "outcome-unknown", "the endpoint restarted; it is unknown whether the request ran");
        return;
    }
    if (!status->fenced) {
        askLater();
        return;
    }
    onNeverStarted();
}

void ClaimedRun::onNeverStarted()
{
    const std::int64_t left = m_record.startByUnixMs + ClockMarginMs - toUnixMs(m_parts.hooks.clock.wallNow());
    if (left <= 0) {
        finishWith(RequestState::NotRun, "too-late", "the endpoint did not start the request; retry");
        return;
    }
    const MonotonicTime due = m_parts.hooks.clock.now() + std::chrono::milliseconds(left);
    m_parts.hooks.at(due, [self = shared_from_this()] { self->onNeverStarted(); });
}

void ClaimedRun::askLater()
{
    const MonotonicTime due = m_parts.hooks.clock.now() + nextBackoff();
    if (due > m_giveUpAt) {
        logEvent(
            LogLevel::Warning, "claim-unsettled", {{"attempt", m_record.attempt}, {"endpoint", m_record.endpoint}});
        tellUnknown("the endpoint does not answer; retry with the same key");
        end();
        return;
    }
    m_parts.hooks.at(due, [self = shared_from_this()] { self->askEndpoint(); });
}

Duration ClaimedRun::nextBackoff()
{
    const int doublings = std::min(m_backoffs++, BackoffDoublings);
    return std::min<Duration>(FirstBackoff * (1 << doublings), LongestBackoff);
}

void ClaimedRun::finishWith(RequestState state, const std::string &code, const std::string &reason)
{
    m_record.state = state;
    m_record.code = code;
    m_record.reason = reason;
    m_record.endedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    m_backoffs = 0;
    recordFinal();
}

void ClaimedRun::finishAnswered(int status, const std::string &body)
{
    m_answer = body;
    m_record.state = status < 400 ? RequestState::Finished : RequestState::Failed;
    m_record.answerStatus = status;
    m_record.answerDigest = contentDigest(body);
    m_record.endedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    m_backoffs = 0;
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
        RequestRecord whole = self->m_record;
        whole.answer = self->m_answer;
        self->tell({ClaimedEnd::Recorded, {whole, self->m_version}, {}});
        const MonotonicTime due = self->m_parts.hooks.clock.now() + self->nextBackoff();
        if (due > self->m_giveUpAt) {
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
        tell({ClaimedEnd::Recorded, std::move(row), {}});
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
        adopt(result.row);
        return;
    }
    recordLater();
}

void ClaimedRun::recordLater()
{
    // The answer is valid even when it is not recorded; a claim that remains is settled by querying the endpoint.
    const bool answered = m_record.state == RequestState::Finished || m_record.state == RequestState::Failed;
    if (answered || (m_claimed && m_record.state == RequestState::NotRun)) {
        RequestSnapshot row{m_record, m_version};
        row.record->answer = m_record.answerObject.empty() ? m_record.answer : m_answer;
        tell({ClaimedEnd::Recorded, std::move(row), {}});
    }
    const MonotonicTime due = m_parts.hooks.clock.now() + nextBackoff();
    if (due > m_giveUpAt) {
        logEvent(LogLevel::Warning, "request-unrecorded", {{"attempt", m_record.attempt}});
        tellUnknown("the store is unavailable; retry with the same key");
        end();
        return;
    }
    m_parts.hooks.at(due, [self = shared_from_this()] { self->recordFinal(); });
}

void ClaimedRun::adopt(const RequestSnapshot &row)
{
    const bool answered = m_record.state == RequestState::Finished || m_record.state == RequestState::Failed;
    if (answered) {
        RequestSnapshot own{m_record, row.version};
        own.record->answer = m_answer;
        if (!row.record || row.record->state != m_record.state || row.record->attempt != m_record.attempt) {
            logEvent(LogLevel::Error, "request-record-differs", {{"attempt", m_record.attempt}});
        }
        tell({ClaimedEnd::Recorded, std::move(own), {}});
    } else if (m_claimed && row.record && row.record->attempt == m_record.attempt) {
        tell({ClaimedEnd::Recorded, row, {}});
    } else {
        tell({ClaimedEnd::Duplicate, row, {}});
    }
    end();
}

void ClaimedRun::tell(ClaimedResult result)
{
    if (!m_told) {
        m_told = true;
        m_request.answer(result);
    }
}

void ClaimedRun::tellUnknown(const std::string &reason)
{
    tell({ClaimedEnd::Unknown, {}, {"outcome-unknown", Outcome::Unknown, reason, 1000}});
}

void ClaimedRun::end()
{
    if (!m_ended) {
        m_ended = true;
        m_request.ended();
    }
}

} // namespace coriander
