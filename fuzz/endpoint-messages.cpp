#include "corianderscale/Protocol/EndpointMessages.h"

#include <cstdint>

#include "RoundTrip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    coriander::checkRoundTrip<coriander::EndpointInfo>(text);
    coriander::checkRoundTrip<coriander::EndpointRefusal>(text);
    coriander::checkRoundTrip<coriander::AttemptStatus>(text);
    return 0;
}
