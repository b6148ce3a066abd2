#pragma once

#include "corianderscale/Support/StrongId.h"

#include <cstdint>
#include <vector>

namespace coriander {

/** Place of a gateway among the live ones. */
struct GatewayPlace {
    /** Position in the order of the instance ids, from 0. */
    std::int64_t index = 0;
    std::int64_t count = 1;
};

/** Finds the place of @p self; a gateway that is not in the list counts itself in. */
GatewayPlace placeAmong(std::vector<InstanceId> gateways, const InstanceId &self);

/**
 * The number of an endpoint's slots that a gateway may use: the slots divided by the number of gateways, rounded down,
 * and the rest handed out one each in an order that rotates with the endpoint's id.
 *
 * All gateways that agree on the list of gateways get shares that add up to the slots. Thread safety: pure function.
 */
std::int64_t slotShare(const EndpointId &endpoint, std::int64_t slots, const GatewayPlace &place);

} // namespace coriander
