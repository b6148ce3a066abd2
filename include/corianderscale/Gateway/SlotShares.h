#pragma once

#include "corianderscale/Support/StrongId.h"

#include <cstdint>
#include <vector>

namespace coriander {

/** Position of a gateway among the live gateways. */
struct GatewayPosition {
    /** Index in the order of the instance ids, from 0. */
    std::int64_t index = 0;
    std::int64_t count = 1;
};

/** Finds the position of @p self; @p self is added when it is not in the list. */
GatewayPosition findGatewayPosition(std::vector<InstanceId> gateways, const InstanceId &self);

/**
 * The number of an endpoint's slots that a gateway may use: the slots divided by the number of gateways, rounded down.
 * The remaining slots go to one gateway each, starting at a gateway that depends on the hash of the endpoint's id.
 *
 * The shares of all gateways with the same list of gateways add up to the slots. Thread safety: pure function.
 */
std::int64_t slotShare(const EndpointId &endpoint, std::int64_t slots, const GatewayPosition &position);

} // namespace coriander
