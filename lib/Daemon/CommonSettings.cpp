#include "corianderscale/Daemon/CommonSettings.h"

#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

constexpr std::size_t MinimumPeerKeyBytes = 16;
constexpr std::size_t InstanceSuffixBytes = 6;

LogLevel parseLogLevel(const std::string &text)
{
    if (text == "debug") {
        return LogLevel::Debug;
    }
    if (text == "warning") {
        return LogLevel::Warning;
    }
    return text == "error" ? LogLevel::Error : LogLevel::Info;
}

std::string requiredBaseAddress(YamlMap &settings, const std::string &key)
{
    std::string value = settings.requiredText(key);
    if (!value.empty() && value.compare(0, 7, "http://") != 0) {
        settings.fault(key, "expected a base address such as http://10.0.0.1:8080");
    }
    while (!value.empty() && value.back() == '/') {
        value.pop_back();
    }
    return value;
}

} // namespace

CommonSettings readCommonSettings(YamlMap &settings, const std::string &role)
{
    CommonSettings common;
    common.dataCentre = DataCentreId(settings.requiredName("data_centre"));
    common.environment = settings.choice("environment", "production", {"trial", "production"});
    common.listen = requiredBaseAddress(settings, "listen");
    common.peerListen = settings.requiredText("peer_listen");
    if (!common.peerListen.empty() && common.peerListen.find(':') == std::string::npos) {
        settings.fault("peer_listen", "expected an address and port such as 10.0.0.1:9080");
    }
    common.platform = requiredBaseAddress(settings, "platform");
    common.peerKey = settings.requiredText("peer_key");
    if (!common.peerKey.empty() && common.peerKey.size() < MinimumPeerKeyBytes) {
        settings.fault("peer_key", "expected at least 16 characters");
    }
    common.storeWritesPerSecond = settings.integer("store_writes_per_second", common.storeWritesPerSecond, 1, 100000);
    common.storeReadsPerSecond = settings.integer("store_reads_per_second", common.storeReadsPerSecond, 1, 1000000);
    common.drainMs = settings.integer("drain_ms", common.drainMs, 0, 3600000);
    setLogLevel(parseLogLevel(settings.choice("log_level", "info", {"debug", "info", "warning", "error"})));
    common.instance = InstanceId(role + "-" + randomHex(InstanceSuffixBytes));
    return common;
}

} // namespace coriander
