#pragma once

#include "corianderscale/Coordination/Member.h"
#include "corianderscale/Support/Units.h"

#include <cstdint>
#include <string>

namespace coriander {

/** What the instance that answers a request knows about one live daemon. */
struct InstanceView {
    Member member;
    /** The document version that the daemon uses; 0 when not known. */
    DocumentVersion version;
    /** Whether the instance cannot be reached, or cannot reach the platform's table. */
    bool cutOff = false;
    /** When the instance was cut off, in ms since the Unix epoch; 0 when it is not cut off. */
    std::int64_t cutOffSinceUnixMs = 0;
};

} // namespace coriander
