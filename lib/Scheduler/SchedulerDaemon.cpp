#include "corianderscale/Scheduler/SchedulerDaemon.h"

#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t TakeoverCapacity = 16;
constexpr Duration PollInterval = std::chrono::milliseconds(50);
/** Holds the report of a worker with hundreds of tasks. */
constexpr std::size_t MaximumReportBytes = 4 * 1024 * 1024;
constexpr Duration MembershipStepInterval = std::chrono::milliseconds(200);
constexpr Duration ServerStopTimeout = std::chrono::seconds(2);

StoreClient::Settings storeSettings(const SchedulerSettings &settings)
{
    StoreClient::Settings store;
    store.platform = settings.common.platform;
    store.engine.calls.siteWritesPerSecond = static_cast<double>(settings.common.storeWritesPerSecond);
    store.engine.calls.siteReadsPerSecond = static_cast<double>(settings.common.storeReadsPerSecond);
    return store;
}

PeerStreams::Settings peerSettings(const SchedulerSettings &settings)
{
    PeerStreams::Settings peers;
    peers.instance = settings.common.instance;
    peers.listenAddress = settings.common.peerListen;
    peers.key = settings.common.peerKey;
    return peers;
}

MembershipService::Settings membershipSettings(const SchedulerSettings &settings)
{
    MembershipService::Settings membership;
    Member &self = membership.membership.self;
    self.instance = settings.common.instance;
    self.role = MemberRole::Scheduler;
    self.dataCentre = settings.common.dataCentre;
    self.address = settings.common.listen;
    self.peerAddress = settings.common.peerListen;
    return membership;
}

} // namespace

SchedulerDaemon::SchedulerDaemon(SchedulerSettings settings, Clock clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_status(std::make_shared<DaemonStatus>())
    , m_metrics(m_status->metrics)
    , m_store(storeSettings(m_settings), m_clock)
    , m_client(m_clock)
    , m_server(m_settings.common.listen, {MaximumReportBytes})
    , m_renewer(m_settings.common.instance, m_settings.timing)
    , m_takeovers(TakeoverCapacity)
    , m_membership(
          membershipSettings(m_settings),
          m_clock,
          m_store,
          [this](const std::string &address,
                 const std::string &message,
                 std::string body,
                 MonotonicTime deadline,
                 PeerReply done) { m_peers.send(address, message, std::move(body), deadline, std::move(done)); },
          membershipHooks())
    , m_peers(peerSettings(m_settings),
              m_clock,
              [this](const std::string &message, const InstanceId &from, const std::string &body) {
                  return handlePeer(message, from, body);
              })
{
    m_recorder = std::make_unique<Recorder>(
        m_store, m_clock, RecorderOutputs{[this](const StoreWrite &write, WriteOutcome outcome, RowVersion version) {
            m_placement->post(
                [kind = write.kind, subject = write.subject, outcome, version](SchedulerCore &core, Instant at) {
                    core.writeDone(kind, subject, outcome, version, at);
                });
        }});
    m_link = std::make_unique<WorkerLink>(
        m_settings.common.dataCentre, m_settings.lookupInterval, m_store, m_client, m_clock, linkOutputs());
    m_intake = std::make_unique<IntakeDuty>(
        IntakeDuty::Settings{m_settings.common.dataCentre, m_settings.common.environment, m_settings.scanInterval},
        m_store,
        m_clock,
        intakeOutputs());
    m_placement = std::make_unique<PlacementDuty>(m_settings, m_clock, placementOutputs());
    m_ownership = std::make_unique<OwnershipDuty>(
        m_settings,
        m_store,
        m_clock,
        OwnershipOutputs{[this](Epoch epoch) { m_takeovers.push(epoch); },
                         [this](const std::string &) {
                             m_placement->post([](SchedulerCore &core, Instant) { core.relinquish(); });
                         }});
    addRoutes();
}

SchedulerDaemon::~SchedulerDaemon() = default;

Membership::Hooks SchedulerDaemon::membershipHooks()
{
    Membership::Hooks hooks;
    hooks.document = [this] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_documentVersion;
    };
    return hooks;
}

bool SchedulerDaemon::owns() const
{
    return m_ownership->ownedEpoch().has_value();
}

PlacementOutputs SchedulerDaemon::placementOutputs()
{
    PlacementOutputs outputs;
    outputs.send = [this](WorkerRequest request) {
        m_link->send(std::move(request));
    };
    outputs.write = [this](StoreWrite write) {
        m_recorder->write(std::move(write));
    };
    outputs.read = [this](JobId job) {
        m_intake->hint(std::move(job));
    };
    outputs.snapshot = [this](Snapshot snapshot) {
        offerSnapshot(std::move(snapshot));
    };
    outputs.stepDown = [this](const std::string &reason) {
        m_ownership->stepDown(reason);
    };
    outputs.event = [this](const CoreEvent &event) {
        logCoreEvent(event);
    };
    outputs.ownedEpoch = [this] {
        return m_ownership->ownedEpoch();
    };
    return outputs;
}

WorkerLinkOutputs SchedulerDaemon::linkOutputs()
{
    WorkerLinkOutputs outputs;
    outputs.answered = [this](const WorkerRequest &request, std::optional<WorkerReport> report, bool notSent) {
        m_placement->post(
            [worker = request.worker, id = request.id, report = std::move(report), notSent](
                SchedulerCore &core, Instant at) { core.workerAnswered(worker, id, report, notSent, at); });
    };
    outputs.seen = [this](const WorkerInfo &info, const std::string &address) {
        m_placement->post([info, address](SchedulerCore &core, Instant at) { core.workerSeen(info, address, at); });
    };
    outputs.unlisted = [this](const WorkerId &worker) {
        m_placement->post([worker](SchedulerCore &core, Instant) { core.workerUnlisted(worker); });
    };
    outputs.listed = [this] {
        m_placement->post([](SchedulerCore &core, Instant at) { core.workersListed(at); });
    };
    return outputs;
}

IntakeOutputs SchedulerDaemon::intakeOutputs()
{
    IntakeOutputs outputs;
    outputs.job = [this](const JobRecord &row, RowVersion version) {
        m_placement->post([row, version](SchedulerCore &core, Instant at) { core.jobSeen(row, version, at); });
    };
    outputs.document = [this](const Document &document, DocumentVersion version) {
        applyDocument(document, version);
    };
    outputs.owns = [this] {
        return owns();
    };
    return outputs;
}

void SchedulerDaemon::logCoreEvent(const CoreEvent &event)
{
    m_metrics.countEvent(event.event);
    logEvent(LogLevel::Info,
             event.event,
             {{"job", event.job}, {"attempt", event.attempt}, {"worker", event.worker}, {"reason", event.reason}});
}

void SchedulerDaemon::applyDocument(const Document &document, DocumentVersion version)
{
    std::vector<decision::OrganisationPolicy> organisations;
    for (const OrganisationSpec &spec : document.organisations) {
        decision::OrganisationPolicy policy{spec.id, spec.weight, spec.quota, {}};
        std::copy_if(spec.guarantees.begin(),
                     spec.guarantees.end(),
                     std::back_inserter(policy.guarantees),
                     [this](const decision::Guarantee &guarantee) {
                         return guarantee.dataCentre == m_settings.common.dataCentre;
                     });
        organisations.push_back(std::move(policy));
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_organisations = organisations;
        m_days = CivilDays(document.timeZone);
        m_documentVersion = version;
    }
    m_placement->post([organisations, days = CivilDays(document.timeZone)](SchedulerCore &core, Instant at) {
        core.setDays(days);
        core.setOrganisations(organisations, at);
    });
}

bool SchedulerDaemon::start()
{
    TransportError error;
    if (!m_server.start(error) || !m_peers.start(error)) {
        logEvent(LogLevel::Error, "start-failed", {{"reason", error.reason}});
        return false;
    }
    startDuties();
    return true;
}

void SchedulerDaemon::startDuties()
{
    m_placement->start();
    m_recorder->start();
    m_link->start();
    m_intake->start();
    m_ownership->start();
    m_takeoverThread = std::make_unique<DutyThread>("takeover", [this] { takeoverStep(); });
    m_renewalThread = std::make_unique<DutyThread>("renewal", [this] { renewalStep(); });
    m_membershipThread = std::make_unique<DutyThread>("membership", [this] { membershipStep(); });
}

int SchedulerDaemon::run()
{
    setLogProcess("coriander-scheduler", m_settings.common.instance.value());
    if (!start()) {
        return ExitFailed;
    }
    logEvent(LogLevel::Info,
             "started",
             {{"dataCentre", m_settings.common.dataCentre}, {"listen", m_settings.common.listen}});
    m_status->ready = true;
    while (!waitForShutdownSignal(std::chrono::seconds(1))) {
        const std::unique_lock<std::mutex> lock(m_mutex);
        const bool renews = m_renewer.isActive();
        m_metrics.update(m_placement->counts(), owns(), renews, m_peers.traffic());
    }
    shutDown();
    return ExitSuccess;
}

void SchedulerDaemon::shutDown()
{
    logEvent(LogLevel::Info, "draining");
    m_status->ready = false;
    const MonotonicTime deadline = m_clock.now() + std::chrono::milliseconds(m_settings.common.drainMs);
    m_placement->post([](SchedulerCore &core, Instant) { core.drain(); });
    const auto waitFor = [&](const std::string &what, const std::function<bool()> &done) {
        while (!done()) {
            if (m_clock.now() >= deadline || waitForShutdownSignal(PollInterval)) {
                logEvent(LogLevel::Warning, "shutdown-left", {{"what", what}});
                return;
            }
        }
    };
    // Wait for at least one step of the placement duty, which updates the counts after draining began.
    std::this_thread::sleep_for(PollInterval * 4);
    waitFor("gangs that start or stop, or job rows to write", [this] { return m_placement->counts().settled.load(); });
    m_ownership->release();
    waitFor("ownership", [this] { return m_ownership->released(); });
    m_membershipThread.reset();
    m_membership.leave();
    m_takeoverThread.reset();
    m_renewalThread.reset();
    m_intake->stop();
    m_ownership->stop();
    m_link->stop();
    m_recorder->stop();
    m_server.stop(m_clock.now() + ServerStopTimeout);
    m_placement->stop();
    logEvent(LogLevel::Info, "stopped");
}

void SchedulerDaemon::membershipStep()
{
    std::this_thread::sleep_for(MembershipStepInterval);
    m_membership.step();
    // All live daemons share the site's request budget at the store.
    m_store.setLiveInstances(m_membership.count(MemberRole::Gateway) + m_membership.count(MemberRole::Scheduler));
}

void SchedulerDaemon::takeoverStep()
{
    if (const std::optional<Epoch> epoch = m_takeovers.pop(PollInterval)) {
        readTakeover(*epoch);
    }
}

} // namespace coriander
