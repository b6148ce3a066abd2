#include "corianderscale/Protocol/TimelineMessages.h"
#include "corianderscale/Scheduler/SchedulerDaemon.h"
#include "corianderscale/Scheduler/TakeoverReader.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coriander {

namespace {

constexpr Duration RenewalStepInterval = std::chrono::milliseconds(100);
constexpr Duration PeerMessageTimeout = std::chrono::seconds(2);
/** Snapshots are sent to a scheduler until this time after its last snapshot request. */
constexpr Duration SnapshotSubscriptionTerm = std::chrono::seconds(60);
constexpr Duration TakeoverRetryInterval = std::chrono::milliseconds(500);

std::string toCbor(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

std::string textOf(const Json &json, const std::string &key)
{
    return json.is_object() && json.contains(key) && json[key].is_string() ? json[key].get<std::string>()
                                                                           : std::string();
}

} // namespace

void SchedulerDaemon::addRoutes()
{
    addStatusRoutes(m_server, m_status);
    m_server.route("POST", "/v1/reports", [this](const HttpRequest &request, const auto &, const HttpRespond &respond) {
        handleReport(request, respond);
    });
    m_server.route(
        "GET",
        "/v1/explain/{job}",
        [this](const HttpRequest &, const std::vector<std::string> &captures, const HttpRespond &respond) {
            const std::optional<decision::Explanation> explanation = m_placement->explain(JobId(captures.front()));
            if (!explanation) {
                respond(jsonResponse(404, R"({"code":"not-found"})"));
                return;
            }
            const Json body
                = {{"state", explanation->state}, {"reason", explanation->reason}, {"remedy", explanation->remedy}};
            respond(jsonResponse(200, body.dump()));
        });
}

void SchedulerDaemon::handleReport(const HttpRequest &request, const HttpRespond &respond)
{
    ProtocolError error;
    const auto report = decodeMessage<WorkerReport>(request.body, error);
    if (!report) {
        const Json body = {{"error", {{"code", "invalid"}, {"reason", error.reason}}}};
        respond(jsonResponse(400, body.dump()));
        return;
    }
    if (!owns()) {
        respond(jsonResponse(
            503,
            R"({"error":{"code":"not-owner","reason":"this scheduler is not the owner; retry until the owner orders the release of the task"}})"));
        return;
    }
    m_placement->post([report = *report](SchedulerCore &core, Instant at) { core.reportReceived(report, at); });
    respond(jsonResponse(200, "{}"));
}

std::string SchedulerDaemon::handlePeer(const std::string &message, const InstanceId &from, const std::string &body)
{
    if (message == GossipPeerMessage) {
        return m_membership.handle(from, body);
    }
    if (const auto timeline = answerTimelineMessage(message, m_settings.common.instance, body)) {
        return *timeline;
    }
    if (message == SnapshotOfferMessage) {
        ProtocolError error;
        if (const std::optional<Snapshot> snapshot = decodeSnapshot(body, error)) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_renewer.offer(*snapshot, m_clock.now());
        }
        return {};
    }
    const Json json = Json::from_cbor(body.begin(), body.end(), true, false);
    if (message == SchedulerJobHintMessage) {
        if (owns() && textOf(json, "dataCentre") == m_settings.common.dataCentre.value()) {
            m_intake->hint(JobId(textOf(json, "job")));
        }
        return {};
    }
    if (message == ExplainMessage) {
        return explain(JobId(textOf(json, "job")));
    }
    if (message == SnapshotRequestMessage) {
        return answerSnapshotRequest(json);
    }
    return {};
}

std::string SchedulerDaemon::explain(const JobId &job) const
{
    const std::optional<decision::Explanation> explanation = m_placement->explain(job);
    if (!explanation) {
        return toCbor({{"code", "not-found"}});
    }
    return toCbor({{"state", explanation->state}, {"reason", explanation->reason}, {"remedy", explanation->remedy}});
}

std::string SchedulerDaemon::answerSnapshotRequest(const Json &body)
{
    if (!owns()) {
        return {};
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_snapshotSubscribers[textOf(body, "peerAddress")] = m_clock.now() + SnapshotSubscriptionTerm;
    if (m_snapshot.sequence == 0) {
        return {};
    }
    return encodeSnapshot(m_snapshot);
}

void SchedulerDaemon::offerSnapshot(Snapshot snapshot)
{
    std::vector<std::string> subscribers;
    const MonotonicTime now = m_clock.now();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        snapshot.sequence = m_snapshot.sequence + 1;
        snapshot.takenUnixMs = toUnixMs(m_clock.wallNow());
        m_snapshot = snapshot;
        m_renewer.offer(snapshot, now);
        std::erase_if(m_snapshotSubscribers, [now](const auto &item) { return item.second <= now; });
        for (const auto &[address, until] : m_snapshotSubscribers) {
            subscribers.push_back(address);
        }
    }
    const std::string body = encodeSnapshot(snapshot);
    for (const std::string &address : subscribers) {
        m_peers.send(address,
                     SnapshotOfferMessage,
                     body,
                     now + PeerMessageTimeout,
                     [](const std::optional<std::string> &, const TransportError &) {});
    }
    m_recorder->storeSnapshot(std::move(snapshot));
}

bool SchedulerDaemon::hasDocument()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_documentVersion > DocumentVersion(0);
}

void SchedulerDaemon::readTakeover(Epoch epoch)
{
    while (m_ownership->ownedEpoch() == epoch) {
        // Without the document the owner would treat guaranteed work as borrowed, and count days in the wrong time
        // zone.
        if (!hasDocument()) {
            std::this_thread::sleep_for(TakeoverRetryInterval);
            continue;
        }
        std::string reason;
        CivilDays days{"UTC"};
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            days = m_days;
        }
        std::optional<TakeoverState> state
            = coriander::readTakeover(m_store, m_settings.common.dataCentre, days, m_clock, reason);
        if (state) {
            state->epoch = epoch;
            const std::lock_guard<std::mutex> lock(m_mutex);
            state->organisations = m_organisations;
            if (state->snapshot) {
                m_snapshot.sequence = std::max(m_snapshot.sequence, state->snapshot->sequence);
            }
            m_placement->post(
                [state = std::move(*state)](SchedulerCore &core, Instant at) { core.takeOver(state, at); });
            m_link->lookUpSoon();
            return;
        }
        logEvent(LogLevel::Warning, "takeover-read-failed", {{"reason", reason}});
        std::this_thread::sleep_for(TakeoverRetryInterval);
    }
}

void SchedulerDaemon::renewalStep()
{
    std::this_thread::sleep_for(RenewalStepInterval);
    const MonotonicTime now = m_clock.now();
    const bool owner = owns();
    if (!owner && m_nextSnapshotRequest <= now) {
        m_nextSnapshotRequest = now + m_settings.timing.renewalInterval / 3;
        askOwnerForSnapshot(now);
    }
    std::vector<WorkerRequest> requests;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool mayRenew = !owner && m_store.state() == StoreState::Unavailable;
        requests = m_renewer.takeRequests(mayRenew, {now, m_clock.wallNow()});
    }
    for (const WorkerRequest &request : requests) {
        sendRenewal(request);
    }
}

void SchedulerDaemon::askOwnerForSnapshot(MonotonicTime now)
{
    const std::optional<OwnerRecord> owner = m_ownership->owner();
    if (!owner || owner->owner == m_settings.common.instance || owner->peerAddress.empty()) {
        return;
    }
    m_peers.send(owner->peerAddress,
                 SnapshotRequestMessage,
                 toCbor({{"peerAddress", m_settings.common.peerListen}}),
                 now + PeerMessageTimeout,
                 [this](const std::optional<std::string> &reply, const TransportError &) {
                     ProtocolError error;
                     const auto snapshot = reply && !reply->empty() ? decodeSnapshot(*reply, error) : std::nullopt;
                     if (snapshot) {
                         const std::lock_guard<std::mutex> lock(m_mutex);
                         m_renewer.offer(*snapshot, m_clock.now());
                     }
                 });
}

void SchedulerDaemon::sendRenewal(const WorkerRequest &request)
{
    HttpRequest message;
    message.method = "POST";
    message.path = "/v1/orders";
    message.body = encodeMessage(request.orders);
    m_client.send(request.address,
                  message,
                  request.deadline,
                  [this, worker = request.worker, id = request.id](const std::optional<HttpResponse> &response,
                                                                   const TransportError &) {
                      ProtocolError error;
                      const auto report = response && response->status == 200
                          ? decodeMessage<WorkerReport>(response->body, error)
                          : std::nullopt;
                      const std::lock_guard<std::mutex> lock(m_mutex);
                      m_renewer.handleAnswer(worker, id, report);
                  });
}

} // namespace coriander
