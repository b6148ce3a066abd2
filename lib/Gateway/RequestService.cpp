#include "corianderscale/Gateway/RequestService.h"

#include "corianderscale/Gateway/GatewayReplies.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t AnswerCacheBytes = 32 * 1024 * 1024;
constexpr std::size_t MaximumKeyBytes = 128;
constexpr std::size_t MaximumRecentKeys = 50'000;
/** Maximum time that a request is kept open, even when its deadline is later. */
constexpr Duration MaximumWait = std::chrono::minutes(10);
/** How long a query for an orphaned claim waits for the claim to be settled. */
constexpr Duration SettleTimeout = std::chrono::seconds(5);
/** A claim whose start limit passed more than this time ago is settled even when its gateway seems to be alive. */
constexpr std::int64_t OrphanMarginMs = 5000;

ErrorBody storeUnavailable()
{
    return {"cut-off", Outcome::NotRun, "the store is unavailable; this submission was not run; retry later", 1000};
}

} // namespace

RequestService::RequestService(RequestServiceParts parts)
    : m_parts(std::move(parts))
    , m_idempotentParts{m_parts.hooks, m_parts.dispatcher, m_parts.sender, m_parts.timing, m_parts.retryBudget}
    , m_claimedParts{m_parts.hooks,
                     m_parts.dispatcher,
                     m_parts.sender,
                     m_parts.records,
                     m_parts.retryBudget,
                     m_parts.gateway}
    , m_answerCache(AnswerCacheBytes)
    , m_recentClaims(MaximumRecentKeys)
{
}

bool RequestService::isValidKey(const std::string &key)
{
    return !key.empty() && key.size() <= MaximumKeyBytes && std::all_of(key.begin(), key.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == ':' || c == '-';
    });
}

bool RequestService::setDeadlines(Exchange &exchange) const
{
    const Clock &clock = m_parts.hooks.clock;
    const MonotonicTime now = clock.now();
    const std::chrono::milliseconds queueLimit(exchange.service.queueLimitMs);
    const std::chrono::milliseconds runLimit(exchange.service.runLimitMs);
    if (exchange.request.deadlineUnixMs == 0) {
        exchange.startDeadline = now + queueLimit;
        exchange.deadline = now + queueLimit + runLimit;
        return true;
    }
    const MonotonicTime requestedDeadline = toMonotonic(fromUnixMs(exchange.request.deadlineUnixMs), clock);
    exchange.deadline = std::min(requestedDeadline, now + MaximumWait);
    exchange.startDeadline = m_parts.timing.startDeadline(exchange.request.service, now, exchange.deadline);
    return exchange.startDeadline > now;
}

void RequestService::submit(const IncomingRequest &request, const ServiceSpec &service, HttpRespond respond)
{
    ++m_inProgress;
    const auto exchange = std::make_shared<Exchange>();
    exchange->request = request;
    exchange->service = service;
    exchange->respond = std::move(respond);
    if (!request.key.empty()) {
        exchange->rowKey = requestRowKey(request.caller.organisation, request.caller.caller, request.key);
    }
    if (const auto refusal = m_parts.admit(request.caller)) {
        refuse(exchange, *refusal);
        return;
    }
    if (!setDeadlines(*exchange)) {
        refuse(exchange,
               {"too-late", Outcome::Rejected, "the deadline leaves too little time to run; set a later deadline"});
        return;
    }
    if (service.idempotent) {
        submitIdempotent(exchange);
    } else {
        submitClaimed(exchange);
    }
}

void RequestService::submitIdempotent(const ExchangePointer &exchange)
{
    if (!exchange->rowKey.empty()) {
        m_answerCache.addPending(exchange->rowKey, m_parts.hooks.clock.now());
    }
    SlotRequest slot;
    slot.service = exchange->request.service;
    slot.urgency = exchange->request.urgency;
    slot.caller = exchange->request.caller;
    slot.startDeadline = exchange->startDeadline;
    slot.start = [this, exchange](SlotLease lease) {
        IdempotentRequest run;
        run.caller = exchange->request.caller;
        run.service = exchange->request.service;
        run.urgency = exchange->request.urgency;
        run.body = exchange->request.body;
        run.deadline = exchange->deadline;
        run.runLimit = std::chrono::milliseconds(exchange->service.runLimitMs);
        run.answer = [this, exchange](const IdempotentResult &result) {
            finishIdempotent(exchange, result);
        };
        run.lateAnswer = [this, exchange](const IdempotentResult &result) {
            cacheAnswer(exchange, answerResponse(result.status, result.body, result.attempt));
        };
        std::make_shared<IdempotentRun>(m_idempotentParts, std::move(run))->start(std::move(lease));
    };
    slot.refuse = [this, exchange](const ErrorBody &error) {
        refuse(exchange, error);
    };
    m_parts.dispatcher.submit(std::move(slot));
}

void RequestService::finishIdempotent(const ExchangePointer &exchange, const IdempotentResult &result)
{
    HttpResponse response
        = result.answered ? answerResponse(result.status, result.body, result.attempt) : errorResponse(result.error);
    CountAs category = CountAs::Finished;
    if (result.answered) {
        category = result.status < 400 ? CountAs::Finished : CountAs::Failed;
    } else {
        category = result.error.outcome == Outcome::Unknown ? CountAs::Unknown : CountAs::RefusedNotRun;
    }
    cacheAnswer(exchange, response);
    m_parts.counters.count(exchange->request.caller, category, [this, exchange, response = std::move(response)] {
        respond(exchange, response);
    });
}

void RequestService::submitClaimed(const ExchangePointer &exchange)
{
    if (m_parts.store.state() == StoreState::Unavailable) {
        refuse(exchange, storeUnavailable());
        return;
    }
    m_parts.records.read(exchange->rowKey,
                         exchange->startDeadline,
                         [this, exchange](const std::optional<RequestSnapshot> &row) { onRowRead(exchange, row); });
}

void RequestService::onRowRead(const ExchangePointer &exchange, const std::optional<RequestSnapshot> &row)
{
    if (!row) {
        refuse(exchange, storeUnavailable());
        return;
    }
    if (!row->record) {
        queueClaimed(exchange, row->version);
        return;
    }
    const RequestRecord &record = *row->record;
    if (record.state == RequestState::NotRun && record.service == exchange->request.service
        && record.bodyDigest == contentDigest(exchange->request.body)) {
        // The record proves that the request did not run, so the same request may be run again with its key.
        queueClaimed(exchange, row->version);
        return;
    }
    answerDuplicate(exchange, *row);
}

void RequestService::queueClaimed(const ExchangePointer &exchange, RowVersion replacedVersion)
{
    SlotRequest slot;
    slot.service = exchange->request.service;
    slot.urgency = exchange->request.urgency;
    slot.caller = exchange->request.caller;
    slot.startDeadline = exchange->startDeadline;
    slot.start = [this, exchange, replacedVersion](SlotLease lease) {
        startClaimed(exchange, replacedVersion, std::move(lease));
    };
    slot.refuse = [this, exchange](const ErrorBody &error) {
        refuse(exchange, error);
    };
    m_parts.dispatcher.submit(std::move(slot));
}

void RequestService::startClaimed(const ExchangePointer &exchange, RowVersion replacedVersion, SlotLease lease)
{
    ++m_activeRuns[exchange->rowKey];
    m_recentClaims.add(exchange->rowKey);
    ClaimedRequest run;
    run.caller = exchange->request.caller;
    run.key = exchange->request.key;
    run.service = exchange->request.service;
    run.urgency = exchange->request.urgency;
    run.body = exchange->request.body;
    run.deadline = exchange->deadline;
    run.runLimit = std::chrono::milliseconds(exchange->service.runLimitMs);
    run.replacedVersion = replacedVersion;
    run.onAnswer = [this, exchange](const ClaimedResult &result) {
        finishClaimed(exchange, result);
    };
    run.onEnded = [this, key = exchange->rowKey] {
        if (--m_activeRuns[key] == 0) {
            m_activeRuns.erase(key);
        }
    };
    std::make_shared<ClaimedRun>(m_claimedParts, std::move(run))->start(std::move(lease));
}

void RequestService::finishClaimed(const ExchangePointer &exchange, const ClaimedResult &result)
{
    switch (result.end) {
    case ClaimedEnd::Recorded:
        if (result.row.record->state == RequestState::NotRun) {
            m_recentClaims.remove(exchange->rowKey);
        }
        respond(exchange, recordResponse(*result.row.record, result.row.record->answer));
        return;
    case ClaimedEnd::Duplicate:
        answerDuplicate(exchange, result.row);
        return;
    case ClaimedEnd::Refused:
        m_recentClaims.remove(exchange->rowKey);
        refuse(exchange, result.error);
        return;
    case ClaimedEnd::Unknown:
        respond(exchange, errorResponse(result.error));
        return;
    }
}

void RequestService::answerDuplicate(const ExchangePointer &exchange, const RequestSnapshot &row)
{
    if (!row.record) {
        respond(exchange,
                errorResponse({"outcome-unknown", Outcome::Unknown, "the record changed meanwhile; retry", 100}));
        return;
    }
    if (row.record->service != exchange->request.service
        || row.record->bodyDigest != contentDigest(exchange->request.body)) {
        respond(
            exchange,
            errorResponse({"invalid", Outcome::Rejected, "the key was used for another request; use a new key", 0}));
        return;
    }
    answerFromRecord(exchange, row);
}

void RequestService::answerFromRecord(const ExchangePointer &exchange, const RequestSnapshot &row)
{
    const RequestRecord &record = *row.record;
    if (record.state == RequestState::Claimed && isOrphan(record, exchange->rowKey)) {
        settleOrphan(exchange, row);
        return;
    }
    if (record.answerObject.empty()) {
        respond(exchange, recordResponse(record, record.answer));
        return;
    }
    m_parts.records.getAnswer(record.answerObject, [this, exchange, record](const std::optional<std::string> &answer) {
        if (!answer || contentDigest(*answer) != record.answerDigest) {
            respond(exchange,
                    errorResponse({"outcome-unknown",
                                   Outcome::Unknown,
                                   "the request ran, but its answer cannot be read now; retry with the same key",
                                   1000}));
            return;
        }
        respond(exchange, recordResponse(record, *answer));
    });
}

bool RequestService::isOrphan(const RequestRecord &record, const std::string &rowKey) const
{
    if (m_activeRuns.contains(rowKey)) {
        return false;
    }
    if (record.gateway == m_parts.gateway || !m_parts.isLive(record.gateway)) {
        return true;
    }
    return toUnixMs(m_parts.hooks.clock.wallNow()) > record.startByUnixMs + OrphanMarginMs;
}

void RequestService::settleOrphan(const ExchangePointer &exchange, const RequestSnapshot &row)
{
    ++m_activeRuns[exchange->rowKey];
    ClaimedRequest run;
    run.deadline = std::max(exchange->deadline, m_parts.hooks.clock.now() + SettleTimeout);
    run.onAnswer = [this, exchange](const ClaimedResult &result) {
        // Another gateway may have settled the claim first; the current row is the answer in both cases.
        if (result.end == ClaimedEnd::Recorded || (result.end == ClaimedEnd::Duplicate && result.row.record)) {
            respond(exchange, recordResponse(*result.row.record, result.row.record->answer));
            return;
        }
        respond(exchange,
                errorResponse({"outcome-unknown", Outcome::Unknown, "the request is not settled yet; retry", 1000}));
    };
    run.onEnded = [this, key = exchange->rowKey] {
        if (--m_activeRuns[key] == 0) {
            m_activeRuns.erase(key);
        }
    };
    std::make_shared<ClaimedRun>(m_claimedParts, std::move(run))->settle(*row.record, row.version);
}

void RequestService::get(const CallerKey &caller, const RequestKey &key, HttpRespond respondHook)
{
    ++m_inProgress;
    const auto exchange = std::make_shared<Exchange>();
    exchange->request.caller = caller;
    exchange->request.key = key;
    exchange->respond = std::move(respondHook);
    exchange->rowKey = requestRowKey(caller.organisation, caller.caller, key);
    const MonotonicTime now = m_parts.hooks.clock.now();
    exchange->deadline = now + SettleTimeout;
    if (const auto cached = m_answerCache.find(exchange->rowKey, now)) {
        respond(exchange,
                cached->pending
                    ? errorResponse({"outcome-unknown", Outcome::Unknown, "the request is in progress; retry", 100})
                    : cached->response);
        return;
    }
    m_parts.records.read(
        exchange->rowKey, exchange->deadline, [this, exchange](const std::optional<RequestSnapshot> &row) {
            if (!row) {
                respond(exchange,
                        errorResponse({"cut-off", Outcome::Unknown, "the store is unavailable; retry later", 1000}));
                return;
            }
            if (!row->record) {
                respond(exchange, errorResponse({"not-found", Outcome::Rejected, "no request has this key", 0}));
                return;
            }
            answerFromRecord(exchange, *row);
        });
}

void RequestService::refuse(const ExchangePointer &exchange, const ErrorBody &error)
{
    if (!exchange->service.idempotent && m_recentClaims.contains(exchange->rowKey)) {
        // An earlier submission of the key has a claim from this gateway; a refusal would wrongly state that it did not
        // run.
        respond(exchange,
                errorResponse({"outcome-unknown",
                               Outcome::Unknown,
                               "the key was submitted before; query GET /v1/requests/" + exchange->request.key.value(),
                               1000}));
        return;
    }
    HttpResponse response = errorResponse(error);
    if (exchange->service.idempotent) {
        cacheAnswer(exchange, response);
    }
    m_parts.counters.count(exchange->request.caller,
                           CountAs::RefusedNotRun,
                           [this, exchange, response = std::move(response)] { respond(exchange, response); });
}

void RequestService::respond(const ExchangePointer &exchange, HttpResponse response)
{
    --m_inProgress;
    exchange->respond(std::move(response));
}

void RequestService::cacheAnswer(const ExchangePointer &exchange, const HttpResponse &response)
{
    if (!exchange->rowKey.empty()) {
        m_answerCache.put(exchange->rowKey, response, m_parts.hooks.clock.now());
    }
}

std::size_t RequestService::inProgress() const
{
    return m_inProgress;
}

std::size_t RequestService::activeClaims() const
{
    return m_activeRuns.size();
}

} // namespace coriander
