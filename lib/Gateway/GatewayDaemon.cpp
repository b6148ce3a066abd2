#include "corianderscale/Gateway/GatewayDaemon.h"

#include "corianderscale/Coordination/Membership.h"
#include "corianderscale/Coordination/RateLimiter.h"
#include "corianderscale/Coordination/RetryBudget.h"
#include "corianderscale/Coordination/StoreClient.h"
#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Gateway/DocumentPoller.h"
#include "corianderscale/Gateway/GatewayRoutes.h"
#include "corianderscale/Gateway/OperatorView.h"
#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Protocol/TimelineMessages.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <atomic>
#include <mutex>
#include <random>

namespace coriander {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration VmListInterval = std::chrono::seconds(1);
constexpr Duration VmListTimeout = std::chrono::seconds(1);
/** Timeout for queries to other processes on behalf of an operator's call. */
constexpr Duration QueryTimeout = std::chrono::seconds(2);
constexpr Duration AnnounceInterval = std::chrono::seconds(2);
constexpr Duration MembershipInterval = std::chrono::milliseconds(100);
constexpr Duration SignalPollInterval = std::chrono::milliseconds(100);
constexpr Duration MetricsInterval = std::chrono::seconds(1);
/** Part of the drain time that is reserved for closing the counters. */
constexpr Duration CloseTimeout = std::chrono::seconds(3);

/** Runs a GatewayCore with its threads and sockets. */
class GatewayDaemon
{
public:
    explicit GatewayDaemon(const GatewayDaemonSettings &settings);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    int run();

private:
    GatewayHooks makeHooks();
    void sendPeer(const std::string &address,
                  const std::string &message,
                  std::string body,
                  MonotonicTime deadline,
                  std::function<void(std::optional<std::string>)> done);
    std::string onPeerMessage(const std::string &message, const InstanceId &from, const std::string &body);
    Membership::Settings membershipSettings() const;
    Membership::Hooks membershipHooks();
    std::optional<ErrorBody> admit(const CallerKey &caller);
    void stepMembership();
    void refreshOperatorView();
    OperatorHooks operatorHooks();
    /** Queries the owner of a data centre over HTTP. Blocks up to QueryTimeout; not for the loop's thread. */
    std::optional<Json> queryOwner(const DataCentreId &dataCentre, const std::string &path);
    void refreshVmList();
    void applyVmList(const VmList &list);
    void refreshMetrics();
    void announce(const std::string &state);
    void announceRegularly();
    void drain();
    bool closeCounters(MonotonicTime limit);
    void logUnfinishedWork();

    GatewayDaemonSettings m_settings;
    const CommonSettings &m_common;
    Clock m_clock;
    std::mt19937_64 m_random;
    HttpClient m_client;
    StoreClient m_store;
    GatewayLoop m_loop;
    GatewayHooks m_hooks;
    /** Guards m_membership, which the peer thread and the gateway's thread use. */
    std::mutex m_membershipMutex;
    Membership m_membership;
    RetryBudget m_retryBudget{RetryBudget::Settings()};
    RateLimiter m_limits;
    GatewayCore m_core;
    std::mutex m_endpointsMutex;
    Json m_endpoints = Json::array();
    std::atomic<bool> m_draining = false;
    DocumentPoller m_documents;
    std::shared_ptr<DaemonStatus> m_status;
    GatewayMetrics m_metrics;
    OperatorView m_operators;
    HttpServer m_server;
    /** Declared last: destroyed before all members that its message handler and replies use. */
    PeerStreams m_peers;
};

StoreClient::Settings storeSettings(const CommonSettings &common)
{
    StoreClient::Settings settings;
    settings.platform = common.platform;
    settings.engine.calls.siteWritesPerSecond = static_cast<double>(common.storeWritesPerSecond);
    settings.engine.calls.siteReadsPerSecond = static_cast<double>(common.storeReadsPerSecond);
    return settings;
}

GatewayDaemon::GatewayDaemon(const GatewayDaemonSettings &settings)
    : m_settings(settings)
    , m_common(m_settings.gateway.common)
    , m_clock(systemClock())
    , m_random(std::random_device()())
    , m_client(m_clock)
    , m_store(storeSettings(m_common), m_clock)
    , m_loop(m_clock, TickInterval, [this] { m_core.tick(); })
    , m_hooks(makeHooks())
    , m_membership(membershipSettings(), membershipHooks(), systemRandomUnit())
    , m_core(
          m_settings.gateway,
          m_hooks,
          m_store,
          [this](const auto &address, const auto &message, std::string body, MonotonicTime deadline, auto done) {
              sendPeer(address, message, std::move(body), deadline, std::move(done));
          },
          RetryBudgetHooks{[this] { m_retryBudget.recordSend(); },
                           [this] {
                               return m_retryBudget.tryTakeRetry();
                           }},
          [this](const CallerKey &caller) { return admit(caller); })
    , m_documents(m_hooks,
                  m_store,
                  m_common.environment,
                  [this](const DocumentHead &head, const std::shared_ptr<const Document> &document) {
                      m_core.setDocument(document);
                      m_operators.setDocument(head, document);
                      m_status->ready = !m_draining;
                  })
    , m_status(std::make_shared<DaemonStatus>())
    , m_metrics(*m_status->metrics)
    , m_operators(m_common, m_settings.bootstrapDigest, m_store, m_clock)
    , m_server(m_common.listen, HttpServerLimits())
    , m_peers({m_common.instance, m_common.peerListen, m_common.peerKey},
              m_clock,
              [this](const std::string &message, const InstanceId &from, const std::string &body) {
                  return onPeerMessage(message, from, body);
              })
{
}

GatewayDaemon::~GatewayDaemon()
{
    m_server.stop(m_clock.now());
    m_loop.stop();
}

GatewayHooks GatewayDaemon::makeHooks()
{
    GatewayHooks hooks;
    hooks.clock = m_clock;
    hooks.post = [this](std::function<void()> task) {
        m_loop.post(std::move(task));
    };
    hooks.at = [this](MonotonicTime due, std::function<void()> task) {
        m_loop.at(due, std::move(task));
    };
    hooks.send
        = [this](const std::string &address, const HttpRequest &request, MonotonicTime deadline, HttpCompletion done) {
              m_client.send(address, request, deadline, std::move(done));
          };
    hooks.randomHex = randomHex;
    hooks.random = [this] {
        return m_random();
    };
    return hooks;
}

void GatewayDaemon::sendPeer(const std::string &address,
                             const std::string &message,
                             std::string body,
                             MonotonicTime deadline,
                             std::function<void(std::optional<std::string>)> done)
{
    m_peers.send(
        address,
        message,
        std::move(body),
        deadline,
        [done = std::move(done)](std::optional<std::string> reply, const TransportError &) { done(std::move(reply)); });
}

std::string GatewayDaemon::onPeerMessage(const std::string &message, const InstanceId &from, const std::string &body)
{
    if (const auto timeline = answerTimelineMessage(message, m_common.instance, body)) {
        return *timeline;
    }
    if (message == GossipPeerMessage) {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        return m_membership.handle(m_clock.now(), from, body);
    }
    if (m_loop.acceptsWork()) {
        m_loop.post([this, message, body] { m_core.peers().handle(message, body); });
        return GatewayPeers::replyTo(message, body);
    }
    return {};
}

Membership::Settings GatewayDaemon::membershipSettings() const
{
    Membership::Settings settings;
    settings.self.instance = m_common.instance;
    settings.self.role = MemberRole::Gateway;
    settings.self.dataCentre = m_common.dataCentre;
    settings.self.address = m_common.listen;
    settings.self.peerAddress = m_common.peerListen;
    return settings;
}

Membership::Hooks GatewayDaemon::membershipHooks()
{
    Membership::Hooks hooks;
    hooks.send = [this](const std::string &address, std::string body, MonotonicTime deadline, Membership::Reply done) {
        sendPeer(address,
                 GossipPeerMessage,
                 std::move(body),
                 deadline,
                 [this, done = std::move(done)](const std::optional<std::string> &reply) {
                     m_loop.post([this, done, reply, now = m_clock.now()] {
                         const std::lock_guard<std::mutex> lock(m_membershipMutex);
                         done(now, reply);
                     });
                 });
    };
    hooks.document = [this] {
        return m_operators.documentVersion();
    };
    hooks.peerDocument = [this](const std::string &peerAddress, DocumentVersion version) {
        m_operators.setPeerVersion(peerAddress, version);
    };
    return hooks;
}

std::optional<ErrorBody> GatewayDaemon::admit(const CallerKey &caller)
{
    const OrganisationSpec *organisation = m_core.api().document()->findOrganisation(caller.organisation);
    if (organisation == nullptr) {
        return std::nullopt;
    }
    const auto toRateLimit = [](std::int64_t perSecond, std::int64_t burst) {
        return RateLimit{static_cast<double>(perSecond), static_cast<double>(burst)};
    };
    RateLimit callerLimit;
    for (const CallerSpec &spec : organisation->callers) {
        if (spec.id == caller.caller) {
            callerLimit = toRateLimit(spec.requestsPerSecond, spec.burst);
        }
    }
    const RateLimit organisationLimit = toRateLimit(organisation->requestsPerSecond, organisation->requestsPerSecond);
    const auto refusal
        = m_limits.tryTake(m_clock.now(), caller.organisation, organisationLimit, caller.caller, callerLimit);
    if (!refusal) {
        return std::nullopt;
    }
    const char *subject = refusal->scope == LimitScope::Caller ? "caller" : "organisation";
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refusal->retryAfter);
    return ErrorBody{"overloaded",
                     Outcome::Rejected,
                     std::string("the ") + subject
                         + " exceeds its requests_per_second limit in the document; reduce the request rate",
                     std::max<std::int64_t>(1, wait.count())};
}

void GatewayDaemon::stepMembership()
{
    {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        m_membership.step(m_clock.now());
    }
    const int instances = m_membership.count(MemberRole::Gateway) + m_membership.count(MemberRole::Scheduler);
    m_store.setLiveInstances(instances);
    m_limits.setLiveGateways(m_membership.count(MemberRole::Gateway));
    m_core.setMembers(m_membership.members());
    m_loop.at(m_clock.now() + MembershipInterval, [this] { stepMembership(); });
}

void GatewayDaemon::refreshOperatorView()
{
    std::vector<Member> others = m_membership.members();
    std::erase_if(others, [this](const Member &member) { return member.instance == m_common.instance; });
    m_operators.setMembers(std::move(others));
    const std::lock_guard<std::mutex> lock(m_endpointsMutex);
    m_endpoints = m_core.endpoints().toJson(m_clock.now());
}

OperatorHooks GatewayDaemon::operatorHooks()
{
    OperatorHooks hooks = m_operators.hooks();
    hooks.endpoints = [this] {
        const std::lock_guard<std::mutex> lock(m_endpointsMutex);
        return m_endpoints;
    };
    hooks.accepted = [this](const std::string &, const AcceptedDocument &) {
        m_loop.post([this] { m_documents.readHead(); });
    };
    hooks.jobChanged = [this](const DataCentreId &dataCentre, const JobId &job) {
        m_loop.post([this, dataCentre, job] { m_core.peers().notifyJobChanged(dataCentre, job); });
    };
    hooks.queryOwner = [this](const DataCentreId &dataCentre, const std::string &path) {
        return queryOwner(dataCentre, path);
    };
    hooks.timelines = [this](const TimelineFilter &filter) {
        const auto send = [this](const std::string &address,
                                 const std::string &message,
                                 std::string body,
                                 MonotonicTime deadline,
                                 std::function<void(std::optional<std::string>)> done) {
            sendPeer(address, message, std::move(body), deadline, std::move(done));
        };
        const MonotonicTime deadline = m_clock.now() + QueryTimeout;
        return collectTimelines(m_common.instance, m_operators.otherMembers(), filter, deadline, send);
    };
    return hooks;
}

std::optional<Json> GatewayDaemon::queryOwner(const DataCentreId &dataCentre, const std::string &path)
{
    const MonotonicTime deadline = m_clock.now() + QueryTimeout;
    CoordinationError storeError;
    const auto rows = readAndWait(m_store, {ownerRowKey(dataCentre)}, deadline, storeError);
    if (!rows || rows->rows.empty()) {
        return std::nullopt;
    }
    ProtocolError error;
    const auto owner = decodeMessage<OwnerRecord>(std::string_view(rows->rows.front().value), error);
    if (!owner) {
        return std::nullopt;
    }
    HttpRequest request;
    request.path = path;
    TransportError transportError;
    const auto response = m_client.call(owner->address, request, deadline, transportError);
    if (!response || response->status != 200) {
        return std::nullopt;
    }
    return parseJson(response->body, MaximumMessageBytes, error);
}

void GatewayDaemon::applyVmList(const VmList &list)
{
    std::vector<std::string> contacts;
    for (const VmEntry &vm : list.vms) {
        if (vm.role == "entry" && !vm.peerAddress.empty() && vm.peerAddress != m_common.peerListen) {
            contacts.push_back(vm.peerAddress);
        }
    }
    {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        m_membership.setSeedAddresses(std::move(contacts));
    }
    m_core.setVms(list);
}

void GatewayDaemon::refreshVmList()
{
    m_store.listVms(m_clock.now() + VmListTimeout, [this](std::optional<VmList> list, const CoordinationError &) {
        if (list) {
            m_loop.post([this, list = std::move(*list)] { applyVmList(list); });
        }
    });
    m_loop.at(m_clock.now() + VmListInterval, [this] { refreshVmList(); });
}

void GatewayDaemon::refreshMetrics()
{
    m_metrics.update(m_core.numbers());
    refreshOperatorView();
    m_loop.at(m_clock.now() + MetricsInterval, [this] { refreshMetrics(); });
}

void GatewayDaemon::announce(const std::string &state)
{
    VmEntry entry;
    entry.id = m_common.instance.value();
    entry.role = "entry";
    entry.dataCentre = m_common.dataCentre;
    entry.address = m_common.listen;
    entry.peerAddress = m_common.peerListen;
    entry.state = state;
    HttpRequest request;
    request.method = "POST";
    request.path = "/vms";
    request.body = encodeMessage(entry);
    m_client.send(m_common.platform, request, m_clock.now() + VmListTimeout, [](const auto &, const auto &) {});
}

void GatewayDaemon::announceRegularly()
{
    announce("live");
    m_loop.at(m_clock.now() + AnnounceInterval, [this] { announceRegularly(); });
}

int GatewayDaemon::run()
{
    setLogProcess("coriander-gateway", m_common.instance.value());
    addStatusRoutes(m_server, m_status);
    addCallerRoutes(m_server, m_loop, m_core);
    registerOperatorRoutes(m_server, operatorHooks());
    m_loop.start();
    TransportError error;
    if (!m_peers.start(error) || !m_server.start(error)) {
        logEvent(LogLevel::Error, "start-failed", {{"reason", error.reason}});
        return ExitFailed;
    }
    m_loop.post([this] {
        m_documents.poll();
        refreshVmList();
        refreshMetrics();
        stepMembership();
        if (m_settings.announce) {
            announceRegularly();
        }
    });
    logEvent(LogLevel::Info, "started", {{"listen", m_common.listen}, {"data_centre", m_common.dataCentre}});
    while (!waitForShutdownSignal(std::chrono::seconds(1))) { }
    drain();
    logEvent(LogLevel::Info, "stopped");
    return ExitSuccess;
}

void GatewayDaemon::drain()
{
    const MonotonicTime limit = m_clock.now() + std::chrono::milliseconds(m_common.drainMs);
    logEvent(LogLevel::Info, "draining", {{"limit_ms", m_common.drainMs}});
    m_draining = true;
    m_status->ready = false;
    if (m_settings.announce) {
        announce("leaving");
    }
    m_loop.postAndWait([this] {
        m_core.beginDrain();
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        m_membership.leave(m_clock.now());
    });
    bool drained = false;
    while (!drained && m_clock.now() + CloseTimeout < limit) {
        m_loop.postAndWait([this, &drained] { drained = m_core.isDrained(); });
        if (!drained && waitForShutdownSignal(SignalPollInterval)) {
            logEvent(LogLevel::Warning, "drain-cut-short", {{"reason", "second signal"}});
            logUnfinishedWork();
            return;
        }
    }
    const bool closed = closeCounters(limit);
    if (!drained || !closed) {
        logUnfinishedWork();
    }
    m_server.stop(std::min(limit, m_clock.now() + CloseTimeout));
}

bool GatewayDaemon::closeCounters(MonotonicTime limit)
{
    const auto closed = std::make_shared<std::atomic<bool>>(false);
    m_loop.post([this, closed] { m_core.closeCounters([closed](bool all) { *closed = all; }); });
    while (!*closed && m_clock.now() < limit) {
        if (waitForShutdownSignal(SignalPollInterval)) {
            logEvent(LogLevel::Warning, "drain-cut-short", {{"reason", "second signal"}});
            break;
        }
    }
    return *closed;
}

void GatewayDaemon::logUnfinishedWork()
{
    GatewayNumbers numbers;
    m_loop.postAndWait([this, &numbers] { numbers = m_core.numbers(); });
    const auto logUnfinished = [](const char *what, std::size_t count) {
        if (count > 0) {
            logEvent(LogLevel::Warning, "left-at-shutdown", {{"what", what}, {"count", count}});
        }
    };
    logUnfinished("requests", numbers.inProgress);
    logUnfinished("claims", numbers.activeClaims);
    logUnfinished("uncommitted-counts", numbers.uncommittedCounts);
    logUnfinished("counter-copies", numbers.counterCopies);
}

} // namespace

GatewayDaemonSettings GatewayDaemonSettings::read(YamlMap &settings)
{
    GatewayDaemonSettings result;
    result.gateway.common = readCommonSettings(settings, "gateway");
    result.gateway.queue.maximumQueued = static_cast<std::size_t>(settings.integer("maximum_queued", 2000, 1, 100'000));
    result.gateway.queue.maximumPerCaller
        = static_cast<std::size_t>(settings.integer("maximum_queued_per_caller", 500, 1, 100'000));
    result.gateway.pollInterval = std::chrono::milliseconds(settings.integer("endpoint_poll_ms", 2000, 100, 2500));
    result.announce = settings.boolean("announce", false);
    result.bootstrapDigest = readBootstrapDigest(settings);
    return result;
}

int runGateway(const GatewayDaemonSettings &settings)
{
    GatewayDaemon daemon(settings);
    return daemon.run();
}

} // namespace coriander
