#pragma once

#include "corianderscale/Coordination/Member.h"
#include "corianderscale/Gateway/CounterCopies.h"
#include "corianderscale/Gateway/EndpointDirectory.h"
#include "corianderscale/Gateway/GatewayHooks.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** @name Peer messages of the gateway; their bodies are CBOR. */
///@{
/** `{"endpoint","incarnation"}`, sent to all live gateways. */
inline constexpr char LeavingEndpointMessage[] = "leaving-endpoint";
/** A CountsRecord, sent to two gateways. The reply is `{"held"}`. */
inline constexpr char CounterCopyMessage[] = "counter-copy";
/** `{"dataCentre","job"}`, sent to the schedulers of a data centre. */
inline constexpr char JobHintMessage[] = "job-hint";
///@}

/** Sends a message to `address:port` of a peer. The reply arrives on any thread; no value when the call failed. */
using SendPeer = std::function<void(const std::string &address,
                                    const std::string &message,
                                    std::string body,
                                    MonotonicTime deadline,
                                    std::function<void(std::optional<std::string>)> done)>;

/**
 * Messages between this gateway and other gateways and schedulers, and the liveness of the members.
 *
 * Thread safety: the gateway's thread.
 */
class GatewayPeers
{
public:
    GatewayPeers(
        GatewayHooks &hooks, InstanceId self, SendPeer send, EndpointDirectory &directory, CounterCopies &copies);

    /** Sets the members that this instance knows. */
    void setMembers(std::vector<Member> members);

    /** Whether a gateway is not known to be dead; false for an unknown gateway. */
    bool isLive(const InstanceId &gateway) const;
    /** Whether a gateway is dead or unknown. */
    bool isDead(const InstanceId &gateway) const;

    /** Notifies all live gateways that an endpoint is leaving. */
    void notifyLeaving(const EndpointId &endpoint, const InstanceId &incarnation);
    /** Notifies the schedulers of a data centre that a job row has changed. */
    void notifyJobChanged(const DataCentreId &dataCentre, const JobId &job);
    /** Sends a copy of counters to two gateways; calls @p done with the number of gateways that hold it. */
    void copyCounters(const CountsRecord &record, std::function<void(int)> done);

    /** Handles a message of a peer. Messages that are not meant for gateways are ignored. */
    void handle(const std::string &message, const std::string &body);

    /**
     * The reply to a peer message that is queued for handle(). A counter copy counts as held as soon as its message is
     * in the memory of this process, because the copies themselves are held only there. Thread safety: pure function.
     */
    static std::string replyTo(const std::string &message, const std::string &body);

private:
    std::vector<const Member *> liveGateways() const;

    GatewayHooks &m_hooks;
    InstanceId m_self;
    SendPeer m_send;
    EndpointDirectory &m_directory;
    CounterCopies &m_copies;
    std::vector<Member> m_members;
};

} // namespace coriander
