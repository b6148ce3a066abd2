#include "corianderscale/Coordination/CircuitBreaker.h"

#include <algorithm>

namespace coriander {

CircuitBreaker::CircuitBreaker(Settings settings)
    : m_settings(settings)
{
}

bool CircuitBreaker::allow(MonotonicTime now)
{
    if (!m_open) {
        return true;
    }
    if (now < m_probeAt) {
        return false;
    }
    m_probeAt = now + m_pause;
    return true;
}

void CircuitBreaker::recordSuccess()
{
    m_failures = 0;
    m_open = false;
}

void CircuitBreaker::recordFailure(MonotonicTime now)
{
    ++m_failures;
    if (m_failures < m_settings.failuresToOpen) {
        return;
    }
    m_pause = m_open ? std::min(m_pause * 2, m_settings.maximumPause) : m_settings.initialPause;
    m_open = true;
    m_probeAt = now + m_pause;
}

bool CircuitBreaker::isOpen() const
{
    return m_open;
}

MonotonicTime CircuitBreaker::probeAt() const
{
    return m_probeAt;
}

} // namespace coriander
