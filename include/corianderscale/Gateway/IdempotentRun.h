#pragma once

#include "corianderscale/Gateway/AttemptSender.h"
#include "corianderscale/Gateway/RetryBudgetHooks.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace coriander {

/** Result of a run of an idempotent request. */
struct IdempotentResult {
    /** Whether @c status and @c body contain the endpoint's answer; otherwise @c error is valid. */
    bool answered = false;
    int status = 0;
    std::string body;
    AttemptId attempt;
    ErrorBody error;
};

/** Dependencies shared by all runs of idempotent requests. */
struct IdempotentRunParts {
    GatewayHooks &hooks;
    Dispatcher &dispatcher;
    AttemptSender &sender;
    ServiceTiming &timing;
    RetryBudgetHooks &retryBudget;
};

/** One idempotent request. */
struct IdempotentRequest {
    CallerKey caller;
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    std::string body;
    MonotonicTime deadline;
    Duration runLimit{};
    /** Called exactly once. */
    std::function<void(const IdempotentResult &)> answer;
    /** Called with the first answer that arrives after the caller got an error. */
    std::function<void(const IdempotentResult &)> lateAnswer;
};

/**
 * Runs one idempotent request: one attempt, a hedged attempt at another endpoint when the first one is slow, and
 * retries within the retry budget when attempts fail. The first complete answer is used; later ones are dropped.
 *
 * Thread safety: the gateway's thread. Kept alive by its own pending work.
 */
class IdempotentRun : public std::enable_shared_from_this<IdempotentRun>
{
public:
    IdempotentRun(IdempotentRunParts &parts, IdempotentRequest request);

    /** Starts the run with a slot. */
    void start(SlotLease lease);

private:
    void send(SlotLease lease);
    void hedge();
    void onAttempt(const AttemptId &attempt, const AttemptResult &result);
    void retry(const AttemptResult &result);
    void expire();
    void respond(const IdempotentResult &result);
    void respondError(ErrorBody error);

    IdempotentRunParts &m_parts;
    IdempotentRequest m_request;
    std::set<EndpointId> m_triedEndpoints;
    int m_outstanding = 0;
    int m_retryCount = 0;
    /** Whether an attempt may have run although its answer was not received. */
    bool m_uncertain = false;
    bool m_responded = false;
    bool m_hasAnswer = false;
};

} // namespace coriander
