#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <map>

namespace coriander {

/**
 * Smoothed run times of the services, for early refusal and hedging.
 *
 * Thread safety: not thread safe.
 */
class ServiceTiming
{
public:
    /** Takes the time one attempt took. */
    void note(const ServiceName &service, Duration took);

    /** The smoothed run time; zero before the first attempt. */
    Duration mean(const ServiceName &service) const;

    /**
     * When a request must start to finish by its deadline: the mean and three mean deviations before it, so that few
     * run in vain, but at most half of the time that is left and at least the mean.
     */
    MonotonicTime startDeadline(const ServiceName &service, MonotonicTime now, MonotonicTime deadline) const;

    /** How long to wait for an answer before hedging: the mean and four mean deviations, at least 10 ms. */
    Duration hedgeDelay(const ServiceName &service) const;

private:
    struct Smoothed {
        double mean = 0;
        double deviation = 0;
        bool known = false;
    };

    std::map<ServiceName, Smoothed> m_services;
};

} // namespace coriander
