#pragma once

#include "corianderscale/Gateway/EndpointDirectory.h"

#include <functional>
#include <optional>
#include <set>

namespace coriander {

/**
 * Chooses the endpoint of an attempt with power-of-two-choices: of two random candidates, the one with the larger free
 * part of its share. Candidates are the endpoints in this gateway's data centre, or those in other data centres when
 * the former have no free share.
 *
 * Thread safety: not thread safe.
 */
class Router
{
public:
    /** @p random returns uniform 64-bit numbers. */
    Router(const EndpointDirectory &directory, DataCentreId dataCentre, std::function<std::uint64_t()> random);

    /** An endpoint of the service with a free share that is not in @p excluded, or no value when there is none. */
    std::optional<EndpointId> choose(const ServiceName &service,
                                     const std::set<EndpointId> &excluded,
                                     MonotonicTime now);

private:
    const EndpointDirectory &m_directory;
    DataCentreId m_dataCentre;
    std::function<std::uint64_t()> m_random;
    /** Candidate lists, kept as members to avoid an allocation for each request. */
    std::vector<const EndpointEntry *> m_own;
    std::vector<const EndpointEntry *> m_other;
};

} // namespace coriander
