#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <map>

namespace coriander {

/**
 * Smoothed run times per service, used for early refusal and for hedging.
 *
 * Thread safety: not thread safe.
 */
class ServiceTiming
{
public:
    /** Records the run time of one attempt. */
    void recordRunTime(const ServiceName &service, Duration took);

    /** The smoothed mean run time; zero before the first attempt. */
    Duration mean(const ServiceName &service) const;

    /**
     * The latest start at which a request is expected to finish by @p deadline. It lies the mean run time plus three
     * mean deviations before the deadline, so that few requests run in vain; but at most half of the remaining time
     * before it, and always at least the mean before it. Returns @p deadline while no run time is known.
     */
    MonotonicTime startDeadline(const ServiceName &service, MonotonicTime now, MonotonicTime deadline) const;

    /** Time to wait for an answer before hedging: the mean plus four mean deviations, at least 10 ms. */
    Duration hedgeDelay(const ServiceName &service) const;

private:
    struct SmoothedTime {
        double mean = 0;
        double deviation = 0;
        bool known = false;
    };

    std::map<ServiceName, SmoothedTime> m_services;
};

} // namespace coriander
