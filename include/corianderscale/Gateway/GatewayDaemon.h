#pragma once

#include "corianderscale/Gateway/GatewayCore.h"
#include "corianderscale/Support/YamlReader.h"

namespace coriander {

/**
 * Reads the settings of the gateway: the common ones, `maximum_queued`, `maximum_queued_per_caller`,
 * `endpoint_poll_ms`, `announce` and `bootstrap_operator_digest`.
 */
struct GatewayDaemonSettings {
    GatewaySettings gateway;
    /** Whether the gateway announces its VM to the platform; for stand-ins, which do not know the VMs otherwise. */
    bool announce = false;
    /** SHA-256 of the token that may apply the first document; empty for none. */
    std::string bootstrapDigest;

    static GatewayDaemonSettings read(YamlMap &settings);
};

/** Runs the gateway until a shutdown signal; returns an exit code. */
int runGateway(const GatewayDaemonSettings &settings);

} // namespace coriander
