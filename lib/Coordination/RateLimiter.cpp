#include "corianderscale/Coordination/RateLimiter.h"

#include <algorithm>

namespace coriander {

namespace {

/** Divides a limit of the whole system equally among the gateways. */
double dividePerGateway(double value, int gateways)
{
    return value / gateways;
}

/** Burst of one gateway; at least 1, because a smaller burst would refuse every request. */
double burstPerGateway(const RateLimit &limit, int gateways)
{
    return std::max(1.0, dividePerGateway(limit.burst, gateways));
}

/** Time in which one gateway's bucket gains one token. */
Duration refillTimeOfOneToken(const RateLimit &limit, int gateways)
{
    return Duration(static_cast<std::int64_t>(1e6 / dividePerGateway(limit.perSecond, gateways)));
}

} // namespace

RateLimiter::RateLimiter(std::size_t maximumBuckets)
    : m_maximumBuckets(std::max<std::size_t>(2, maximumBuckets))
{
}

void RateLimiter::setLiveGateways(int gateways)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_gateways = std::max(1, gateways);
}

std::optional<LimitRefusal> RateLimiter::tryTake(MonotonicTime now,
                                                 const OrganisationId &organisation,
                                                 const RateLimit &organisationLimit,
                                                 const CallerId &caller,
                                                 const RateLimit &callerLimit)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Entry *callerEntry = nullptr;
    if (callerLimit.perSecond > 0) {
        callerEntry = &findOrAddEntry(now, {organisation, caller}, callerLimit);
        if (!callerEntry->bucket.tryTake(now)) {
            return LimitRefusal{LimitScope::Caller, refillTimeOfOneToken(callerLimit, m_gateways)};
        }
    }
    if (organisationLimit.perSecond > 0
        && !findOrAddEntry(now, {organisation, CallerId()}, organisationLimit).bucket.tryTake(now)) {
        if (callerEntry != nullptr) {
            callerEntry->bucket.giveBack();
        }
        return LimitRefusal{LimitScope::Organisation, refillTimeOfOneToken(organisationLimit, m_gateways)};
    }
    return std::nullopt;
}

std::size_t RateLimiter::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size();
}

RateLimiter::Entry &RateLimiter::findOrAddEntry(MonotonicTime now, const Key &key, const RateLimit &limit)
{
    auto found = m_entries.find(key);
    const double perSecond = dividePerGateway(limit.perSecond, m_gateways);
    const double burst = burstPerGateway(limit, m_gateways);
    if (found == m_entries.end()) {
        evictEntries(now);
        found = m_entries.emplace(key, Entry{TokenBucket(perSecond, burst, now), limit, m_gateways, now}).first;
    }
    Entry &entry = found->second;
    if (entry.limit != limit || entry.gateways != m_gateways) {
        entry.bucket.setRate(now, perSecond, burst);
        entry.limit = limit;
        entry.gateways = m_gateways;
    }
    entry.lastUsedAt = now;
    return entry;
}

void RateLimiter::evictEntries(MonotonicTime now)
{
    if (m_entries.size() < m_maximumBuckets) {
        return;
    }
    // Entries used at @p now stay: the current tryTake() call may hold a pointer to one of them.
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool evict = entry->second.lastUsedAt != now && entry->second.bucket.isFull(now);
        entry = evict ? m_entries.erase(entry) : std::next(entry);
    }
    while (m_entries.size() >= m_maximumBuckets) {
        const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
            return a.second.lastUsedAt < b.second.lastUsedAt;
        });
        if (oldest->second.lastUsedAt == now) {
            return;
        }
        m_entries.erase(oldest);
    }
}

} // namespace coriander
