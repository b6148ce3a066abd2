#pragma once

#include "corianderscale/Gateway/AnswerCache.h"
#include "corianderscale/Gateway/ClaimedRun.h"
#include "corianderscale/Gateway/IdempotentRun.h"
#include "corianderscale/Gateway/RecentKeys.h"
#include "corianderscale/Gateway/RequestCounters.h"
#include "corianderscale/State/Document.h"
#include "corianderscale/Transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coriander {

/** A request of an authenticated caller. */
struct IncomingRequest {
    CallerKey caller;
    ServiceName service;
    /** Empty when the caller gave none. */
    RequestKey key;
    Urgency urgency = Urgency::Normal;
    /** 0 when the caller gave none. */
    std::int64_t deadlineUnixMs = 0;
    std::string body;
};

/** Dependencies of a RequestService. All references must outlive it. */
struct RequestServiceParts {
    GatewayHooks &hooks;
    Store &store;
    Dispatcher &dispatcher;
    AttemptSender &sender;
    ServiceTiming &timing;
    RequestRecords &records;
    RequestCounters &counters;
    RetryBudgetHooks &retryBudget;
    InstanceId gateway;
    /** Returns the refusal when the caller or its organisation exceeds a rate limit, or no value. */
    std::function<std::optional<ErrorBody>(const CallerKey &)> admit;
    /** Whether a gateway is alive, according to the membership. */
    std::function<bool(const InstanceId &)> isLive;
};

/**
 * Handles the requests of callers: admission, running, duplicate detection, records and counts.
 *
 * Thread safety: the gateway's thread.
 */
class RequestService
{
public:
    explicit RequestService(RequestServiceParts parts);

    /** Runs a request for an existing service and calls @p respond exactly once. */
    void submit(const IncomingRequest &request, const ServiceSpec &service, HttpRespond respond);

    /** Responds with the answer or the state of the request with the given key. */
    void get(const CallerKey &caller, const RequestKey &key, HttpRespond respond);

    /** Number of requests that have not been answered. */
    std::size_t inProgress() const;
    /** Number of claims that this gateway still works on, answered or not. */
    std::size_t activeClaims() const;

    /** Whether @p key is a valid request key: 1 to 128 characters of `[A-Za-z0-9._:-]`. */
    static bool isValidKey(const std::string &key);

private:
    /** A request and the state needed to answer it. */
    struct Exchange {
        IncomingRequest request;
        ServiceSpec service;
        HttpRespond respond;
        std::string rowKey;
        MonotonicTime deadline;
        MonotonicTime startDeadline;
    };
    using ExchangePointer = std::shared_ptr<Exchange>;

    bool setDeadlines(Exchange &exchange) const;
    void submitIdempotent(const ExchangePointer &exchange);
    void finishIdempotent(const ExchangePointer &exchange, const IdempotentResult &result);
    void submitClaimed(const ExchangePointer &exchange);
    void onRowRead(const ExchangePointer &exchange, const std::optional<RequestSnapshot> &row);
    void queueClaimed(const ExchangePointer &exchange, RowVersion replacedVersion);
    void startClaimed(const ExchangePointer &exchange, RowVersion replacedVersion, SlotLease lease);
    void finishClaimed(const ExchangePointer &exchange, const ClaimedResult &result);
    void answerDuplicate(const ExchangePointer &exchange, const RequestSnapshot &row);
    void answerFromRecord(const ExchangePointer &exchange, const RequestSnapshot &row);
    void settleOrphan(const ExchangePointer &exchange, const RequestSnapshot &row);
    bool isOrphan(const RequestRecord &record, const std::string &rowKey) const;
    void refuse(const ExchangePointer &exchange, const ErrorBody &error);
    void respond(const ExchangePointer &exchange, HttpResponse response);
    void cacheAnswer(const ExchangePointer &exchange, const HttpResponse &response);

    RequestServiceParts m_parts;
    IdempotentRunParts m_idempotentParts;
    ClaimedRunParts m_claimedParts;
    AnswerCache m_answerCache;
    /** Row keys of the most recent requests for which this gateway started a claim. */
    RecentKeys m_recentClaims;
    std::size_t m_inProgress = 0;
    /** Number of runs that this gateway works on, by row key; one key can have several submissions. */
    std::map<std::string, int> m_activeRuns;
};

} // namespace coriander
