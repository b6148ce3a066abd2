#pragma once

#include "corianderscale/Coordination/Store.h"

namespace coriander {

/**
 * Derives from recent calls whether the store is available or slow.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class StoreHealth
{
public:
    struct Settings {
        /** Average latency above which the store counts as slow. */
        Duration slowLatency = std::chrono::milliseconds(250);
        /** Fraction of refused or failed calls, from 0 to 1, above which the store counts as slow. */
        double slowFailureShare = 0.2;
    };

    explicit StoreHealth(Settings settings);

    /** Records the latency of one call, and whether the store carried it out. */
    void record(Duration latency, bool carriedOut);

    /** Returns Available or Slow; the circuit breaker determines whether the store is unavailable. */
    StoreState state() const;

private:
    Settings m_settings;
    double m_latencyMicroseconds = 0;
    double m_failureShare = 0;
};

} // namespace coriander
