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
 * Tracks the live daemons of the system by gossip. A state machine; the caller passes the current time.
 *
 * In each interval one member is probed, in random order. A member that answers neither directly nor through other
 * members becomes a suspect. It is removed unless it refutes the suspicion with a higher incarnation before the
 * timeout. Messages carry recent changes and a rotating part of the member list, so their size is bounded for any
 * number of members. A live member that was removed by mistake returns by raising its incarnation as soon as it learns
 * of its removal.
 *
 * Thread safety: members(), count() and self() from any thread. Calls of the other methods and of the Reply callbacks
 * must not overlap.
 */
class Membership
{
public:
    struct Settings {
        /** Initial entry of this instance. */
        Member self;
        /** Interval between two probes. */
        Duration probeInterval = std::chrono::seconds(1);
        /** Time to answer a direct probe. */
        Duration probeTimeout = std::chrono::milliseconds(400);
        /** Time to answer the indirect probes, which are requested when the direct probe times out. */
        Duration indirectProbeTimeout = std::chrono::milliseconds(600);
        /** Number of members that are asked to probe a member that did not answer directly. */
        int indirectProbes = 3;
        /** How long a suspect has to refute the suspicion before it is removed. */
        Duration suspicionTimeout = std::chrono::seconds(4);
        /** How long a removed member is remembered, so that outdated entries do not add it again. */
        Duration deadMemberRetention = std::chrono::seconds(60);
        /** Interval between attempts to reach the seed addresses that belong to no known member. */
        Duration contactInterval = std::chrono::seconds(5);
    };

    /** Receives the reply of a peer and its time of arrival; no value when the peer was not reached. */
    using Reply = std::function<void(MonotonicTime now, const std::optional<std::string> &reply)>;

    struct Hooks {
        /** Sends the peer message GossipPeerMessage. */
        std::function<void(const std::string &peerAddress, std::string body, MonotonicTime deadline, Reply done)> send;
        /** Called for a member that is new or whose state has changed; may be empty. */
        std::function<void(const Member &)> changed;
        /** Returns the newest version of the configuration document on this instance; may be empty. */
        std::function<DocumentVersion()> document;
        /** Called with the version of the configuration document on a peer; may be empty. */
        std::function<void(const std::string &peerAddress, DocumentVersion)> peerDocument;
    };

    /** @p random chooses the members and addresses that are contacted. */
    Membership(Settings settings, Hooks hooks, RandomUnit random);

    /** Sets the peer addresses from the platform's list, used to join and to rejoin after a partition. */
    void setSeedAddresses(std::vector<std::string> peerAddresses);

    /** Runs the probes and timeouts that are due. Call it several times a second. */
    void step(MonotonicTime now);

    /**
     * Handles a gossip message of an authenticated peer. Returns the reply, or an empty text for a malformed message.
     */
    std::string handle(MonotonicTime now, const InstanceId &from, const std::string &body);

    /** Announces to every member that this instance is leaving. */
    void leave(MonotonicTime now);

    /** Returns all members that are not dead, including this instance, ordered by instance id. */
    std::vector<Member> members() const;

    /** Number of members with the role that are alive or suspect, which may include this one; never less than 1. */
    int count(MemberRole role) const;

    Member self() const;

private:
    struct KnownMember {
        Member member;
        MonotonicTime stateSince;
        /** Number of messages that still have to carry the last change of this entry. */
        int transmissionsLeft = 0;
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
              std::function<void(MonotonicTime)> onAnswer);
    void contactUnknownAddresses(MonotonicTime now);
    void expireMembers(MonotonicTime now);
    GossipMessage makeMessage(GossipKind kind, const InstanceId &receiver);
    std::vector<const KnownMember *> selectEntries(const InstanceId &receiver);
    void requestIndirectProbes(MonotonicTime now);
    void merge(MonotonicTime now, const GossipMessage &message);
    void mergeEntry(MonotonicTime now, const GossipEntry &entry);
    void refute(MonotonicTime now, const GossipEntry &entry);
    void updateMember(MonotonicTime now, const Member &member, bool disseminate);
    bool handleReply(MonotonicTime now, const std::string &address, const std::optional<std::string> &body);
    void probeForPeer(MonotonicTime now, const InstanceId &requester, const GossipMessage &request);
    const Member *find(const InstanceId &instance) const;
    KnownMember &selfEntry();
    int transmissionsPerChange() const;

    Settings m_settings;
    Hooks m_hooks;
    RandomUnit m_random;
    mutable std::mutex m_mutex;
    /**
     * Includes this instance. Only the methods and callbacks that must not overlap change the map. They lock the mutex
     * to change it, except transmissionsLeft, which only they use, and read it without the mutex.
     */
    std::map<InstanceId, KnownMember> m_members;
    std::vector<InstanceId> m_probeOrder;
    std::optional<Probe> m_probe;
    MonotonicTime m_nextProbe;
    std::vector<std::string> m_contacts;
    MonotonicTime m_nextContact;
    /** Position in the rotation through the member list: the instance whose entry was selected last. */
    InstanceId m_lastRotated;
    MonotonicTime m_lastStep;
};

} // namespace coriander
