#pragma once

#include "corianderscale/Support/StrongId.h"

#include <cstdint>
#include <string>

namespace coriander {

enum class MemberRole {
    Gateway,
    Scheduler,
};

enum class MemberState {
    Alive,
    /** Did not answer a probe; becomes Dead unless it refutes the suspicion before the timeout. */
    Suspect,
    /** Has announced that it is leaving. */
    Leaving,
    Dead,
};

/** What this instance knows about one daemon of the system. */
struct Member {
    /** Identifies one run of the daemon; a restarted daemon has a new id. */
    InstanceId instance;
    MemberRole role = MemberRole::Gateway;
    DataCentreId dataCentre;
    /** Base address of its HTTP interface. */
    std::string address;
    /** `address:port` of its peer streams. */
    std::string peerAddress;
    MemberState state = MemberState::Alive;
    /** Version of the entry; only the member itself raises it, for example to refute a suspicion. */
    std::int64_t incarnation = 0;
};

} // namespace coriander
