#pragma once

#include "corianderscale/Coordination/Backoff.h"
#include "corianderscale/Coordination/Member.h"
#include "corianderscale/Protocol/GossipMessages.h"
#include "corianderscale/Support/Time.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** Name of the peer message that Membership sends and handles. */
inline constexpr const char *GossipPeerMessage = "gossip";

/**
 * The live daemons of the system, by gossip, as a state machine whose time is passed in.
 *
 * Each interval one random member is probed. A member that answers neither directly nor through others is suspected,
 * and removed if it does not refute the suspicion with a higher incarnation in time. Messages carry recent changes and
 * a rotating part of the list, so their size is bounded whatever the number of members. A member that was removed while
 * it lived returns by raising its incarnation as soon as it hears of its removal.
 *
 * Thread safety: members(), count() and self() from any thread; the other methods and the replies for one caller at a
 * time.
 */
class Membership
{
public:
    struct Settings {
        /** This instance; its state and incarnation are kept here. */
        Member self;
        Duration probeEvery = std::chrono::seconds(1);
        /** How long a probed member may take to answer itself, and then through others. */
        Duration probeTime = std::chrono::milliseconds(400);
        Duration indirectTime = std::chrono::milliseconds(600);
        int indirectProbes = 3;
        Duration suspicionTime = std::chrono::seconds(4);
        /** Removed members are remembered this long, so that old news does not bring them back. */
        Duration forgetAfter = std::chrono::seconds(60);
        /** How often an address of the platform's list that is no known member is tried. */
        Duration contactEvery = std::chrono::seconds(5);
    };

    /** Reply of a peer, or no value when it was not reached. The time is that of the reply. */
    using Reply = std::function<void(MonotonicTime now, const std::optional<std::string> &reply)>;

    struct Hooks {
        /** Sends the peer message GossipPeerMessage. */
        std::function<void(const std::string &peerAddress, std::string body, MonotonicTime deadline, Reply done)> send;
        /** Tells of a member that is new or whose state has changed; may be empty. */
        std::function<void(const Member &)> changed;
        /** The newest document version of this instance; may be empty. */
        std::function<DocumentVersion()> document;
        /** Tells of a peer's document version; may be empty. */
        std::function<void(const std::string &peerAddress, DocumentVersion)> peerDocument;
    };

    Membership(Settings settings, Hooks hooks, RandomUnit random);

    /** Peer addresses of the platform's list, for first contact and for finding each other after a partition. */
    void setContacts(std::vector<std::string> peerAddresses);

    /** Does what is due. Call several times a second. */
    void step(MonotonicTime now);

    /** Handles a gossip message of an authenticated peer and returns the reply; empty for a malformed one. */
    std::string handle(MonotonicTime now, const InstanceId &from, const std::string &body);

    /** Announces that this instance is leaving, to every member at once. */
    void leave(MonotonicTime now);

    /** All members that are not dead, this instance included, ordered by instance id. */
    std::vector<Member> members() const;

    /** Number of members of the role that are not leaving or dead, this instance included; at least 1. */
    int count(MemberRole role) const;

    Member self() const;

private:
    struct Known {
        Member member;
        MonotonicTime since;
        /** Messages that still carry this entry as news. */
        int newsLeft = 0;
    };

    struct Probe {
        InstanceId target;
        std::string address;
        MonotonicTime indirectAt;
        MonotonicTime failsAt;
        bool indirect = false;
    };

    void startProbe(MonotonicTime now);
    void continueProbe(MonotonicTime now);
    void failProbe(MonotonicTime now);
    std::optional<InstanceId> nextTarget();
    void ping(MonotonicTime now,
              const InstanceId &target,
              const std::string &address,
              std::function<void(MonotonicTime)> answered);
    void contact(MonotonicTime now);
    void endSuspicions(MonotonicTime now);
    GossipMessage makeMessage(GossipKind kind, const InstanceId &receiver);
    std::vector<const Known *> selectEntries(const InstanceId &receiver);
    void askOthers(MonotonicTime now);
    void merge(MonotonicTime now, const GossipMessage &message);
    void mergeEntry(MonotonicTime now, const GossipEntry &entry);
    void refute(MonotonicTime now, const GossipEntry &entry);
    void change(MonotonicTime now, const Member &member, bool news);
    bool takeReply(MonotonicTime now, const std::string &address, const std::optional<std::string> &body);
    void helpProbe(MonotonicTime now, const InstanceId &asker, const GossipMessage &request);
    const Member *find(const InstanceId &instance) const;
    Known &own();
    int newsCopies() const;

    Settings m_settings;
    Hooks m_hooks;
    RandomUnit m_random;
    mutable std::mutex m_mutex;
    /** This instance included. Written by one caller at a time under the mutex, so that caller reads without it. */
    std::map<InstanceId, Known> m_members;
    std::vector<InstanceId> m_order;
    std::optional<Probe> m_probe;
    MonotonicTime m_nextProbe;
    std::vector<std::string> m_contacts;
    MonotonicTime m_nextContact;
    InstanceId m_rotation;
};

} // namespace coriander
