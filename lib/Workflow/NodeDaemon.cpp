#include "corianderscale/Workflow/NodeDaemon.h"

#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/AsyncHttpServer.h"
#include "corianderscale/Transport/GuardedHandler.h"
#include "corianderscale/Transport/RefusalLog.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>

namespace coriander::workflow {

namespace {

/** Number of cores with which a VM schedules 350 workers and has capacity left; see docs/CAPACITY.md. */
constexpr double OwnerCores = 0.5;
/** How long a VM with half of OwnerCores waits before it takes a free term; about the time between two reads. */
constexpr Duration FollowerDelayStep = std::chrono::milliseconds(250);
/** Upper limit of the factor on FollowerDelayStep. */
constexpr double MaximumFollowerDelaySteps = 4;
/** Percentage of the longest lease that orders ask for; the rest allows for orders that arrive late. */
constexpr int LeasePercent = 85;
/** How long calls are still served after SIGTERM, until the balancer has seen two failed readiness checks. */
constexpr Duration MinimumDrainTime = std::chrono::milliseconds(2800);
/** The process ends at least this long before SIGKILL. */
constexpr Duration ExitMargin = std::chrono::milliseconds(500);
constexpr const char *MetricsPath = "/metrics";
/** Time between two checks whether draining is complete. */
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/** The instance is not ready when the store is unreachable for this long, because it cannot accept jobs. */
constexpr Duration StoreUnreachableTimeout = std::chrono::milliseconds(1000);

/** How many neighbours an owner without the store asks to release its term, and the timeout of each. */
constexpr int ReleaseAttempts = 3;
constexpr Duration ReleaseTimeout = std::chrono::milliseconds(300);
/** Timeout of a probe while the store is unreachable, and the pause before the next one. An idle store answers within
    10 ms; a slow one is noticed by the other calls. */
constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);
constexpr Duration ProbePause = std::chrono::milliseconds(50);

} // namespace

class NodeDaemon::Implementation : public NodeContext
{
public:
    Implementation(NodeSettings settings, Clock clock, const MakeBinding &makeBinding)
        : m_settings(std::move(settings))
        , m_clock(std::move(clock))
        , m_binding(makeBinding(m_loop, m_settings, m_clock))
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_drainTimer(m_loop)
        , m_store({},
                  m_clock,
                  *m_binding.store,
                  [this](bool reachable, const std::string &reason) { handleStoreReachability(reachable, reason); })
        , m_intake({},
                   m_clock,
                   m_store,
                   [this](Duration pause, std::function<void()> next) { callLater(pause, std::move(next)); })
        , m_owner(m_loop,
                  ownerTimes(m_settings),
                  m_clock,
                  InstanceId(m_settings.instance + "/" + randomHex(6)),
                  m_store,
                  *m_binding.orders,
                  m_binding.advisor.get(),
                  m_binding.discovery,
                  m_binding.evacuations)
        , m_configuration(m_loop, m_store, followerSettings(m_binding), followerHooks())
        , m_callerServer(m_binding.makeCallerServer(*this))
        , m_neighbours(m_loop,
                       {},
                       m_clock,
                       m_store,
                       {m_settings.instance, m_settings.dataCentre, m_settings.relayListen},
                       [this] { return m_owner.epoch().has_value(); })
        , m_relay(
              m_loop,
              [this](const CallerCall &call,
                     ConfigurationVersion atLeast,
                     const std::function<void(const RoutedAnswer &)> &done) {
                  m_router.serveForNeighbour(call, atLeast, done);
              },
              [this](const RowChange &release, const std::function<void(bool)> &done) {
                  storeReleaseForNeighbour(release, done);
              })
        , m_router({}, m_clock, m_store, m_settings.dataCentre, routerHooks())
        , m_metricsServer(
              m_loop, {}, makeGuardedHandler([this](const HttpRequest &request, const AsyncHttpRespond &respond) {
                  respond(showMetrics(request));
              }))
    {
        m_relay.setConnectionLimits(m_settings.clients.relay);
        m_metricsServer.setLimits(smallRequestLimits());
        m_metricsServer.setConnectionLimits(m_settings.clients.metrics, logRefusals("metrics"));
    }

    int run()
    {
        TransportError error;
        if (!m_callerServer->listen(m_settings.callerListen, m_settings.readinessListen, error)) {
            logEvent(LogLevel::Error, "listen-failed", {{"reason", error.reason}});
            return ExitFailed;
        }
        if (!m_settings.metricsListen.empty() && !m_metricsServer.listen(m_settings.metricsListen, error)) {
            logEvent(LogLevel::Error, "metrics-off", {{"reason", error.reason}});
        }
        const bool relays = !m_settings.relayListen.empty();
        if (relays && !m_relay.listen(m_settings.relayListen, error)) {
            logEvent(LogLevel::Error, "listen-failed", {{"reason", error.reason}});
            return ExitFailed;
        }
        logEvent(LogLevel::Info,
                 "started",
                 {{"data_centre", m_settings.dataCentre},
                  {"callers", m_settings.callerListen},
                  {"store", m_settings.store},
                  {"version", CORIANDER_VERSION}});
        waitForSignal();
        m_configuration.start();
        m_owner.start();
        if (relays) {
            m_neighbours.start();
        }
        m_loop.run();
        logEvent(LogLevel::Info, "stopped", {{"requests_open", m_callerServer->requestsInProgress()}});
        return ExitSuccess;
    }

    const Catalogue *catalogue() const override
    {
        return m_catalogue.get();
    }

    JobIntake &intake() override
    {
        return m_intake;
    }

    bool backlogFull() const override
    {
        return m_owner.backlogFull();
    }

    void route(const CallerCall &call, CallDone done) override
    {
        m_router.route(call, std::move(done));
    }

    void callAnswered(const std::string &kind,
                      const std::string &subject,
                      const CallAnswer &answer,
                      MonotonicTime startedAt) override
    {
        const Duration took = m_clock.now() - startedAt;
        m_metrics.callAnswered(kind, answer.outcome, took);
        if (answer.outcome == CallOutcome::Done || answer.outcome == CallOutcome::NoSuchQueue) {
            return;
        }
        logEvent(LogLevel::Info,
                 "call-not-done",
                 {{"kind", kind},
                  {"job", subject},
                  {"outcome", callOutcomeName(answer.outcome)},
                  {"reason", answer.reason},
                  {"configuration", m_catalogue ? m_catalogue->version : ConfigurationVersion()},
                  {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took).count()}});
    }

    bool ready() const override
    {
        const std::optional<MonotonicTime> since = m_store.unreachableSince();
        const bool storeUnreachable = since && m_clock.now() - *since > StoreUnreachableTimeout;
        return m_catalogue != nullptr && !m_drainDeadline && !storeUnreachable;
    }

    const Clock &clock() const override
    {
        return m_clock;
    }

private:
    static OwnerTimes ownerTimes(const NodeSettings &settings)
    {
        OwnerTimes times;
        const double followerDelaySteps
            = std::clamp(OwnerCores / settings.processorShare - 1, 0.0, MaximumFollowerDelaySteps);
        times.term.followerDelay = std::chrono::duration_cast<Duration>(FollowerDelayStep * followerDelaySteps);
        times.sweeper.retention = settings.stateRetention;
        times.engine.longestLease = settings.longestLease;
        times.engine.lease = settings.longestLease * LeasePercent / 100;
        return times;
    }

    static TableFollower::Settings followerSettings(const PlatformBinding &binding)
    {
        TableFollower::Settings settings;
        settings.table = binding.configuration.table;
        settings.from = binding.configuration.key;
        settings.to = keyAfter(binding.configuration.key);
        return settings;
    }

    TableFollower::Hooks followerHooks()
    {
        const auto take = [this](const std::vector<Row> &rows) {
            for (const Row &row : rows) {
                applyConfiguration(row);
            }
        };
        return {take, take, {}};
    }

    CallRouter::Hooks routerHooks()
    {
        return {/*serve=*/[this](const CallerCall &call, MonotonicTime deadline, CallDone done) {
                    m_callerServer->serve(call, deadline, std::move(done));
                },
                /*relay=*/
                [this](const std::string &address,
                       const CallerCall &call,
                       ConfigurationVersion atLeast,
                       Duration limit,
                       const RelayDone &done) { m_relay.send(address, call, atLeast, limit, done); },
                /*neighbours=*/[this] { return m_neighbours.neighbours(); },
                /*configuration=*/
                [this] {
                    return m_catalogue ? m_catalogue->version : ConfigurationVersion();
                }};
    }

    HttpResponse showMetrics(const HttpRequest &request)
    {
        if (request.path != MetricsPath) {
            return jsonResponse(404, "{}");
        }
        NodeMetrics::Readings readings;
        readings.epoch = m_owner.epoch();
        readings.engine = m_owner.engine();
        readings.configuration = m_catalogue ? m_catalogue->version.count() : 0;
        readings.store = m_store.reach();
        readings.neighbours = m_neighbours.neighbours().size();
        readings.routing = m_router.counts();
        readings.requestsInProgress = m_callerServer->requestsInProgress();
        readings.listeners = m_callerServer->listeners();
        readings.listeners.push_back({"relay", m_relay.load(), m_relay.refusals()});
        readings.listeners.push_back({"metrics", m_metricsServer.load(), m_metricsServer.refusals()});
        HttpResponse response;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = m_metrics.toText(readings);
        return response;
    }

    void applyConfiguration(const Row &row)
    {
        if (row.key != m_binding.configuration.key || row.removed) {
            return;
        }
        ProtocolError error;
        const std::optional<Catalogue> catalogue = m_binding.configuration.decode(row.value, error);
        if (!catalogue) {
            logEvent(
                LogLevel::Error, "configuration-ignored", {{"row_version", row.version}, {"reason", error.reason}});
            return;
        }
        if (m_catalogue && catalogue->version <= m_catalogue->version) {
            return;
        }
        m_catalogue = std::make_shared<const Catalogue>(*catalogue);
        logEvent(LogLevel::Info,
                 "configuration-in-force",
                 {{"configuration", m_catalogue->version},
                  {"queues", m_catalogue->queues.size()},
                  {"organisations", m_catalogue->organisations.size()}});
        m_callerServer->setLimits(m_catalogue->limits);
        m_owner.setCatalogue(m_catalogue);
    }

    void callLater(Duration pause, std::function<void()> next)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, pause);
        timer->async_wait([timer, next = std::move(next)](boost::system::error_code code) {
            if (!code) {
                next();
            }
        });
    }

    void handleStoreReachability(bool reachable, const std::string &reason)
    {
        logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
                 reachable ? "store-regained" : "store-lost",
                 {{"reason", reason}});
        if (!reachable) {
            probeStore();
            releaseTermThroughNeighbour(ReleaseAttempts);
        }
    }

    /** An owner without the store can place nothing, so it lets a neighbour that reaches the store release its term. */
    void releaseTermThroughNeighbour(int attempts)
    {
        const std::optional<RowChange> release = m_owner.releaseForOthers();
        const std::vector<Neighbour> candidates = m_router.neighboursToAsk(1);
        if (!release || attempts == 0 || candidates.empty() || m_store.reach() != StoreReach::Unreachable) {
            return;
        }
        const Neighbour &neighbour = candidates.front();
        m_relay.sendRelease(neighbour.address, *release, ReleaseTimeout, [this, neighbour, attempts](bool stored) {
            logEvent(LogLevel::Info,
                     "term-release-relayed",
                     {{"neighbour", neighbour.instance}, {"stored", stored}, {"attempts_left", attempts - 1}});
            if (stored) {
                m_owner.endReleasedTerm();
                return;
            }
            m_router.noteFailure(neighbour);
            releaseTermThroughNeighbour(attempts - 1);
        });
    }

    void storeReleaseForNeighbour(const RowChange &release, const std::function<void(bool)> &done)
    {
        if (m_store.reach() == StoreReach::Unreachable) {
            done(false);
            return;
        }
        m_store.change(release, ReleaseTimeout, [done](const ChangeResult &result) {
            done(result.outcome == ChangeOutcome::Committed);
        });
    }

    /** Reads one row again and again until the store answers, so that its return is noticed soon. */
    void probeStore()
    {
        m_store.read(OwnerTable, OwnerKey, keyAfter(OwnerKey), ProbeTimeout, [this](const auto &, const StateError &) {
            if (m_store.reach() == StoreReach::Unreachable) {
                callLater(ProbePause, [this] { probeStore(); });
            }
        });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code code, int signal) {
            if (code) {
                return;
            }
            if (signal == SIGHUP) {
                logEvent(LogLevel::Info, "reload-requested", {{"effect", "addresses stay until the next start"}});
                waitForSignal();
                return;
            }
            startDraining();
        });
    }

    void startDraining()
    {
        const MonotonicTime now = m_clock.now();
        m_drainUntil = now + std::min(MinimumDrainTime, m_settings.grace / 2);
        m_drainDeadline = now + std::max(m_settings.grace - ExitMargin, m_settings.grace / 2);
        logEvent(LogLevel::Info, "draining", {{"requests_open", m_callerServer->requestsInProgress()}});
        m_callerServer->startDraining();
        m_relay.startDraining();
        m_owner.retire();
        continueDraining();
    }

    void continueDraining()
    {
        const MonotonicTime now = m_clock.now();
        const std::size_t requests = m_callerServer->requestsInProgress() + m_relay.requestsInProgress();
        const bool idle = requests == 0 && m_owner.ownsNoTerm();
        if ((now >= m_drainUntil && idle) || now >= *m_drainDeadline) {
            m_callerServer->closeIdle();
            m_relay.closeIdle();
            m_loop.stop();
            return;
        }
        m_drainTimer.expires_after(DrainCheckInterval);
        m_drainTimer.async_wait([this](boost::system::error_code code) {
            if (!code) {
                continueDraining();
            }
        });
    }

    NodeSettings m_settings;
    Clock m_clock;
    boost::asio::io_context m_loop{1};
    PlatformBinding m_binding;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_drainTimer;
    std::shared_ptr<const Catalogue> m_catalogue;
    MonotonicTime m_drainUntil = NeverDue;
    std::optional<MonotonicTime> m_drainDeadline;
    StoreWatch m_store;
    JobIntake m_intake;
    OwnerController m_owner;
    TableFollower m_configuration;
    NodeMetrics m_metrics;
    std::unique_ptr<CallerServer> m_callerServer;
    NeighbourTable m_neighbours;
    CallRelay m_relay;
    CallRouter m_router;
    AsyncHttpServer m_metricsServer;
};

NodeDaemon::NodeDaemon(NodeSettings settings, Clock clock, const MakeBinding &makeBinding)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(clock), makeBinding))
{
}

NodeDaemon::~NodeDaemon() = default;

int NodeDaemon::run()
{
    return m_implementation->run();
}

} // namespace coriander::workflow
