#include "corianderscale/Standin/WorkerServer.h"

#include "corianderscale/Support/Log.h"

#include <thread>
#include <utility>

namespace coriander {

namespace {

/** Interval between checks whether tasks have ended and whether a report or an announcement is due. */
constexpr Duration TimerInterval = std::chrono::milliseconds(10);
/** Timeout of a call to the platform or to the receiver of reports. */
constexpr Duration CallTimeout = std::chrono::seconds(2);
/** Interval between announcements. The platform stand-in drops a VM from its list after ten seconds without one. */
constexpr Duration AnnouncementInterval = std::chrono::seconds(2);
/** Maximum size of a request with orders. All reserve orders for one worker together are far smaller. */
constexpr std::size_t MaximumOrderBytes = 1024 * 1024;

HttpRequest postRequest(const std::string &path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    return request;
}

} // namespace

WorkerServer::WorkerServer(WorkerServerSettings settings, WorkerInfo info, WorkerModelSettings model, Clock clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_model(std::move(info), model)
    , m_client(m_clock)
    , m_server(m_settings.listen, {MaximumOrderBytes})
{
    addRoutes();
}

WorkerServer::~WorkerServer()
{
    stop();
}

void WorkerServer::addRoutes()
{
    m_server.route("GET", "/v1/worker", [this](const HttpRequest &, const auto &, const HttpRespond &respond) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        respond(jsonResponse(200, encodeMessage(m_model.info())));
    });
    m_server.route("POST", "/v1/orders", [this](const HttpRequest &request, const auto &, const HttpRespond &respond) {
        handleOrders(request, respond);
    });
}

bool WorkerServer::start(std::string &reason)
{
    if (!m_settings.ledgerFile.empty()) {
        m_ledger.open(m_settings.ledgerFile, std::ios::app);
        if (!m_ledger) {
            reason = "cannot open the ledger file " + m_settings.ledgerFile + "; specify a writable file";
            return false;
        }
    }
    TransportError error;
    if (!m_server.start(error)) {
        reason = error.reason;
        return false;
    }
    m_timer = std::make_unique<DutyThread>("worker-timer", [this] { handleTimer(); });
    return true;
}

void WorkerServer::stop()
{
    if (m_timer == nullptr) {
        return;
    }
    m_timer.reset();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_model.leave();
    }
    announce("leaving");
    m_server.stop(m_clock.now() + CallTimeout);
    const std::lock_guard<std::mutex> lock(m_mutex);
    writeLedger();
}

void WorkerServer::handleOrders(const HttpRequest &request, const HttpRespond &respond)
{
    ProtocolError error;
    const auto orders = decodeMessage<WorkerOrders>(request.body, error);
    if (!orders) {
        const Json body = {{"error", {{"code", "invalid"}, {"reason", error.reason}}}};
        respond(jsonResponse(400, body.dump()));
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    respond(jsonResponse(200, encodeMessage(m_model.handle(*orders, m_clock.now(), m_clock.wallNow()))));
    writeLedger();
}

void WorkerServer::handleTimer()
{
    std::this_thread::sleep_for(TimerInterval);
    pushReport();
    if (m_nextAnnouncement <= m_clock.now()) {
        announce("live");
    }
}

void WorkerServer::pushReport()
{
    std::optional<WorkerReport> report;
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        report = m_model.takeReport(m_clock.now());
        address = m_model.reportTo();
        writeLedger();
    }
    if (!report) {
        return;
    }
    // The response is ignored: a report of ended tasks is repeated until release orders arrive.
    m_client.send(address,
                  postRequest("/v1/reports", encodeMessage(*report)),
                  m_clock.now() + CallTimeout,
                  [](const std::optional<HttpResponse> &, const TransportError &) {});
}

void WorkerServer::announce(const std::string &state)
{
    m_nextAnnouncement = m_clock.now() + AnnouncementInterval;
    VmEntry entry;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        entry.id = m_model.info().id.value();
        entry.dataCentre = m_model.info().dataCentre;
    }
    entry.role = "worker";
    entry.address = m_settings.listen;
    entry.state = state;
    TransportError error;
    const auto response = m_client.call(
        m_settings.platform, postRequest("/vms", encodeMessage(entry)), m_clock.now() + CallTimeout, error);
    if (!response || response->status >= 300) {
        logEvent(LogLevel::Warning,
                 "announcement-failed",
                 {{"platform", m_settings.platform},
                  {"reason", response ? "status " + std::to_string(response->status) : error.reason}});
    }
}

void WorkerServer::writeLedger()
{
    const MonotonicTime now = m_clock.now();
    const WallTime wallNow = m_clock.wallNow();
    for (const TaskEvent &entry : m_model.takeLedger()) {
        if (!m_ledger.is_open()) {
            continue;
        }
        // The time is in Unix milliseconds.
        m_ledger << "time=" << toUnixMs(wallNow - (now - entry.at)) << " event=" << (entry.started ? "start" : "end")
                 << " worker=" << m_model.info().id << " incarnation=" << m_model.info().incarnation
                 << " task=" << entry.task << " job=" << entry.job << " state=" << toText(entry.state) << std::endl;
    }
}

} // namespace coriander
