#include "corianderscale/Gateway/GatewayDaemon.h"

#include "corianderscale/Coordination/Membership.h"
#include "corianderscale/Coordination/StoreClient.h"
#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Gateway/CallerLimits.h"
#include "corianderscale/Gateway/DocumentPoller.h"
#include "corianderscale/Gateway/GatewayRoutes.h"
#include "corianderscale/Gateway/OperatorView.h"
#include "corianderscale/Gateway/RetryAllowance.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <atomic>
#include <mutex>
#include <random>

namespace coriander {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration VmListInterval = std::chrono::seconds(1);
constexpr Duration VmListLimit = std::chrono::seconds(1);
constexpr Duration AnnounceInterval = std::chrono::seconds(2);
constexpr Duration MembershipInterval = std::chrono::milliseconds(100);
constexpr std::size_t DigestDigits = 64;
constexpr Duration SignalWait = std::chrono::milliseconds(100);
constexpr Duration MetricsInterval = std::chrono::seconds(1);
/** Kept of the drain time for closing the counters. */
constexpr Duration CloseLimit = std::chrono::seconds(3);

/** The gateway with its threads and sockets. */
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
    Membership::Settings memberSettings() const;
    Membership::Hooks memberHooks();
    void stepMembership();
    void refreshView();
    OperatorHooks operatorHooks();
    void refreshVms();
    void takeVms(const VmList &list);
    void refreshMetrics();
    void announce(const std::string &state);
    void announceRegularly();
    void drain();
    bool closeCounters(MonotonicTime limit);
    void logLeftovers();

    GatewayDaemonSettings m_settings;
    const CommonSettings &m_common;
    Clock m_clock;
    std::mt19937_64 m_random;
    HttpClient m_client;
    StoreClient m_store;
    GatewayLoop m_loop;
    GatewayHooks m_hooks;
    PeerStreams m_peers;
    /** Serialises the peer thread and the gateway's thread at the membership. */
    std::mutex m_membershipMutex;
    Membership m_membership;
    RetryAllowance m_retries;
    CallerLimits m_limits;
    GatewayCore m_core;
    OperatorView m_view;
    DocumentVersion m_version;
    std::atomic<bool> m_draining = false;
    DocumentPoller m_documents;
    std::shared_ptr<DaemonStatus> m_status;
    GatewayMetrics m_metrics;
    HttpServer m_server;
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
    , m_peers({m_common.instance, m_common.peerListen, m_common.peerKey},
              m_clock,
              [this](const std::string &message, const InstanceId &from, const std::string &body) {
                  return onPeerMessage(message, from, body);
              })
    , m_membership(memberSettings(), memberHooks(), systemRandomUnit())
    , m_core(
          m_settings.gateway,
          m_hooks,
          m_store,
          [this](const auto &address, const auto &message, std::string body, MonotonicTime deadline, auto done) {
              sendPeer(address, message, std::move(body), deadline, std::move(done));
          },
          RetryGate{[this] { m_retries.noteSend(); },
                    [this] {
                        return m_retries.spend();
                    }},
          [this](const CallerKey &caller) { return m_limits.admit(caller, m_clock.now()); })
    , m_documents(m_hooks,
                  m_store,
                  m_common.environment,
                  [this](const DocumentHead &head, const std::shared_ptr<const Document> &document) {
                      m_core.setDocument(document);
                      m_limits.setDocument(*document, m_clock.now());
                      m_view.setDocument({head, document});
                      m_version = head.version;
                      m_status->ready = !m_draining;
                  })
    , m_status(std::make_shared<DaemonStatus>())
    , m_metrics(*m_status->metrics)
    , m_server(m_common.listen, HttpServerLimits())
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
    if (message == GossipPeerMessage) {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        return m_membership.handle(m_clock.now(), from, body);
    }
    if (m_loop.accepts()) {
        m_loop.post([this, message, body] { m_core.peers().handle(message, body); });
        return GatewayPeers::replyTo(message, body);
    }
    return {};
}

Membership::Settings GatewayDaemon::memberSettings() const
{
    Membership::Settings settings;
    settings.self.instance = m_common.instance;
    settings.self.role = MemberRole::Gateway;
    settings.self.dataCentre = m_common.dataCentre;
    settings.self.address = m_common.listen;
    settings.self.peerAddress = m_common.peerListen;
    return settings;
}

Membership::Hooks GatewayDaemon::memberHooks()
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
    return hooks;
}

void GatewayDaemon::stepMembership()
{
    {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        m_membership.step(m_clock.now());
    }
    const int instances = m_membership.count(MemberRole::Gateway) + m_membership.count(MemberRole::Scheduler);
    m_store.setLiveInstances(instances);
    m_limits.setLiveGateways(m_membership.count(MemberRole::Gateway), m_clock.now());
    m_core.setMembers(m_membership.members());
    m_loop.at(m_clock.now() + MembershipInterval, [this] { stepMembership(); });
}

void GatewayDaemon::refreshView()
{
    std::vector<InstanceView> instances;
    for (const Member &member : m_membership.members()) {
        InstanceView view;
        view.member = member;
        const bool own = member.instance == m_common.instance;
        view.version = own ? m_version : DocumentVersion(0);
        view.cutOff = own && m_store.state() == StoreState::Away;
        instances.push_back(std::move(view));
    }
    m_view.setInstances(std::move(instances));
    m_view.setEndpoints(m_core.endpoints().toJson(m_clock.now()));
}

OperatorHooks GatewayDaemon::operatorHooks()
{
    OperatorHooks hooks;
    hooks.clock = m_clock;
    hooks.store = &m_store;
    hooks.environment = m_common.environment;
    hooks.instance = m_common.instance;
    hooks.bootstrapDigest = m_settings.bootstrapDigest;
    hooks.document = [this] {
        return m_view.document();
    };
    hooks.instances = [this] {
        return m_view.instances();
    };
    hooks.endpoints = [this] {
        return m_view.endpoints();
    };
    hooks.accepted = [this](const std::string &, const AcceptedDocument &) {
        m_loop.post([this] { m_documents.readHead(); });
    };
    hooks.jobChanged = [this](const DataCentreId &dataCentre, const JobId &job) {
        m_loop.post([this, dataCentre, job] { m_core.peers().tellJob(dataCentre, job); });
    };
    return hooks;
}

void GatewayDaemon::takeVms(const VmList &list)
{
    std::vector<std::string> contacts;
    for (const VmEntry &vm : list.vms) {
        if (vm.role == "entry" && !vm.peerAddress.empty() && vm.peerAddress != m_common.peerListen) {
            contacts.push_back(vm.peerAddress);
        }
    }
    {
        const std::lock_guard<std::mutex> lock(m_membershipMutex);
        m_membership.setContacts(std::move(contacts));
    }
    m_core.setVms(list);
}

void GatewayDaemon::refreshVms()
{
    m_store.listVms(m_clock.now() + VmListLimit, [this](std::optional<VmList> list, const CoordinationError &) {
        if (list) {
            m_loop.post([this, list = std::move(*list)] { takeVms(list); });
        }
    });
    m_loop.at(m_clock.now() + VmListInterval, [this] { refreshVms(); });
}

void GatewayDaemon::refreshMetrics()
{
    m_metrics.update(m_core.numbers());
    refreshView();
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
    m_client.send(m_common.platform, request, m_clock.now() + VmListLimit, [](const auto &, const auto &) {});
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
        refreshVms();
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
    while (!drained && m_clock.now() + CloseLimit < limit) {
        m_loop.postAndWait([this, &drained] { drained = m_core.drained(); });
        if (!drained && waitForShutdownSignal(SignalWait)) {
            logEvent(LogLevel::Warning, "drain-cut-short", {{"reason", "second signal"}});
            logLeftovers();
            return;
        }
    }
    const bool closed = closeCounters(limit);
    if (!drained || !closed) {
        logLeftovers();
    }
    m_server.stop(std::min(limit, m_clock.now() + CloseLimit));
}

bool GatewayDaemon::closeCounters(MonotonicTime limit)
{
    const auto closed = std::make_shared<std::atomic<bool>>(false);
    m_loop.post([this, closed] { m_core.closeCounters([closed](bool all) { *closed = all; }); });
    while (!*closed && m_clock.now() < limit) {
        if (waitForShutdownSignal(SignalWait)) {
            logEvent(LogLevel::Warning, "drain-cut-short", {{"reason", "second signal"}});
            break;
        }
    }
    return *closed;
}

void GatewayDaemon::logLeftovers()
{
    GatewayNumbers numbers;
    m_loop.postAndWait([this, &numbers] { numbers = m_core.numbers(); });
    const auto left = [](const char *what, std::size_t count) {
        if (count > 0) {
            logEvent(LogLevel::Warning, "left-at-shutdown", {{"what", what}, {"count", count}});
        }
    };
    left("requests", numbers.inProgress);
    left("claims", numbers.activeClaims);
    left("uncommitted-counts", numbers.uncommittedCounts);
    left("counter-copies", numbers.counterCopies);
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
    result.bootstrapDigest = settings.text("bootstrap_digest", {});
    if (!result.bootstrapDigest.empty()
        && (result.bootstrapDigest.size() != DigestDigits
            || result.bootstrapDigest.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        settings.fault("bootstrap_digest", "expected the SHA-256 of a token, 64 lower-case hexadecimal digits");
    }
    result.announce = settings.boolean("announce", false);
    return result;
}

int runGateway(const GatewayDaemonSettings &settings)
{
    GatewayDaemon daemon(settings);
    return daemon.run();
}

} // namespace coriander
