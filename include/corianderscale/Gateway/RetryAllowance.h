#pragma once

#include <algorithm>

namespace coriander {

/**
 * Retries and hedges may add at most 10% to the sends: each first send earns a tenth of a retry, up to ten in hand.
 *
 * Without the bound, retries multiply the load just when endpoints are overloaded. Thread safety: not thread safe.
 */
class RetryAllowance
{
public:
    void noteSend()
    {
        m_tenths = std::min(m_tenths + 1, MaximumTenths);
    }

    /** Takes one retry; returns false when none is in hand. */
    bool spend()
    {
        if (m_tenths < TenthsPerRetry) {
            return false;
        }
        m_tenths -= TenthsPerRetry;
        return true;
    }

private:
    static constexpr int TenthsPerRetry = 10;
    static constexpr int MaximumTenths = 100;

    /** Starts with one retry, so that the first request of a gateway survives a stale view of an endpoint. */
    int m_tenths = TenthsPerRetry;
};

} // namespace coriander
