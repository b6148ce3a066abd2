#pragma once

#include "corianderscale/Coordination/TokenBucket.h"
#include "corianderscale/Support/StrongId.h"

#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace coriander {

/** Rate of an organisation or a caller over all gateways; no limit when the rate is zero. */
struct RateLimit {
    double perSecond = 0;
    /** Requests that may come at once. */
    double burst = 0;

    bool operator==(const RateLimit &) const = default;
};

/** Which limit refused a request. */
enum class LimitScope {
    Caller,
    Organisation,
};

/** A refusal and when to try again. */
struct LimitRefusal {
    LimitScope scope = LimitScope::Caller;
    Duration retryAfter{};
};

/**
 * Token buckets per caller and organisation. Each gateway applies its share: the rate divided by the live gateways.
 *
 * Thread safety: all methods from any thread.
 */
class Limits
{
public:
    /** @p maximumBuckets bounds the memory; beyond it, buckets that are full are forgotten, then the least used. */
    explicit Limits(std::size_t maximumBuckets = 10000);

    /** Number of gateways that share the limits; at least 1. */
    void setLiveGateways(int gateways);

    /** Counts one request against both limits. Returns a refusal, without counting it anywhere, when one is used up. */
    std::optional<LimitRefusal> tryTake(MonotonicTime now,
                                        const OrganisationId &organisation,
                                        const RateLimit &organisationLimit,
                                        const CallerId &caller,
                                        const RateLimit &callerLimit);

    /** Number of buckets kept. */
    std::size_t size() const;

private:
    /** The caller is empty for the bucket of an organisation. */
    using Key = std::pair<OrganisationId, CallerId>;

    struct Entry {
        TokenBucket bucket;
        RateLimit limit;
        int gateways;
        MonotonicTime usedAt;
    };

    Entry &entryFor(MonotonicTime now, const Key &key, const RateLimit &limit);
    void makeRoom(MonotonicTime now);

    std::size_t m_maximumBuckets;
    mutable std::mutex m_mutex;
    int m_gateways = 1;
    std::map<Key, Entry> m_entries;
};

} // namespace coriander
