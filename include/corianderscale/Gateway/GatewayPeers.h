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
/** `{"endpoint","incarnation"}`, to gateways. */
inline constexpr char LeavingEndpointMessage[] = "leaving-endpoint";
/** A CountsRecord, to two gateways. The reply is `{"held"}`. */
inline constexpr char CounterCopyMessage[] = "counter-copy";
/** `{"dataCentre","job"}`, to the schedulers of a data centre. */
inline constexpr char JobHintMessage[] = "job-hint";
///@}

/** Sends a message to `address:port` of a peer; the reply arrives on any thread, without value when it failed. */
using SendPeer = std::function<void(const std::string &address,
                                    const std::string &message,
                                    std::string body,
                                    MonotonicTime deadline,
                                    std::function<void(std::optional<std::string>)> done)>;

/**
 * What gateways and schedulers tell each other as far as the gateway takes part, and who lives.
 *
 * Thread safety: the gateway's thread.
 */
class GatewayPeers
{
public:
    GatewayPeers(
        GatewayHooks &hooks, InstanceId self, SendPeer send, EndpointDirectory &directory, CounterCopies &copies);

    /** Takes the members that this instance knows. */
    void setMembers(std::vector<Member> members);

    /** Whether a gateway is alive; a gateway that is not known is not. */
    bool isLive(const InstanceId &gateway) const;
    /** Whether a gateway is known to be dead, or not known any more. */
    bool isDead(const InstanceId &gateway) const;

    /** Tells all gateways that an endpoint leaves. */
    void tellLeaving(const EndpointId &endpoint, const InstanceId &incarnation);
    /** Tells the schedulers of a data centre that a job row has changed. */
    void tellJob(const DataCentreId &dataCentre, const JobId &job);
    /** Sends a copy of counters to two gateways; reports how many hold it. */
    void copyCounters(const CountsRecord &record, std::function<void(int)> done);

    /** Takes a message of a peer. Messages that are not of the gateway are ignored. */
    void handle(const std::string &message, const std::string &body);

    /**
     * The reply to a message of a peer that handle() will be given. A copy counts as held once its message is in this
     * process's memory, where it shares the fate of the copies themselves. Thread safety: pure function.
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
