#pragma once

#include "corianderscale/Gateway/SlotShares.h"
#include "corianderscale/Protocol/EndpointMessages.h"
#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** Result of a send to an endpoint for the health check. */
enum class SendHealth {
    Good,
    /** The connection failed or broke, the answer timed out, or the answer was for another attempt. */
    Bad,
};

/** State of an endpoint as known to this gateway. */
struct EndpointEntry {
    EndpointId id;
    std::string address;
    DataCentreId dataCentre;
    InstanceId incarnation;
    std::vector<ServiceName> services;
    std::int64_t slots = 0;
    /** Slots that this gateway currently uses. */
    std::int64_t used = 0;
    bool listed = false;
    /** Whether the platform's VM list, which may lag, shows the endpoint as leaving. */
    bool listedLeaving = false;
    /** Whether the endpoint or a peer reported that this incarnation is leaving; never reset for an incarnation. */
    bool reportedLeaving = false;
    /** Time of the last answer to a poll; an endpoint without a recent answer gets no new work. */
    MonotonicTime answeredAt{};
    bool answered = false;

    /** @name Health */
    ///@{
    std::int64_t consecutiveBadSends = 0;
    /** Share of bad sends from 0 to 1, smoothed over about the last 16 sends. */
    double badSendShare = 0;
    std::int64_t sends = 0;
    std::int64_t ejections = 0;
    MonotonicTime ejectedUntil{};
    bool ejected = false;
    /** End of the last ejection. */
    MonotonicTime returnedAt{};
    bool slowStart = false;
    ///@}
};

/**
 * The endpoints known to this gateway: their services and slots, which of them are leaving, and which are ejected
 * because sends to them fail.
 *
 * An endpoint is ejected after five consecutive bad sends, or when more than half of its recent sends were bad and at
 * least 10 were made. At most 30% of the endpoints of a service are ejected at the same time. An ejection lasts 5 s
 * times the number of ejections, at most 60 s; the share of the endpoint is then restored over 10 s (slow start).
 * Thread safety: not thread safe.
 */
class EndpointDirectory
{
public:
    explicit EndpointDirectory(InstanceId self);

    /** Applies the platform's VM list; returns the endpoints that it newly shows as leaving. */
    std::vector<EndpointId> applyVmList(const VmList &list);
    void setGateways(std::vector<InstanceId> gateways);

    /** Applies the answer to a poll; returns whether the endpoint is newly known to be leaving. */
    bool applyPollAnswer(const EndpointInfo &info, MonotonicTime now);

    /** Marks an endpoint as leaving; returns whether this was not known before. */
    bool setLeaving(const EndpointId &endpoint, const InstanceId &incarnation);

    void recordSend(const EndpointId &endpoint, SendHealth health, MonotonicTime now);

    /** Takes a slot. Precondition: the endpoint is known. */
    void takeSlot(const EndpointId &endpoint);
    void freeSlot(const EndpointId &endpoint);

    /** Number of further slots that this gateway may use; 0 when the endpoint must not get new work. */
    std::int64_t freeShare(const EndpointEntry &endpoint, MonotonicTime now) const;
    /** Number of the endpoint's slots that this gateway may use, reduced during a slow start. */
    std::int64_t share(const EndpointEntry &endpoint, MonotonicTime now) const;

    /** Whether the endpoint may get new work now, regardless of free slots. */
    bool isUsable(const EndpointEntry &endpoint, MonotonicTime now) const;

    /** The endpoints as a JSON list for operators. */
    Json toJson(MonotonicTime now) const;

    const EndpointEntry *find(const EndpointId &endpoint) const;
    const std::map<EndpointId, EndpointEntry> &entries() const;
    /** Endpoints of a service, ordered by id. */
    const std::vector<EndpointId> &endpointsOfService(const ServiceName &service) const;
    /** Sum of this gateway's shares, in slots, of all usable endpoints of a service. */
    std::int64_t totalShare(const ServiceName &service, MonotonicTime now) const;

private:
    void ejectIfAllowed(EndpointEntry &endpoint, MonotonicTime now);
    bool canEject(const EndpointEntry &endpoint, MonotonicTime now) const;
    void rebuildServices();

    InstanceId m_self;
    GatewayPosition m_position;
    std::map<EndpointId, EndpointEntry> m_entries;
    std::map<ServiceName, std::vector<EndpointId>> m_services;
};

} // namespace coriander
