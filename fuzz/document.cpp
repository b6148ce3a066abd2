#include "corianderscale/State/Document.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    std::vector<coriander::YamlFault> faults;
    const auto document = coriander::parseDocument(text, "fuzz.yaml", faults);
    if (document.has_value() != faults.empty()) {
        std::cerr << "a document was accepted with faults, or refused without faults\n";
        std::abort();
    }
    return 0;
}
