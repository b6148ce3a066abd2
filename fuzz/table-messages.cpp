#include "corianderscale/Protocol/TableMessages.h"

#include <cstdint>

#include "RoundTrip.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    coriander::checkRoundTrip<coriander::TableTransaction>(text);
    coriander::checkRoundTrip<coriander::TableTransactionResult>(text);
    coriander::checkRoundTrip<coriander::TableRead>(text);
    coriander::checkRoundTrip<coriander::TableScan>(text);
    coriander::checkRoundTrip<coriander::TableRows>(text);
    coriander::checkRoundTrip<coriander::VmList>(text);
    return 0;
}
