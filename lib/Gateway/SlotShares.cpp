#include "corianderscale/Gateway/SlotShares.h"

#include <xxhash.h>

#include <algorithm>

namespace coriander {

GatewayPosition findGatewayPosition(std::vector<InstanceId> gateways, const InstanceId &self)
{
    gateways.push_back(self);
    std::sort(gateways.begin(), gateways.end());
    gateways.erase(std::unique(gateways.begin(), gateways.end()), gateways.end());
    const auto found = std::lower_bound(gateways.begin(), gateways.end(), self);
    return {found - gateways.begin(), static_cast<std::int64_t>(gateways.size())};
}

std::int64_t slotShare(const EndpointId &endpoint, std::int64_t slots, const GatewayPosition &position)
{
    const std::string &id = endpoint.value();
    const auto rotation = static_cast<std::int64_t>(XXH64(id.data(), id.size(), 0) % 1'000'003);
    const std::int64_t offset = (position.index + rotation) % position.count;
    return slots / position.count + (offset < slots % position.count ? 1 : 0);
}

} // namespace coriander
