#pragma once

#include "corianderscale/Coordination/Member.h"
#include "corianderscale/Support/Units.h"

#include <cstdint>
#include <string>

namespace coriander {

/** One live daemon as the answering instance knows it. */
struct InstanceView {
    Member member;
    /** The document version in force there; 0 when not known. */
    DocumentVersion version;
    /** Whether the instance cannot be reached, or cannot reach the platform's table. */
    bool cutOff = false;
    /** Since when it is cut off, in ms since the Unix epoch; 0 when it is not. */
    std::int64_t cutOffSinceUnixMs = 0;
};

} // namespace coriander
