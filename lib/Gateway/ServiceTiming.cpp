#include "corianderscale/Gateway/ServiceTiming.h"

#include <algorithm>
#include <cmath>

namespace coriander {

namespace {

constexpr double SmoothingWeight = 1.0 / 16;
constexpr double HedgeDeviations = 4;
constexpr double StartDeviations = 3;
constexpr Duration MinimumHedgeDelay = std::chrono::milliseconds(10);
/** Used until a run time is known. */
constexpr Duration InitialHedgeDelay = std::chrono::seconds(1);

} // namespace

void ServiceTiming::recordRunTime(const ServiceName &service, Duration took)
{
    SmoothedTime &smoothed = m_services[service];
    const auto value = static_cast<double>(took.count());
    if (!smoothed.known) {
        smoothed = {value, value / 2, true};
        return;
    }
    smoothed.deviation += (std::abs(value - smoothed.mean) - smoothed.deviation) * SmoothingWeight;
    smoothed.mean += (value - smoothed.mean) * SmoothingWeight;
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
    const Duration margin(std::llround(found->second.mean + StartDeviations * found->second.deviation));
    return deadline - std::max(mean(service), std::min(margin, (deadline - now) / 2));
}

Duration ServiceTiming::hedgeDelay(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return InitialHedgeDelay;
    }
    const double delay = found->second.mean + HedgeDeviations * found->second.deviation;
    return std::max(MinimumHedgeDelay, Duration(std::llround(delay)));
}

} // namespace coriander
