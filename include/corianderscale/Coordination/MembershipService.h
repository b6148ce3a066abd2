#pragma once

#include "corianderscale/Coordination/Membership.h"
#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <memory>

namespace coriander {

/**
 * Membership over the store's list of VMs and peer streams, for daemons.
 *
 * Thread safety: all methods from any thread. The hooks run under the service's lock and must not call it back.
 * Replies and lists that arrive after the end of the object are dropped.
 */
class MembershipService
{
public:
    struct Settings {
        Membership::Settings membership;
        /** How often the platform's list is read, and how long one read may take. */
        Duration listEvery = std::chrono::seconds(10);
        Duration listTime = std::chrono::seconds(3);
    };

    /** Sends a peer message; PeerStreams::send() of the daemon's streams. */
    using Send = std::function<void(
        const std::string &address, const std::string &message, std::string body, MonotonicTime deadline, PeerReply)>;

    /** The hook @c send of @p hooks is replaced. @p store must outlive the service. */
    MembershipService(Settings settings, Clock clock, Store &store, Send send, Membership::Hooks hooks);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Does what is due; to be called by a duty thread several times a second. */
    void step();

    /** Handles the peer message GossipPeerMessage and returns the reply. */
    std::string handle(const InstanceId &from, const std::string &body);

    /** Announces that this instance is leaving. */
    void leave();

    /** See Membership. */
    ///@{
    std::vector<Member> members() const;
    int count(MemberRole role) const;
    ///@}

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriander
