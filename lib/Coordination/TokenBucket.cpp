#include "corianderscale/Coordination/TokenBucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace coriander {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

TokenBucket::TokenBucket(double perSecond, double burst, MonotonicTime now)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
    assert(perSecond > 0 && burst > 0 && "a token bucket needs a positive rate and burst");
}

bool TokenBucket::tryTake(MonotonicTime now, double tokens)
{
    refill(now);
    if (m_tokens < tokens) {
        return false;
    }
    m_tokens -= tokens;
    return true;
}

MonotonicTime TokenBucket::reserve(MonotonicTime now)
{
    refill(now);
    m_tokens -= 1.0;
    if (m_tokens >= 0) {
        return now;
    }
    const double microseconds = std::ceil(-m_tokens / m_perSecond * MicrosecondsPerSecond);
    return now + Duration(static_cast<std::int64_t>(microseconds));
}

void TokenBucket::giveBack()
{
    m_tokens = std::min(m_burst, m_tokens + 1.0);
}

void TokenBucket::setRate(MonotonicTime now, double perSecond, double burst)
{
    assert(perSecond > 0 && burst > 0 && "a token bucket needs a positive rate and burst");
    refill(now);
    m_perSecond = perSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

bool TokenBucket::isFull(MonotonicTime now)
{
    refill(now);
    return m_tokens >= m_burst;
}

void TokenBucket::refill(MonotonicTime now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const double seconds = static_cast<double>((now - m_refilledAt).count()) / MicrosecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + seconds * m_perSecond);
    m_refilledAt = now;
}

} // namespace coriander
