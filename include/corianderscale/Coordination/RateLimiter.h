#pragma once

#include "corianderscale/Coordination/TokenBucket.h"
#include "corianderscale/Support/StrongId.h"

#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace coriander {

/** Rate limit of an organisation or a caller, summed over all gateways; a rate of 0 means no limit. */
struct RateLimit {
    /** Requests per second. */
    double perSecond = 0;
    /** Largest number of requests that are accepted at once. */
    double burst = 0;

    bool operator==(const RateLimit &) const = default;
};

/** Which limit refused a request. */
enum class LimitScope {
    Caller,
    Organisation,
};

/** The limit that refused a request, and how long to wait before a retry. */
struct LimitRefusal {
    LimitScope scope = LimitScope::Caller;
    Duration retryAfter{};
};

/**
 * Token buckets per caller and organisation. Each gateway enforces an equal share: the rate divided by the number of
 * live gateways.
 *
 * Thread safety: all methods from any thread.
 */
class RateLimiter
{
public:
    /**
     * @p maximumBuckets bounds the number of buckets and thereby the memory. When it is reached, full buckets are
     * evicted first, then the least recently used ones.
     */
    explicit RateLimiter(std::size_t maximumBuckets = 10000);

    /** Number of gateways that share the limits; at least 1. */
    void setLiveGateways(int gateways);

    /**
     * Takes one token from the bucket of the caller and one from that of the organisation. If either bucket is empty,
     * returns a refusal and takes no token from either.
     */
    std::optional<LimitRefusal> tryTake(MonotonicTime now,
                                        const OrganisationId &organisation,
                                        const RateLimit &organisationLimit,
                                        const CallerId &caller,
                                        const RateLimit &callerLimit);

    /** Number of buckets kept. */
    std::size_t size() const;

private:
    /** The bucket of an organisation has an empty caller id. */
    using Key = std::pair<OrganisationId, CallerId>;

    struct Entry {
        TokenBucket bucket;
        RateLimit limit;
        int gateways;
        MonotonicTime lastUsedAt;
    };

    Entry &findOrAddEntry(MonotonicTime now, const Key &key, const RateLimit &limit);
    void evictEntries(MonotonicTime now);

    std::size_t m_maximumBuckets;
    mutable std::mutex m_mutex;
    int m_gateways = 1;
    std::map<Key, Entry> m_entries;
};

} // namespace coriander
