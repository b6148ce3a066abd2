#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/**
 * Blocks calls to a service after several failures in a row, and allows a probe call after each pause.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class CircuitBreaker
{
public:
    struct Settings {
        /** Number of consecutive failures that open the breaker. */
        int failuresToOpen = 6;
        /** Pause before the first probe; doubled after each failed probe, up to the maximum. */
        Duration initialPause = std::chrono::milliseconds(500);
        Duration maximumPause = std::chrono::seconds(4);
    };

    explicit CircuitBreaker(Settings settings);

    /** Whether a call may be made now. While the breaker is open, a result of true makes that call the probe. */
    bool allow(MonotonicTime now);

    /** Records a call that the service carried out, or one that failed. */
    ///@{
    void recordSuccess();
    void recordFailure(MonotonicTime now);
    ///@}

    /** Whether all calls except probes are blocked. */
    bool isOpen() const;

    /** When the next probe is allowed; valid only while the breaker is open. */
    MonotonicTime probeAt() const;

private:
    Settings m_settings;
    int m_failures = 0;
    bool m_open = false;
    Duration m_pause{};
    MonotonicTime m_probeAt;
};

} // namespace coriander
