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

/** How sends to an endpoint ended, as far as its health is concerned. */
enum class SendHealth {
    Good,
    /** No connection, a broken one, no answer in time, or an answer that was not its own. */
    Bad,
};

/** An endpoint as this gateway sees it. */
struct EndpointEntry {
    EndpointId id;
    std::string address;
    DataCentreId dataCentre;
    InstanceId incarnation;
    std::vector<ServiceName> services;
    std::int64_t slots = 0;
    /** Slots that this gateway uses now. */
    std::int64_t used = 0;
    bool listed = false;
    /** Whether the platform's lagging list says that it leaves. */
    bool listedLeaving = false;
    /** Whether this run of it was heard to leave, first-hand or from a peer; never taken back. */
    bool heardLeaving = false;
    /** The last answer to a poll; an endpoint that has not answered lately gets nothing new. */
    MonotonicTime answeredAt{};
    bool answered = false;

    /** @name Health */
    ///@{
    std::int64_t badInRow = 0;
    /** Shares of bad sends, smoothed over about the last 16. */
    double badShare = 0;
    std::int64_t sends = 0;
    std::int64_t ejections = 0;
    MonotonicTime ejectedUntil{};
    bool ejected = false;
    /** Since when it has been back after an ejection. */
    MonotonicTime returnedAt{};
    bool slowStart = false;
    ///@}
};

/**
 * The endpoints this gateway knows: what they offer, which leave, and which are ejected because they fail.
 *
 * An endpoint is ejected after five bad sends in a row, or when more than half of its recent sends were bad and at
 * least 10 were made. At most 30% of the endpoints of a service are ejected at once. An ejection lasts 5 s times the
 * number of ejections, at most 60 s; the endpoint then gets its share back over 10 s. Thread safety: not thread safe.
 */
class EndpointDirectory
{
public:
    explicit EndpointDirectory(InstanceId self);

    /** Takes the platform's list; returns endpoints that are new on it as leaving. */
    std::vector<EndpointId> setList(const VmList &list);
    void setGateways(std::vector<InstanceId> gateways);

    /** Takes the answer to a poll; returns whether the endpoint is found to be leaving for the first time. */
    bool setPolled(const EndpointInfo &info, MonotonicTime now);

    /** Marks an endpoint as leaving; returns whether that is new. */
    bool setLeaving(const EndpointId &endpoint, const InstanceId &incarnation);

    void noteSend(const EndpointId &endpoint, SendHealth health, MonotonicTime now);

    /** Takes a slot. Precondition: the endpoint is known. */
    void takeSlot(const EndpointId &endpoint);
    void freeSlot(const EndpointId &endpoint);

    /** Slots that this gateway may still use; 0 when the endpoint must not get anything new. */
    std::int64_t freeShare(const EndpointEntry &endpoint, MonotonicTime now) const;
    /** This gateway's share of the endpoint's slots, reduced during a slow start. */
    std::int64_t share(const EndpointEntry &endpoint, MonotonicTime now) const;

    /** Whether the endpoint may get new work now, slots aside. */
    bool usable(const EndpointEntry &endpoint, MonotonicTime now) const;

    /** The endpoints as operators see them. */
    Json toJson(MonotonicTime now) const;

    const EndpointEntry *find(const EndpointId &endpoint) const;
    const std::map<EndpointId, EndpointEntry> &entries() const;
    /** Endpoints of a service, in the order of their ids. */
    const std::vector<EndpointId> &ofService(const ServiceName &service) const;
    /** Sum of this gateway's shares of the usable endpoints of a service. */
    std::int64_t totalShare(const ServiceName &service, MonotonicTime now) const;

private:
    void ejectIfAllowed(EndpointEntry &endpoint, MonotonicTime now);
    bool mayEject(const EndpointEntry &endpoint, MonotonicTime now) const;
    void rebuildServices();

    InstanceId m_self;
    GatewayPlace m_place;
    std::map<EndpointId, EndpointEntry> m_entries;
    std::map<ServiceName, std::vector<EndpointId>> m_services;
};

} // namespace coriander
