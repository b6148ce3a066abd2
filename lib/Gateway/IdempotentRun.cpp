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
    m_parts.retries.noteSend();
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
    m_tried.insert(lease.endpoint);
    ++m_outstanding;
    m_parts.sender.send(
        attempt, std::move(lease), [self = shared_from_this(), id = attempt.id](const AttemptResult &result) {
            self->onAttempt(id, result);
        });
}

void IdempotentRun::hedge()
{
    if (m_told || m_outstanding != 1) {
        return;
    }
    auto lease = m_parts.dispatcher.tryTake(m_request.service, m_tried);
    if (!lease || !m_parts.retries.spend()) {
        return;
    }
    send(std::move(*lease));
}

void IdempotentRun::onAttempt(const AttemptId &attempt, const AttemptResult &result)
{
    --m_outstanding;
    if (result.end == AttemptEnd::Answered) {
        const IdempotentResult answer{true, result.status, result.body, attempt, {}};
        if (!m_told) {
            m_answered = true;
            tell(answer);
        } else if (!m_answered) {
            m_answered = true;
            m_request.late(answer);
        }
        return;
    }
    m_uncertain = m_uncertain || result.end == AttemptEnd::Uncertain;
    if (!m_told && m_outstanding == 0) {
        retry(result);
    }
}

void IdempotentRun::retry(const AttemptResult &result)
{
    const bool tooLate = m_parts.hooks.clock.now() >= m_request.deadline || result.code == "too-late";
    if (tooLate || m_retries >= MaximumRetries || !m_parts.retries.spend()) {
        if (m_uncertain) {
            tellError({"outcome-unknown", Outcome::Unknown, result.reason + "; the request may be retried", 100});
            return;
        }
        tellError({tooLate ? "too-late" : "overloaded", Outcome::NotRun, result.reason, 100});
        return;
    }
    ++m_retries;
    if (auto lease = m_parts.dispatcher.tryTake(m_request.service, m_tried)) {
        send(std::move(*lease));
        return;
    }
    SlotRequest wait;
    wait.service = m_request.service;
    wait.urgency = m_request.urgency;
    wait.caller = m_request.caller;
    wait.startDeadline = m_request.deadline;
    wait.start = [self = shared_from_this()](SlotLease lease) {
        if (!self->m_told) {
            self->send(std::move(lease));
        }
    };
    wait.refuse = [self = shared_from_this()](ErrorBody error) {
        if (self->m_uncertain) {
            error.code = "outcome-unknown";
            error.outcome = Outcome::Unknown;
        }
        self->tellError(std::move(error));
    };
    m_parts.dispatcher.submit(std::move(wait));
}

void IdempotentRun::expire()
{
    if (m_told) {
        return;
    }
    if (m_outstanding > 0 || m_uncertain) {
        tellError({"outcome-unknown", Outcome::Unknown, "no answer before the deadline; retry", 100});
        return;
    }
    tellError({"too-late", Outcome::NotRun, "the deadline passed before the request could start"});
}

void IdempotentRun::tellError(ErrorBody error)
{
    IdempotentResult result;
    result.error = std::move(error);
    tell(result);
}

void IdempotentRun::tell(const IdempotentResult &result)
{
    if (!m_told) {
        m_told = true;
        m_request.answer(result);
    }
}

} // namespace coriander
