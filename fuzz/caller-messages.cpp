#include "corianderscale/Protocol/CallerMessages.h"

#include <cstdint>

#include "RoundTrip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    coriander::checkRoundTrip<coriander::JobSpec>(text);
    coriander::checkRoundTrip<coriander::ErrorBody>(text);
    return 0;
}
