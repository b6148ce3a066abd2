#include "corianderscale/Protocol/WorkerMessages.h"

#include <cstdint>

#include "RoundTrip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    coriander::checkRoundTrip<coriander::WorkerInfo>(text);
    coriander::checkRoundTrip<coriander::WorkerOrders>(text);
    coriander::checkRoundTrip<coriander::WorkerReport>(text);
    return 0;
}
