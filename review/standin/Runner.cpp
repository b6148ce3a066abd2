#include "Runner.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace review {

using coriander::HttpRequest;
using coriander::HttpResponse;
using coriander::jsonResponse;

namespace {

/** Bounds of the site sheet of Trinacria. */
constexpr std::int64_t LongestLeaseMs = 10000;
/** Time that a stop takes; the sheet allows 400 ms. */
constexpr std::int64_t StopMs = 100;
constexpr double FullPercent = 100;
/** Ends of runs are returned 500 at a time. */
constexpr std::size_t EndsPerAnswer = 500;

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

Runner::Runner(boost::asio::io_context &loop, Settings settings, BehaviourOf behaviourOf, Report report)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_behaviourOf(std::move(behaviourOf))
    , m_report(std::move(report))
{
}

void Runner::start()
{
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_startedSteadyMs = steadyMs();
    m_sequence = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_ends = 0;
    m_leaseOver = false;
    m_lapses = 0;
    m_draining = false;
    m_runs.clear();
    m_over.clear();
    m_ended.clear();
    m_server = std::make_unique<coriander::AsyncHttpServer>(
        m_loop,
        coriander::AsyncHttpLimits{16 * 1024, 1024 * 1024, std::chrono::seconds(5), std::chrono::seconds(120)},
        [this](const HttpRequest &request, const coriander::AsyncHttpRespond &respond) { handle(request, respond); });
    coriander::TransportError error;
    // Each runner has a loopback address of its own, so that no client port blocks its port while it is down.
    if (!m_server->listen(m_address.empty() ? m_settings.host + ":0" : m_address, error)) {
        throw std::runtime_error(error.reason);
    }
    m_address = m_settings.host + ":" + std::to_string(m_server->port());
}

void Runner::crash()
{
    for (const auto &[task, run] : m_runs) {
        m_report({m_settings.id, "killed", task, run.run});
    }
    m_runs.clear();
    m_holds.clear();
    m_server.reset();
}

bool Runner::isUp() const
{
    return m_server != nullptr;
}

void Runner::setDraining(bool draining)
{
    m_draining = draining;
}

void Runner::setUnhealthy(bool unhealthy)
{
    m_unhealthy = unhealthy;
}

bool Runner::unhealthy() const
{
    return m_unhealthy;
}

void Runner::setLabels(std::vector<std::string> labels)
{
    m_settings.labels = std::move(labels);
}

const Runner::Settings &Runner::settings() const
{
    return m_settings;
}

const std::string &Runner::address() const
{
    return m_address;
}

std::map<std::string, RunState> &Runner::runs()
{
    return m_runs;
}

std::int64_t Runner::clockMs() const
{
    return steadyMs() - m_startedSteadyMs + 1000;
}

std::string Runner::registration()
{
    Json row = {
        {"service", m_settings.service},
        {"addr", m_address},
        {"zone", m_settings.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", m_draining ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"capacity",
         {{"cpu", m_settings.capacity.cpu}, {"mem_mb", m_settings.capacity.memory}, {"gpu", m_settings.capacity.gpu}}},
        {"labels", m_settings.labels},
        {"machine", "m-" + m_settings.id},
        {"born", m_born},
        {"clock_ms", clockMs()},
        {"seq", ++m_sequence}};
    if (m_draining) {
        row["remaining_ms"] = 2000;
    }
    return row.dump();
}

HttpResponse Runner::refusal(const char *reason) const
{
    return jsonResponse(409, Json{{"clock_ms", clockMs()}, {"reason", reason}}.dump());
}

void Runner::extendLease(const Json &order)
{
    if (order.contains("deadline_ms")) {
        const auto until = std::min(order.at("deadline_ms").get<std::int64_t>(), clockMs() + LongestLeaseMs);
        m_leaseUntil = std::max(m_leaseUntil, until);
        m_leaseOver = m_leaseOver && clockMs() > m_leaseUntil;
    }
}

void Runner::takeNote(std::int64_t seen)
{
    std::erase_if(m_ended, [this, seen](const End &end) {
        if (end.number > seen) {
            return false;
        }
        const bool lapsed = m_leaseOver || end.lapses != m_lapses;
        m_report({m_settings.id, lapsed ? "noted after a lapse" : "noted " + end.how, end.task, end.run});
        return true;
    });
}

void Runner::handle(const HttpRequest &request, const coriander::AsyncHttpRespond &respond)
{
    if (request.header("Corianderscale-Expect-Instance") != m_settings.id) {
        respond(jsonResponse(421, "{}"));
        return;
    }
    const Json order = Json::parse(request.body);
    const auto fence = order.value("fence", std::int64_t(0));
    if (fence < m_fence) {
        respond(refusal("fence"));
        return;
    }
    m_fence = fence;
    if (request.path == "/-/run-start") {
        respond(runStart(order));
    } else if (request.path == "/-/run-stop") {
        respond(runStop(order));
    } else if (request.path == "/-/hold") {
        extendLease(order);
        takeNote(order.value("last_seen", std::int64_t(0)));
        m_holds.push_back({respond, clockMs() + order.value("wait_ms", std::int64_t(0))});
        answerHolds();
    } else {
        respond(jsonResponse(404, "{}"));
    }
}

HttpResponse Runner::runStart(const Json &order)
{
    const auto task = order.at("task").get<std::string>();
    const auto run = order.at("run").get<std::int64_t>();
    if (m_unhealthy) {
        m_report({m_settings.id, "refused: unhealthy", task, run});
        return jsonResponse(503, Json{{"clock_ms", clockMs()}}.dump());
    }
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.run == run) {
        extendLease(order);
        return jsonResponse(200, Json{{"clock_ms", clockMs()}}.dump());
    }
    const auto over = m_over.find(task);
    if (running != m_runs.end() || (over != m_over.end() && run <= over->second)) {
        extendLease(order);
        return refusal("old");
    }
    if (order.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
        return refusal("late");
    }
    extendLease(order);
    RunState state;
    state.run = run;
    state.presentMs = clockMs();
    state.behaviour = m_behaviourOf(task);
    const bool asked = state.behaviour.spec == order.value("spec", std::string());
    m_runs[task] = state;
    m_report({m_settings.id, asked ? "start" : "start with another spec", task, run});
    return jsonResponse(200, Json{{"clock_ms", clockMs()}}.dump());
}

HttpResponse Runner::runStop(const Json &order)
{
    const auto task = order.at("task").get<std::string>();
    const auto run = order.at("run").get<std::int64_t>();
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.run <= run) {
        if (running->second.stopAtMs < 0) {
            running->second.stopAtMs = clockMs() + StopMs;
        }
    } else {
        m_over[task] = std::max(m_over[task], run);
    }
    return jsonResponse(200, Json{{"clock_ms", clockMs()}}.dump());
}

void Runner::endRun(const std::string &task, const std::string &how)
{
    const auto running = m_runs.find(task);
    if (running == m_runs.end()) {
        return;
    }
    const std::int64_t run = running->second.run;
    m_runs.erase(running);
    m_over[task] = std::max(m_over[task], run);
    m_ended.push_back({++m_ends, task, run, how, m_lapses});
    m_report({m_settings.id, how, task, run});
}

void Runner::tick()
{
    if (!m_leaseOver && clockMs() > m_leaseUntil) {
        m_leaseOver = true;
        ++m_lapses;
    }
    std::vector<std::pair<std::string, std::string>> ending;
    for (const auto &[task, run] : m_runs) {
        if (run.stopAtMs >= 0 && clockMs() >= run.stopAtMs) {
            ending.emplace_back(task, "stopped");
        } else if (clockMs() > m_leaseUntil) {
            ending.emplace_back(task, "lapsed");
        }
    }
    for (const auto &[task, how] : ending) {
        endRun(task, how);
    }
}

HttpResponse Runner::lists() const
{
    Json running = Json::array();
    for (const auto &[task, run] : m_runs) {
        const double work = static_cast<double>(run.behaviour.workMs);
        const double percent = work < 0 ? FullPercent : std::min(FullPercent, run.doneMs / work * FullPercent);
        running.push_back({task, run.run, "", static_cast<int>(std::floor(percent)), run.behaviour.need.cpu});
    }
    Json ended = Json::array();
    for (const End &end : m_ended) {
        if (ended.size() < EndsPerAnswer) {
            ended.push_back({end.number, end.task, end.run, end.how, ""});
        }
    }
    return jsonResponse(200,
                        Json{{"clock_ms", clockMs()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump());
}

void Runner::answerHolds()
{
    std::vector<Hold> due;
    std::erase_if(m_holds, [this, &due](const Hold &hold) {
        const bool ready = !m_ended.empty() || clockMs() >= hold.dueMs;
        if (ready) {
            due.push_back(hold);
        }
        return ready;
    });
    for (const Hold &hold : due) {
        hold.respond(lists());
    }
}

} // namespace review
