#include "corianderscale/Coordination/StoreHealth.h"

namespace coriander {

namespace {

/** Weight of the newest call in the exponential moving averages, so that about the last 20 calls count. */
constexpr double NewestWeight = 0.1;

} // namespace

StoreHealth::StoreHealth(Settings settings)
    : m_settings(settings)
{
}

void StoreHealth::record(Duration latency, bool carriedOut)
{
    const double failure = carriedOut ? 0.0 : 1.0;
    m_latencyMicroseconds += NewestWeight * (static_cast<double>(latency.count()) - m_latencyMicroseconds);
    m_failureShare += NewestWeight * (failure - m_failureShare);
}

StoreState StoreHealth::state() const
{
    const bool isSlow = m_latencyMicroseconds > static_cast<double>(m_settings.slowLatency.count());
    return isSlow || m_failureShare > m_settings.slowFailureShare ? StoreState::Slow : StoreState::Available;
}

} // namespace coriander
