#include "corianderscale/Coordination/RetryBudget.h"

#include <algorithm>

namespace coriander {

RetryBudget::RetryBudget(Settings settings)
    : m_settings(settings)
    , m_retries(settings.maximumRetries)
{
}

void RetryBudget::recordSend()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_retries = std::min(m_settings.maximumRetries, m_retries + m_settings.retriesPerSend);
}

bool RetryBudget::tryTakeRetry()
{
    // Adding 0.1 ten times gives slightly less than 1 in floating point.
    constexpr double RoundingTolerance = 1e-9;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_retries + RoundingTolerance < 1.0) {
        return false;
    }
    m_retries -= 1.0;
    return true;
}

} // namespace coriander
