#pragma once

#include "corianderscale/Gateway/EndpointDirectory.h"

#include <functional>
#include <optional>
#include <set>

namespace coriander {

/**
 * Chooses the endpoint of an attempt: the better of two random ones by free share, in the own data centre first and in
 * others when the own one has no free share.
 *
 * Thread safety: not thread safe.
 */
class Router
{
public:
    /** @p random returns uniform 64-bit numbers. */
    Router(const EndpointDirectory &directory, DataCentreId dataCentre, std::function<std::uint64_t()> random);

    /** An endpoint with a free slot that is not excluded, if there is one. */
    std::optional<EndpointId> choose(const ServiceName &service,
                                     const std::set<EndpointId> &excluded,
                                     MonotonicTime now);

private:
    const EndpointDirectory &m_directory;
    DataCentreId m_dataCentre;
    std::function<std::uint64_t()> m_random;
    /** Reused between calls, because a choice is made for each request. */
    std::vector<const EndpointEntry *> m_own;
    std::vector<const EndpointEntry *> m_other;
};

} // namespace coriander
