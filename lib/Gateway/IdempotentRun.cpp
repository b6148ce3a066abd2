#include "corianderscale/Gateway/IdempotentRun.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t AttemptIdBytes = 16;
constexpr std::int64_t StartWindowMs = 2000;
constexpr int MaximumRetries = 3;

} // namespace

IdempotentRun::IdempotentRun(IdempotentRunParts &parts, IdempotentRequest request)
    : m_parts(parts)
    , m_request(std::move(request))
{
}

void IdempotentRun::start(SlotLease lease)
{
    m_parts.retryBudget.recordSend();
    m_parts.hooks.at(m_request.deadline, [self = weak_from_this()] {
        if (const auto run = self.lock()) {
            run->expire();
        }
    });
    const MonotonicTime hedgeAt = m_parts.hooks.clock.now() + m_parts.timing.hedgeDelay(m_request.service);
    if (hedgeAt < m_request.deadline) {
        m_parts.hooks.at(hedgeAt, [self = weak_from_this()] {
            if (const auto run = self.lock()) {
                run->hedge();
            }
        });
    }
    send(std::move(lease));
}

void IdempotentRun::send(SlotLease lease)
{
    Attempt attempt;
    attempt.id = AttemptId(m_parts.hooks.randomHex(AttemptIdBytes));
    attempt.service = m_request.service;
    attempt.startByUnixMs = toUnixMs(m_parts.hooks.clock.wallNow()) + StartWindowMs;
    attempt.body = m_request.body;
    attempt.deadline = m_parts.hooks.clock.now() + m_request.runLimit;
    m_triedEndpoints.insert(lease.endpoint);
    ++m_outstanding;
    m_parts.sender.send(
        attempt, std::move(lease), [self = shared_from_this(), id = attempt.id](const AttemptResult &result) {
            self->onAttempt(id, result);
        });
}

void IdempotentRun::hedge()
{
    if (m_responded || m_outstanding != 1) {
        return;
    }
    auto lease = m_parts.dispatcher.tryTake(m_request.service, m_triedEndpoints);
    if (!lease || !m_parts.retryBudget.tryTakeRetry()) {
        return;
    }
    send(std::move(*lease));
}

void IdempotentRun::onAttempt(const AttemptId &attempt, const AttemptResult &result)
{
    --m_outstanding;
    if (result.end == AttemptEnd::Answered) {
        const IdempotentResult answer{true, result.status, result.body, attempt, {}};
        if (!m_responded) {
            m_hasAnswer = true;
            respond(answer);
        } else if (!m_hasAnswer) {
            m_hasAnswer = true;
            m_request.lateAnswer(answer);
        }
        return;
    }
    m_uncertain = m_uncertain || result.end == AttemptEnd::Uncertain;
    if (!m_responded && m_outstanding == 0) {
        retry(result);
    }
}

void IdempotentRun::retry(const AttemptResult &result)
{
    const bool tooLate = m_parts.hooks.clock.now() >= m_request.deadline || result.code == "too-late";
    if (tooLate || m_retryCount >= MaximumRetries || !m_parts.retryBudget.tryTakeRetry()) {
        if (m_uncertain) {
            respondError({"outcome-unknown", Outcome::Unknown, result.reason + "; the request may be retried", 100});
            return;
        }
        respondError({tooLate ? "too-late" : "overloaded", Outcome::NotRun, result.reason, 100});
        return;
    }
    ++m_retryCount;
    if (auto lease = m_parts.dispatcher.tryTake(m_request.service, m_triedEndpoints)) {
        send(std::move(*lease));
        return;
    }
    SlotRequest slotRequest;
    slotRequest.service = m_request.service;
    slotRequest.urgency = m_request.urgency;
    slotRequest.caller = m_request.caller;
    slotRequest.startDeadline = m_request.deadline;
    slotRequest.start = [self = shared_from_this()](SlotLease lease) {
        if (!self->m_responded) {
            self->send(std::move(lease));
        }
    };
    slotRequest.refuse = [self = shared_from_this()](ErrorBody error) {
        if (self->m_uncertain) {
            error.code = "outcome-unknown";
            error.outcome = Outcome::Unknown;
        }
        self->respondError(std::move(error));
    };
    m_parts.dispatcher.submit(std::move(slotRequest));
}

void IdempotentRun::expire()
{
    if (m_responded) {
        return;
    }
    if (m_outstanding > 0 || m_uncertain) {
        respondError({"outcome-unknown", Outcome::Unknown, "no answer before the deadline; retry", 100});
        return;
    }
    respondError({"too-late", Outcome::NotRun, "the deadline passed before the request could start"});
}

void IdempotentRun::respondError(ErrorBody error)
{
    IdempotentResult result;
    result.error = std::move(error);
    respond(result);
}

void IdempotentRun::respond(const IdempotentResult &result)
{
    if (!m_responded) {
        m_responded = true;
        m_request.answer(result);
    }
}

} // namespace coriander
