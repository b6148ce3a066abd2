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
    /** Did not answer; removed unless it refutes the suspicion in time. */
    Suspect,
    /** Has said that it is leaving. */
    Leaving,
    Dead,
};

/** One daemon of the system as this instance knows it. */
struct Member {
    /** One run of the daemon. */
    InstanceId instance;
    MemberRole role = MemberRole::Gateway;
    DataCentreId dataCentre;
    /** Base address of its HTTP interface. */
    std::string address;
    /** `address:port` of its peer streams. */
    std::string peerAddress;
    MemberState state = MemberState::Alive;
    /** Raised by the member itself to refute a suspicion. */
    std::int64_t incarnation = 0;
};

} // namespace coriander
