#pragma once

#include "corianderscale/Gateway/ClaimedRun.h"
#include "corianderscale/Gateway/IdempotentRun.h"
#include "corianderscale/Gateway/KeptAnswers.h"
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

/** What the service works with. All references outlive it. */
struct RequestServiceParts {
    GatewayHooks &hooks;
    Store &store;
    Dispatcher &dispatcher;
    AttemptSender &sender;
    ServiceTiming &timing;
    RequestRecords &records;
    RequestCounters &counters;
    RetryGate &retries;
    InstanceId gateway;
    /** Why a caller may not send now, by the limits per caller and organisation. */
    std::function<std::optional<ErrorBody>(const CallerKey &)> admit;
    /** Whether a gateway is alive as far as is known. */
    std::function<bool(const InstanceId &)> isLive;
};

/**
 * Requests of callers: admission, the kind of run, duplicates, records and counts.
 *
 * Thread safety: the gateway's thread.
 */
class RequestService
{
public:
    explicit RequestService(RequestServiceParts parts);

    /** Runs a request of a known service and answers it exactly once. */
    void submit(const IncomingRequest &request, const ServiceSpec &service, HttpRespond respond);

    /** Answers what is known of a request by its key. */
    void get(const CallerKey &caller, const RequestKey &key, HttpRespond respond);

    /** Requests that have not been answered. */
    std::size_t inProgress() const;
    /** Claims that this gateway still works on, answered or not. */
    std::size_t activeClaims() const;

    /** Whether @p key may be used as a request key: 1 to 128 of `[A-Za-z0-9._:-]`. */
    static bool isValidKey(const std::string &key);

private:
    /** One request on its way to its answer. */
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
    void queueClaimed(const ExchangePointer &exchange, RowVersion replaces);
    void startClaimed(const ExchangePointer &exchange, RowVersion replaces, SlotLease lease);
    void finishClaimed(const ExchangePointer &exchange, const ClaimedResult &result);
    void answerDuplicate(const ExchangePointer &exchange, const RequestSnapshot &row);
    void answerFromRecord(const ExchangePointer &exchange, const RequestSnapshot &row);
    void settleOrphan(const ExchangePointer &exchange, const RequestSnapshot &row);
    bool isOrphan(const RequestRecord &record, const std::string &rowKey) const;
    void refuse(const ExchangePointer &exchange, const ErrorBody &error);
    void respond(const ExchangePointer &exchange, HttpResponse response);
    void keep(const ExchangePointer &exchange, const HttpResponse &response);

    RequestServiceParts m_parts;
    IdempotentRunParts m_idempotentParts;
    ClaimedRunParts m_claimedParts;
    KeptAnswers m_kept;
    /** Keys of claims that this gateway wrote. */
    RecentKeys m_recent;
    std::size_t m_inProgress = 0;
    /** Claims by row key that this gateway works on; the count covers several submissions of one key. */
    std::map<std::string, int> m_active;
};

} // namespace coriander
