#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/YamlReader.h"

#include <string>

namespace coriander {

/** Settings that both the gateway and the scheduler have. */
struct CommonSettings {
    DataCentreId dataCentre;
    /** `trial` or `production`. */
    std::string environment;
    /** Base address of the HTTP interface, such as `http://127.0.0.1:8080`. */
    std::string listen;
    /** `address:port` of the peer streams. */
    std::string peerListen;
    /** Base address of the platform's services. */
    std::string platform;
    /** Shared key of the peer streams. */
    std::string peerKey;
    /** Rate limits of the whole site on store operations, divided among the live instances. */
    std::int64_t storeWritesPerSecond = 300;
    std::int64_t storeReadsPerSecond = 2000;
    /** Time limit of a graceful shutdown, in ms. */
    std::int64_t drainMs = 30000;
    /** Random id of this run of the daemon. */
    InstanceId instance;
};

/**
 * Reads the keys `data_centre`, `environment`, `listen`, `peer_listen`, `platform`, `peer_key`,
 * `store_writes_per_second`, `store_reads_per_second`, `drain_ms` and `log_level`, and sets the log level.
 *
 * @p role is the prefix of the instance id.
 */
CommonSettings readCommonSettings(YamlMap &settings, const std::string &role);

} // namespace coriander
