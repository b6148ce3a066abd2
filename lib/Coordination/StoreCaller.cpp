#include "corianderscale/Coordination/StoreCaller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace coriander {

namespace {

/** Seconds of the rate that a bucket holds, so that a burst after an idle period does not overload the platform. */
constexpr double BurstSeconds = 0.5;

/** A try that timed out sooner than this is not counted against the store: its deadline left too little time. */
constexpr Duration MinimumRecordedTimeout = std::chrono::milliseconds(100);

constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

double burstOf(double perSecond)
{
    return std::max(1.0, perSecond * BurstSeconds);
}

bool isRefusal(int status)
{
    return status == ServiceUnavailable || status == TooManyRequests;
}

/** Delay from the Retry-After header in seconds, limited to 60 s; zero without the header. */
Duration retryAfter(const HttpResponse &response)
{
    const double seconds = std::strtod(response.header("Retry-After").c_str(), nullptr);
    constexpr double MaximumRetryAfterSeconds = 60;
    return Duration(static_cast<std::int64_t>(std::clamp(seconds, 0.0, MaximumRetryAfterSeconds) * 1e6));
}

} // namespace

StoreCaller::StoreCaller(Settings settings, RandomUnit random, SendTry sendTry, MonotonicTime now)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_sendTry(std::move(sendTry))
    , m_writes(settings.siteWritesPerSecond, burstOf(settings.siteWritesPerSecond), now)
    , m_reads(settings.siteReadsPerSecond, burstOf(settings.siteReadsPerSecond), now)
    , m_breaker(settings.breaker)
    , m_health(settings.health)
{
}

void StoreCaller::setLiveInstances(int instances, MonotonicTime now)
{
    const double share = 1.0 / std::max(1, instances);
    const double writes = m_settings.siteWritesPerSecond * share;
    const double reads = m_settings.siteReadsPerSecond * share;
    m_writes.setRate(now, writes, burstOf(writes));
    m_reads.setRate(now, reads, burstOf(reads));
}

void StoreCaller::add(std::shared_ptr<StoreCall> call, MonotonicTime now, DeferredCallbacks &callbacks)
{
    if (m_stopped) {
        fail(call, CoordinationCode::StoreUnavailable, "the store client has been stopped", callbacks);
        return;
    }
    if (m_waiting.size() >= m_settings.maximumWaitingCalls) {
        fail(call, CoordinationCode::OverBudget, "too many store calls are waiting; try later", callbacks);
        return;
    }
    startTry(call, now, callbacks);
}

void StoreCaller::poll(MonotonicTime now, DeferredCallbacks &callbacks)
{
    // The due calls are removed first: startTry() may add calls to the queue, which the next poll() handles.
    std::vector<std::shared_ptr<StoreCall>> due;
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
        due.push_back(std::move(m_waiting.begin()->second));
        m_waiting.erase(m_waiting.begin());
    }
    for (const auto &call : due) {
        startTry(call, now, callbacks);
    }
}

void StoreCaller::startTry(const std::shared_ptr<StoreCall> &call, MonotonicTime now, DeferredCallbacks &callbacks)
{
    if (now >= call->deadline) {
        fail(call,
             CoordinationCode::StoreUnavailable,
             "the store did not complete the call before its deadline",
             callbacks);
        return;
    }
    if (!admitTry(call, now, callbacks)) {
        return;
    }
    ++call->tries;
    call->isCharged = false;
    const MonotonicTime tryDeadline = std::min(call->deadline, now + m_settings.tryTimeout);
    callbacks.emplace_back([this, call, tryDeadline] { m_sendTry(call, tryDeadline); });
}

bool StoreCaller::admitTry(const std::shared_ptr<StoreCall> &call, MonotonicTime now, DeferredCallbacks &callbacks)
{
    TokenBucket *bucket = bucketOf(call->budget);
    if (bucket != nullptr && !call->isCharged) {
        const MonotonicTime ready = bucket->reserve(now);
        if (ready >= call->deadline) {
            bucket->giveBack();
            fail(call,
                 CoordinationCode::OverBudget,
                 "this instance's share of the store rate limit is exhausted",
                 callbacks);
            return false;
        }
        call->isCharged = true;
        if (ready > now) {
            m_waiting.emplace(ready, call);
            return false;
        }
    }
    if (m_breaker.allow(now)) {
        return true;
    }
    // Only a call that may already have taken effect waits for the next probe, because its outcome must be determined.
    if (call->mayHaveTakenEffect && m_breaker.probeAt() < call->deadline) {
        m_waiting.emplace(m_breaker.probeAt(), call);
        return false;
    }
    fail(call,
         CoordinationCode::StoreUnavailable,
         "the circuit breaker is open after repeated store failures",
         callbacks);
    return false;
}

void StoreCaller::finishTry(const std::shared_ptr<StoreCall> &call,
                            MonotonicTime sentAt,
                            const std::optional<HttpResponse> &response,
                            const TransportError &error,
                            MonotonicTime now,
                            DeferredCallbacks &callbacks)
{
    recordOutcome(now - sentAt, response, error, now);
    if (response && response->status < FirstServerError && !isRefusal(response->status)) {
        callbacks.emplace_back([call, response] { call->done(response, {}); });
        return;
    }
    if (!response) {
        call->mayHaveTakenEffect = call->mayHaveTakenEffect || error.code != TransportCode::Unreachable;
    } else if (!isRefusal(response->status)) {
        call->mayHaveTakenEffect = true;
    }
    scheduleRetry(call, response ? retryAfter(*response) : Duration(0), now, callbacks);
}

void StoreCaller::recordOutcome(Duration latency,
                                const std::optional<HttpResponse> &response,
                                const TransportError &error,
                                MonotonicTime now)
{
    if (!response && error.code == TransportCode::Timeout && latency < MinimumRecordedTimeout) {
        return;
    }
    const bool carriedOut = response && response->status < FirstServerError && !isRefusal(response->status);
    m_health.record(latency, carriedOut);
    if (carriedOut) {
        m_breaker.recordSuccess();
    } else {
        m_breaker.recordFailure(now);
    }
}

void StoreCaller::scheduleRetry(const std::shared_ptr<StoreCall> &call,
                                Duration minimumDelay,
                                MonotonicTime now,
                                DeferredCallbacks &callbacks)
{
    const Duration delay = std::max(minimumDelay, backoffDelay(m_settings.backoff, call->tries, m_random));
    if (m_stopped || now + delay >= call->deadline) {
        fail(call,
             CoordinationCode::StoreUnavailable,
             fmt::format("the store call failed after {} tries", call->tries),
             callbacks);
        return;
    }
    m_waiting.emplace(now + delay, call);
}

void StoreCaller::stop(DeferredCallbacks &callbacks)
{
    m_stopped = true;
    for (const auto &[due, call] : m_waiting) {
        fail(call, CoordinationCode::StoreUnavailable, "the store client has been stopped", callbacks);
    }
    m_waiting.clear();
}

MonotonicTime StoreCaller::nextDue() const
{
    return m_waiting.empty() ? NeverDue : m_waiting.begin()->first;
}

StoreState StoreCaller::state() const
{
    return m_breaker.isOpen() ? StoreState::Unavailable : m_health.state();
}

void StoreCaller::fail(const std::shared_ptr<StoreCall> &call,
                       CoordinationCode code,
                       const std::string &reason,
                       DeferredCallbacks &callbacks)
{
    const bool isOutcomeUnknown = call->mayHaveTakenEffect && call->budget == StoreBudget::Write;
    const CoordinationError error{isOutcomeUnknown ? CoordinationCode::OutcomeUnknown : code,
                                  isOutcomeUnknown ? reason + "; an earlier try may have taken effect" : reason};
    callbacks.emplace_back([call, error] { call->done(std::nullopt, error); });
}

TokenBucket *StoreCaller::bucketOf(StoreBudget budget)
{
    if (budget == StoreBudget::None) {
        return nullptr;
    }
    return budget == StoreBudget::Write ? &m_writes : &m_reads;
}

} // namespace coriander
