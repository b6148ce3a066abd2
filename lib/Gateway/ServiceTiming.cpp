#include "corianderscale/Gateway/ServiceTiming.h"

#include <algorithm>
#include <cmath>

namespace coriander {

namespace {

constexpr double Weight = 1.0 / 16;
constexpr double Deviations = 4;
constexpr double StartDeviations = 3;
constexpr Duration LeastHedgeDelay = std::chrono::milliseconds(10);
/** Used until a run time is known. */
constexpr Duration FirstHedgeDelay = std::chrono::seconds(1);

} // namespace

void ServiceTiming::note(const ServiceName &service, Duration took)
{
    Smoothed &smoothed = m_services[service];
    const auto value = static_cast<double>(took.count());
    if (!smoothed.known) {
        smoothed = {value, value / 2, true};
        return;
    }
    smoothed.deviation += (std::abs(value - smoothed.mean) - smoothed.deviation) * Weight;
    smoothed.mean += (value - smoothed.mean) * Weight;
}

Duration ServiceTiming::mean(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? Duration(0) : Duration(std::llround(found->second.mean));
}

MonotonicTime ServiceTiming::startDeadline(const ServiceName &service, MonotonicTime now, MonotonicTime deadline) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return deadline;
    }
    const Duration likely(std::llround(found->second.mean + StartDeviations * found->second.deviation));
    return deadline - std::max(mean(service), std::min(likely, (deadline - now) / 2));
}

Duration ServiceTiming::hedgeDelay(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return FirstHedgeDelay;
    }
    const double delay = found->second.mean + Deviations * found->second.deviation;
    return std::max(LeastHedgeDelay, Duration(std::llround(delay)));
}

} // namespace coriander
