#pragma once

#include "corianderscale/Coordination/Membership.h"
#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <memory>

namespace coriander {

/**
 * Runs Membership in a daemon, with the VM list of the store as contacts and over peer streams.
 *
 * Thread safety: all methods from any thread. The hooks run under the service's lock and must not call it back.
 * Replies and VM lists that arrive after the object has been destroyed are dropped.
 */
class MembershipService
{
public:
    struct Settings {
        Membership::Settings membership;
        /** Interval at which the platform's VM list is read, and the timeout of one read. */
        Duration listInterval = std::chrono::seconds(10);
        Duration listTimeout = std::chrono::seconds(3);
    };

    /** Sends a peer message, usually by PeerStreams::send(). */
    using Send = std::function<void(
        const std::string &address, const std::string &message, std::string body, MonotonicTime deadline, PeerReply)>;

    /** Replaces the hook @c send of @p hooks. @p store must outlive the service. */
    MembershipService(Settings settings, Clock clock, Store &store, Send send, Membership::Hooks hooks);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Runs what is due. A duty thread calls it several times a second. */
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
