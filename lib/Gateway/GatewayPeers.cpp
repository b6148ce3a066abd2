#include "corianderscale/Gateway/GatewayPeers.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <memory>

namespace coriander {

namespace {

constexpr Duration MessageTimeout = std::chrono::milliseconds(800);
/** Short, because answers to callers wait for the copies while the store is unavailable. */
constexpr Duration CopyTimeout = std::chrono::milliseconds(300);
constexpr std::size_t CopyTargets = 2;

std::string toCbor(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

std::optional<Json> fromCbor(const std::string &body)
{
    Json json = Json::from_cbor(body, true, false);
    return json.is_discarded() ? std::nullopt : std::optional<Json>(std::move(json));
}

bool isPresumedAlive(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

GatewayPeers::GatewayPeers(
    GatewayHooks &hooks, InstanceId self, SendPeer send, EndpointDirectory &directory, CounterCopies &copies)
    : m_hooks(hooks)
    , m_self(std::move(self))
    , m_send(std::move(send))
    , m_directory(directory)
    , m_copies(copies)
{
}

void GatewayPeers::setMembers(std::vector<Member> members)
{
    m_members = std::move(members);
    std::vector<InstanceId> gateways;
    for (const Member &member : m_members) {
        if (member.role == MemberRole::Gateway && isPresumedAlive(member)) {
            gateways.push_back(member.instance);
        }
    }
    m_directory.setGateways(std::move(gateways));
}

bool GatewayPeers::isLive(const InstanceId &gateway) const
{
    return gateway == m_self || std::any_of(m_members.begin(), m_members.end(), [&gateway](const Member &member) {
               return member.instance == gateway && member.state != MemberState::Dead;
           });
}

bool GatewayPeers::isDead(const InstanceId &gateway) const
{
    return !isLive(gateway);
}

std::vector<const Member *> GatewayPeers::liveGateways() const
{
    std::vector<const Member *> gateways;
    for (const Member &member : m_members) {
        if (member.role == MemberRole::Gateway && member.instance != m_self && isPresumedAlive(member)) {
            gateways.push_back(&member);
        }
    }
    return gateways;
}

void GatewayPeers::notifyLeaving(const EndpointId &endpoint, const InstanceId &incarnation)
{
    logEvent(LogLevel::Info, "endpoint-leaving", {{"endpoint", endpoint}});
    const std::string body = toCbor({{"endpoint", endpoint.value()}, {"incarnation", incarnation.value()}});
    for (const Member *gateway : liveGateways()) {
        m_send(
            gateway->peerAddress, LeavingEndpointMessage, body, m_hooks.clock.now() + MessageTimeout, [](const auto &) {
            });
    }
}

void GatewayPeers::notifyJobChanged(const DataCentreId &dataCentre, const JobId &job)
{
    const std::string body = toCbor({{"dataCentre", dataCentre.value()}, {"job", job.value()}});
    for (const Member &member : m_members) {
        if (member.role == MemberRole::Scheduler && member.dataCentre == dataCentre && isPresumedAlive(member)) {
            m_send(member.peerAddress, JobHintMessage, body, m_hooks.clock.now() + MessageTimeout, [](const auto &) {});
        }
    }
}

void GatewayPeers::copyCounters(const CountsRecord &record, std::function<void(int)> done)
{
    std::vector<const Member *> gateways = liveGateways();
    // Selects the two gateways that follow this one in cyclic id order, so that its copies always go to the same two.
    std::sort(gateways.begin(), gateways.end(), [this](const Member *left, const Member *right) {
        return std::pair(left->instance < m_self, left->instance)
            < std::pair(right->instance < m_self, right->instance);
    });
    gateways.resize(std::min(gateways.size(), CopyTargets));
    if (gateways.empty()) {
        done(0);
        return;
    }
    struct Pending {
        std::size_t unanswered = 0;
        int held = 0;
    };
    const auto pending = std::make_shared<Pending>();
    pending->unanswered = gateways.size();
    const std::string body = toCbor(record.toJson());
    for (const Member *gateway : gateways) {
        m_send(gateway->peerAddress,
               CounterCopyMessage,
               body,
               m_hooks.clock.now() + CopyTimeout,
               [this, pending, done](const std::optional<std::string> &reply) {
                   const auto json = reply ? fromCbor(*reply) : std::nullopt;
                   const bool held = json && json->is_object() && json->value("held", false);
                   m_hooks.post([pending, held, done] {
                       pending->held += held ? 1 : 0;
                       if (--pending->unanswered == 0) {
                           done(pending->held);
                       }
                   });
               });
    }
}

std::string GatewayPeers::replyTo(const std::string &message, const std::string &body)
{
    if (message != CounterCopyMessage) {
        return toCbor(Json::object());
    }
    const auto json = fromCbor(body);
    ProtocolError error;
    return toCbor({{"held", json && decodeJson<CountsRecord>(*json, error).has_value()}});
}

void GatewayPeers::handle(const std::string &message, const std::string &body)
{
    const auto json = fromCbor(body);
    ProtocolError error;
    if (!json) {
        return;
    }
    if (message == CounterCopyMessage) {
        if (const auto record = decodeJson<CountsRecord>(*json, error)) {
            m_copies.hold(*record);
        }
        return;
    }
    if (message != LeavingEndpointMessage) {
        return;
    }
    JsonReader reader(*json, {}, error);
    const auto endpoint = reader.requiredId<EndpointId>("endpoint");
    const auto incarnation = reader.id<InstanceId>("incarnation");
    if (!reader.failed()) {
        m_directory.setLeaving(endpoint, incarnation);
    }
}

} // namespace coriander
