#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/**
 * Token bucket whose time is passed in.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class TokenBucket
{
public:
    /**
     * Starts full. @p perSecond is the refill rate and @p burst the most tokens that are kept.
     * Precondition: both are positive.
     */
    TokenBucket(double perSecond, double burst, MonotonicTime now);

    /** Takes @p tokens when that many are there. */
    bool tryTake(MonotonicTime now, double tokens = 1.0);

    /** Takes one token now or in advance, and returns from when on it may be used. Reservations keep their order. */
    MonotonicTime reserve(MonotonicTime now);

    /** Returns a token that was reserved and will not be used. */
    void giveBack();

    /** Changes rate and burst; tokens above the new burst are dropped. */
    void setRate(MonotonicTime now, double perSecond, double burst);

    /** Whether the bucket has refilled completely, so that a new one would be the same. */
    bool isFull(MonotonicTime now);

private:
    void refill(MonotonicTime now);

    double m_perSecond;
    double m_burst;
    double m_tokens;
    MonotonicTime m_refilled;
};

} // namespace coriander
