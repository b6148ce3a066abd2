#pragma once

#include "corianderscale/Coordination/Store.h"

namespace coriander {

/**
 * Judges from recent calls whether the store is available or slow.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class StoreHealth
{
public:
    struct Settings {
        /** Average latency above which the store counts as slow. */
        Duration slowLatency = std::chrono::milliseconds(250);
        /** Share of refused or failed calls above which the store counts as slow. */
        double slowFailureShare = 0.2;
    };

    explicit StoreHealth(Settings settings);

    /** Records one call, its duration and whether the store carried it out. */
    void record(Duration latency, bool carriedOut);

    /** Available or Slow; whether the store is away is judged by the circuit breaker. */
    StoreState state() const;

private:
    Settings m_settings;
    double m_latencyMicroseconds = 0;
    double m_failureShare = 0;
};

} // namespace coriander
