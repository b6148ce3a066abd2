#include "corianderscale/Protocol/Records.h"

#include <cstdint>

#include "RoundTrip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    coriander::checkRoundTrip<coriander::JobRecord>(text);
    coriander::checkRoundTrip<coriander::RequestRecord>(text);
    coriander::checkRoundTrip<coriander::CountsRecord>(text);
    coriander::checkRoundTrip<coriander::UsageRecord>(text);
    coriander::checkRoundTrip<coriander::DocumentHead>(text);
    coriander::checkRoundTrip<coriander::OwnerRecord>(text);
    return 0;
}
