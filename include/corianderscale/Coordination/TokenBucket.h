#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/**
 * Token bucket; the caller passes the current time.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class TokenBucket
{
public:
    /**
     * Starts full. @p perSecond is the refill rate in tokens per second, @p burst the maximum number of tokens.
     * Precondition: both are positive.
     */
    TokenBucket(double perSecond, double burst, MonotonicTime now);

    /** Takes @p tokens and returns true, or takes none and returns false when fewer are available. */
    bool tryTake(MonotonicTime now, double tokens = 1.0);

    /**
     * Takes one token, in advance if none is left, and returns the time from which it may be used. Reservations become
     * usable in the order in which they were made.
     */
    MonotonicTime reserve(MonotonicTime now);

    /** Puts back one token that was taken or reserved and will not be used. */
    void giveBack();

    /** Changes the rate and the burst; tokens above the new burst are dropped. */
    void setRate(MonotonicTime now, double perSecond, double burst);

    /** Whether the bucket is full, so that a new bucket would behave the same. */
    bool isFull(MonotonicTime now);

private:
    void refill(MonotonicTime now);

    double m_perSecond;
    double m_burst;
    double m_tokens;
    MonotonicTime m_refilledAt;
};

} // namespace coriander
