#include "corianderscale/Gateway/Router.h"

#include <utility>

namespace coriander {

Router::Router(const EndpointDirectory &directory, DataCentreId dataCentre, std::function<std::uint64_t()> random)
    : m_directory(directory)
    , m_dataCentre(std::move(dataCentre))
    , m_random(std::move(random))
{
}

std::optional<EndpointId> Router::choose(const ServiceName &service,
                                         const std::set<EndpointId> &excluded,
                                         MonotonicTime now)
{
    m_own.clear();
    m_other.clear();
    for (const EndpointId &id : m_directory.endpointsOfService(service)) {
        const EndpointEntry *entry = m_directory.find(id);
        if (m_directory.freeShare(*entry, now) > 0 && !excluded.contains(id)) {
            (entry->dataCentre == m_dataCentre ? m_own : m_other).push_back(entry);
        }
    }
    const std::vector<const EndpointEntry *> &candidates = m_own.empty() ? m_other : m_own;
    if (candidates.empty()) {
        return std::nullopt;
    }
    const EndpointEntry *first = candidates[m_random() % candidates.size()];
    const EndpointEntry *second = candidates[m_random() % candidates.size()];
    // Compares the fractions free/share without division: a/b >= c/d as a*d >= c*b.
    const std::int64_t firstFree = m_directory.freeShare(*first, now) * m_directory.share(*second, now);
    const std::int64_t secondFree = m_directory.freeShare(*second, now) * m_directory.share(*first, now);
    return firstFree >= secondFree ? first->id : second->id;
}

} // namespace coriander
