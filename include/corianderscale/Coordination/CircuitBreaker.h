#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/**
 * Stops calls to a service that failed several times in a row, and lets one probe through now and then.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class CircuitBreaker
{
public:
    struct Settings {
        /** Failures in a row that open the breaker. */
        int failuresToOpen = 6;
        /** Pause before a probe; doubled after each probe that fails, up to the most. */
        Duration firstPause = std::chrono::milliseconds(500);
        Duration mostPause = std::chrono::seconds(4);
    };

    explicit CircuitBreaker(Settings settings);

    /** Whether a call may be made now. A true answer while the breaker is open reserves the probe. */
    bool allow(MonotonicTime now);

    /** Records a call that was answered by the service, or one that was not. */
    ///@{
    void succeeded();
    void failed(MonotonicTime now);
    ///@}

    /** Whether calls are stopped, apart from probes. */
    bool isOpen() const;

    /** When the next probe is allowed; meaningful while open. */
    MonotonicTime probeAt() const;

private:
    Settings m_settings;
    int m_failures = 0;
    bool m_open = false;
    Duration m_pause{};
    MonotonicTime m_probeAt;
};

} // namespace coriander
