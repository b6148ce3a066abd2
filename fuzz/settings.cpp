#include "corianderscale/Daemon/CommonSettings.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    std::vector<coriander::YamlFault> faults;
    const auto root = coriander::parseYaml(text, "fuzz.yaml", faults);
    if (!root) {
        return 0;
    }
    coriander::YamlMap settings(*root, "fuzz.yaml", {}, faults);
    coriander::readCommonSettings(settings, "gateway");
    settings.finish();
    return 0;
}
