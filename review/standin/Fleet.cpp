#include "Fleet.h"

#include <boost/asio/signal_set.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

using Clock = std::chrono::steady_clock;

namespace {

/** Times of the site sheet of Trinacria and of PROTOCOL.md. */
constexpr int StatusReportMs = 1500;
constexpr std::int64_t GangMs = 3000;
constexpr double CrossRackFactor = 3;
constexpr int TickMs = 20;
constexpr const char *Service = "battesimo-desk";
/** Keys of the two tenants; each has 8 GPUs guaranteed. */
constexpr const char *ApiKeys[] = {"d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"};
constexpr double LongestCaseSeconds = 95;
/** The case cannot run if the nodes are not ready after this time. */
constexpr auto ReadyLimit = std::chrono::seconds(20);

/** A free loopback port. */
int freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    ::close(descriptor);
    return ntohs(address.sin_port);
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

} // namespace

Fleet::Fleet(std::string folder, bool trouble)
    : m_folder(std::move(folder))
    , m_trouble(trouble)
    , m_record(m_folder + "/record.txt")
    , m_store(m_loop)
    , m_client(m_loop, {})
    , m_storeAddress(m_store.listen())
    , m_createdAt(Clock::now())
    , m_lastTickAt(m_createdAt)
{
    record(std::string("disruption: ") + (trouble ? "yes" : "no"));
}

Fleet::~Fleet()
{
    for (const Node &node : m_nodes) {
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    }
}

bool Fleet::trouble() const
{
    return m_trouble;
}

double Fleet::seconds() const
{
    const auto since = m_readyAt.value_or(Clock::now());
    return std::chrono::duration<double>(Clock::now() - since).count();
}

void Fleet::record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
    m_record << time << line << std::endl;
}

void Fleet::addRunners(std::size_t count, const std::string &rack, const std::string &kind, std::int64_t gpus)
{
    for (std::size_t i = 0; i < count; ++i) {
        char id[32];
        std::snprintf(id, sizeof(id), "i-%08zx", 0x7f3a9000 + m_runners.size());
        const std::string host = "127.0.1." + std::to_string(m_runners.size() + 1);
        Runner::Settings settings{id, host, Service, "palermo", {kind, rack}, {32000, 65536, gpus}};
        m_runners.push_back(std::make_unique<Runner>(
            m_loop,
            settings,
            [this](const std::string &task) { return behaviourOf(task); },
            [this](const RunnerEvent &event) { runnerEvent(event); }));
        m_runners.back()->start();
    }
}

void Fleet::addRoute(const std::string &name, int priority, int maximumAttempts)
{
    m_routes.push_back({name, name + ".example", "/" + name + "/", priority, maximumAttempts, false});
}

void Fleet::writeConfiguration()
{
    Json routes = Json::array();
    for (const Route &each : m_routes) {
        if (!each.dropped) {
            routes.push_back({{"name", "r-" + each.name},
                              {"host", each.host},
                              {"prefix", each.prefix},
                              {"kind", "unsafe"},
                              {"timeout_ms", 3000},
                              {"target_runtime_ms", 1000},
                              {"priority", each.priority},
                              {"service", Service},
                              {"max_attempts", each.maximumAttempts},
                              {"stretch", 3.0},
                              {"public", false}});
        }
    }
    Json tenants = Json::array();
    for (const char *key : ApiKeys) {
        tenants.push_back({{"name", "tenant-" + std::to_string(tenants.size())},
                           {"api_keys", {key}},
                           {"priority", 1},
                           {"guaranteed", {{"gpu", 8}}}});
    }
    const Json configuration = {{"version", ++m_configurationVersion},
                                {"routes", routes},
                                {"services",
                                 {{{"name", Service},
                                   {"health_path", "/health"},
                                   {"max_conns", 64},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"admission_check", false},
                                   {"spare", false}}}},
                                {"limits",
                                 {{"max_header_bytes", 16384},
                                  {"max_body_bytes", 262144},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}}},
                                {"tenants", tenants}};
    m_store.put("op", "config", configuration.dump());
    record("operator: configuration " + std::to_string(m_configurationVersion) + " is stored");
}

void Fleet::dropRoute(const std::string &name)
{
    const_cast<Route &>(route(name)).dropped = true;
    writeConfiguration();
}

void Fleet::restoreRoute(const std::string &name)
{
    const_cast<Route &>(route(name)).dropped = false;
    writeConfiguration();
}

void Fleet::registerRunner(std::size_t index)
{
    if (m_runners[index]->isUp() && m_unregistered.count(index) == 0) {
        m_store.put("servers", m_runners[index]->settings().id, m_runners[index]->registration());
    }
}

void Fleet::startNodes(std::size_t count)
{
    writeConfiguration();
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        registerRunner(i);
    }
    const std::vector<std::string> zones = {"palermo", "catania", "messina", "agrigento"};
    for (std::size_t i = 0; i < count; ++i) {
        Node node;
        node.zone = zones[i % zones.size()];
        node.name = "edge-" + node.zone + "-" + std::to_string(i / zones.size() + 1);
        node.front = loopback(freePort());
        node.ready = loopback(freePort());
        node.settingsFile = m_folder + "/settings-" + std::to_string(i) + ".yaml";
        // The lines of platform/settings.yaml.template, without an advisor.
        std::ofstream settings(node.settingsFile);
        settings << "instance: \"" << node.name << "\"\n"
                 << "data_centre: \"" << node.zone << "\"\n"
                 << "caller_listen: \"" << node.front << "\"\n"
                 << "readiness_listen: \"" << node.ready << "\"\n"
                 << "metrics_listen: \"" << loopback(freePort()) << "\"\n"
                 << "relay_listen: \"" << loopback(freePort()) << "\"\n"
                 << "store: \"" << m_storeAddress << "\"\n"
                 << "processor_share: 0.25\n"
                 << "descriptors: 4100\n"
                 << "longest_lease_ms: 10000\n"
                 << "state_keep_s: 120\n"
                 << "grace_s: 6\n";
        settings.close();
        m_nodes.push_back(node);
        spawn(m_nodes.back());
    }
}

void Fleet::spawn(Node &node)
{
    // The run command of deploy/system.toml, with the path of these settings.
    std::vector<std::string> words = {"target/bin/coriander-node", "--settings", node.settingsFile};
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string log = m_folder + "/" + node.name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
    ::posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int failed = ::posix_spawn(&node.pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("target/bin/coriander-node does not start; run the build of the deploy file first");
    }
    record("started " + node.name);
}

void Fleet::every(int milliseconds, std::function<void()> next)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, std::chrono::milliseconds(milliseconds));
    timer->async_wait([this, milliseconds, timer, next = std::move(next)](boost::system::error_code code) {
        if (!code && !m_status) {
            next();
            every(milliseconds, next);
        }
    });
}

void Fleet::at(double seconds, std::function<void()> next)
{
    m_schedule.emplace_back(seconds, std::move(next));
}

void Fleet::finish(int status)
{
    if (!m_status) {
        m_status = status;
        record("exit status " + std::to_string(status));
        m_loop.stop();
    }
}

int Fleet::run()
{
    boost::asio::signal_set signals(m_loop, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code code, int) {
        if (!code) {
            finish(2);
        }
    });
    at(LongestCaseSeconds, [this] { finish(2); });
    every(TickMs, [this] { tick(); });
    every(200, [this] { checkReady(); });
    every(StatusReportMs, [this] {
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            registerRunner(i);
        }
    });
    m_loop.run();
    return m_status.value_or(2);
}

void Fleet::checkReady()
{
    for (Node &node : m_nodes) {
        int state = 0;
        if (node.pid > 0 && ::waitpid(node.pid, &state, WNOHANG) == node.pid) {
            record(node.name + " ended by itself, wait status " + std::to_string(state));
            node.pid = -1;
        }
    }
    if (m_readyAt) {
        return;
    }
    if (Clock::now() - m_createdAt > ReadyLimit) {
        record("the nodes are not ready");
        finish(2);
        return;
    }
    bool all = true;
    for (Node &node : m_nodes) {
        all = all && node.isReady;
        if (!node.isReady) {
            coriander::HttpRequest request;
            request.path = "/-/ready";
            m_client.send(
                node.ready,
                request,
                std::chrono::seconds(1),
                [&node](const std::optional<coriander::HttpResponse> &response, const coriander::TransportError &) {
                    node.isReady = response && response->status == 200;
                });
        }
    }
    if (all) {
        m_readyAt = Clock::now();
        record("all nodes are ready");
    }
}

void Fleet::tick()
{
    const auto now = Clock::now();
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_lastTickAt).count();
    m_lastTickAt = now;
    for (const auto &runner : m_runners) {
        if (runner->isUp()) {
            runner->tick();
        }
    }
    advanceTasks(elapsedMs);
    for (const auto &runner : m_runners) {
        if (runner->isUp()) {
            runner->answerHolds();
        }
    }
    if (!m_readyAt) {
        return;
    }
    std::vector<std::function<void()>> due;
    std::erase_if(m_schedule, [this, &due](const auto &each) {
        if (seconds() < each.first) {
            return false;
        }
        due.push_back(each.second);
        return true;
    });
    for (const auto &next : due) {
        if (!m_status) {
            next();
        }
    }
}

bool Fleet::isGangComplete(const std::string &task, const RunState &run, std::set<std::string> &racks)
{
    const std::string step = task.substr(0, task.rfind('.') + 1);
    std::size_t present = 0;
    for (const auto &runner : m_runners) {
        for (const auto &[name, other] : runner->runs()) {
            if (runner->isUp() && name.starts_with(step) && other.run == run.run) {
                ++present;
                racks.insert(runner->settings().labels[1]);
            }
        }
    }
    return present == run.behaviour.gang;
}

void Fleet::advanceTasks(double elapsedMs)
{
    std::vector<std::tuple<std::size_t, std::string, std::string>> ending;
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        for (auto &[task, run] : m_runners[i]->runs()) {
            if (!m_runners[i]->isUp() || run.stopAtMs >= 0) {
                continue;
            }
            const std::string &rack = m_runners[i]->settings().labels[1];
            std::set<std::string> racks = {rack};
            if (run.behaviour.gang > 0 && !isGangComplete(task, run, racks)) {
                if (run.doneMs > 0) {
                    ending.emplace_back(i, task, "broken");
                } else if (m_runners[i]->clockMs() - run.presentMs > GangMs) {
                    ending.emplace_back(i, task, "alone");
                }
                continue;
            }
            const bool far = (run.behaviour.sameRack && racks.size() > 1)
                || (!run.behaviour.dataRack.empty() && run.behaviour.dataRack != rack);
            run.doneMs += far ? elapsedMs / CrossRackFactor : elapsedMs;
            if (run.behaviour.workMs >= 0 && run.doneMs >= static_cast<double>(run.behaviour.workMs)) {
                ending.emplace_back(i, task, run.run <= run.behaviour.failingRuns ? "failed" : "done");
            }
        }
    }
    for (const auto &[index, task, how] : ending) {
        m_runners[index]->endRun(task, how);
    }
}

TaskBehaviour Fleet::behaviourOf(const std::string &task)
{
    const std::vector<std::string> parts = split(task, '.');
    TaskBehaviour behaviour;
    const auto found = parts.size() == 4 ? m_jobs.find(parts[0]) : m_jobs.end();
    if (found == m_jobs.end()) {
        return behaviour;
    }
    const JobView &view = found->second;
    const StepPlan &step = view.plan.steps.at(std::stoul(parts[2]));
    behaviour.workMs = step.lasting ? -1 : step.workMs;
    behaviour.failingRuns = step.failingRuns;
    behaviour.gang = step.gang ? step.count : 0;
    behaviour.sameRack = step.sameRack;
    behaviour.dataRack = step.dataRack;
    behaviour.label = step.label;
    behaviour.need = step.need;
    behaviour.spec = view.spec;
    return behaviour;
}

void Fleet::runnerEvent(const RunnerEvent &event)
{
    record("runner " + event.runner + ": " + event.what + " " + event.task + " run " + std::to_string(event.run));
    const auto found = m_jobs.find(split(event.task, '.')[0]);
    if (found != m_jobs.end()) {
        JobView &view = found->second;
        if (event.what.starts_with("start")) {
            ++view.starts;
            ++view.startsByRunner[event.runner];
            view.lastStartAt = seconds();
            view.runningTasks.insert(event.task);
        } else if (!event.what.starts_with("refused") && !event.what.starts_with("noted")) {
            view.runningTasks.erase(event.task);
            view.failedRuns += event.what == "failed" ? 1 : 0;
            if (event.what == "done") {
                view.doneTasks.insert(event.task);
            }
        }
    }
    if (onEvent) {
        onEvent(event);
    }
}

const Fleet::Route &Fleet::route(const std::string &name) const
{
    for (const Route &each : m_routes) {
        if (each.name == name) {
            return each;
        }
    }
    throw std::runtime_error("no route " + name);
}

void Fleet::call(const std::string &method,
                 const Route &route,
                 const std::string &rest,
                 const std::string &body,
                 std::size_t tenant,
                 const Answered &answered,
                 int node,
                 int deadlineMs)
{
    const Node &target = m_nodes[node >= 0 ? static_cast<std::size_t>(node) : m_nextNode++ % m_nodes.size()];
    coriander::HttpRequest request;
    request.method = method;
    request.path = route.prefix + rest;
    request.headers["Host"] = route.host;
    request.headers["Corianderscale-Credential"] = ApiKeys[tenant];
    request.headers["Corianderscale-Deadline-Ms"] = std::to_string(deadlineMs);
    if (!body.empty()) {
        request.headers["Content-Type"] = "application/json";
        request.body = body;
    }
    const std::string what = method + " " + request.path + " at " + target.name;
    record("requester: " + what);
    m_client.send(target.front,
                  request,
                  std::chrono::milliseconds(deadlineMs),
                  [this, what, answered](const std::optional<coriander::HttpResponse> &response,
                                         const coriander::TransportError &error) {
                      Answer answer;
                      if (response) {
                          answer.status = response->status;
                          answer.body = Json::parse(response->body, nullptr, false);
                      }
                      record("requester: " + what + " -> "
                             + (response ? std::to_string(response->status) + " " + response->body
                                         : "no answer: " + error.reason));
                      if (answered) {
                          answered(answer);
                      }
                  });
}

void Fleet::submit(const JobPlan &plan, const Answered &answered, int node, int deadlineMs)
{
    JobView &view = m_jobs[plan.id];
    view.plan = plan;
    view.spec = "work of " + plan.id;
    Json steps = Json::array();
    for (const StepPlan &step : plan.steps) {
        Json each = {{"count", step.count}, {"est_ms", step.estimateMs}};
        const auto put = [&each](const char *name, const auto &value) {
            if (value != std::decay_t<decltype(value)>()) {
                each[name] = value;
            }
        };
        put("cpu", step.need.cpu);
        put("mem_mb", step.need.memory);
        put("gpu", step.need.gpu);
        put("gang", step.gang);
        put("same_rack", step.sameRack);
        put("long_running", step.lasting);
        put("data_rack", step.dataRack);
        put("required_label", step.label);
        put("max_per_server", step.mostPerRunner);
        put("after", step.after);
        steps.push_back(std::move(each));
    }
    Json body = {{"spec", view.spec}, {"steps", steps}};
    if (plan.times > 0) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        body["times"] = plan.times;
        body["first_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() + plan.firstInMs;
        body["interval_ms"] = plan.intervalMs;
    }
    call("POST", route(plan.route), plan.id, body.dump(), plan.tenant, answered, node, deadlineMs);
}

void Fleet::cancel(const std::string &id, const Answered &answered, int node)
{
    call("DELETE", route(job(id).plan.route), id, {}, job(id).plan.tenant, answered, node, 3000);
}

void Fleet::show(const std::string &id, const Answered &answered, int node)
{
    call("GET", route(job(id).plan.route), id, {}, job(id).plan.tenant, answered, node, 3000);
}

void Fleet::countWaiting(const std::string &name, const Answered &answered, int node)
{
    call("GET", route(name), {}, {}, 0, answered, node, 3000);
}

JobView &Fleet::job(const std::string &id)
{
    return m_jobs.at(id);
}

Store &Fleet::store()
{
    return m_store;
}

Runner &Fleet::runner(std::size_t index)
{
    return *m_runners.at(index);
}

std::size_t Fleet::runnerCount() const
{
    return m_runners.size();
}

void Fleet::drainAndLeave(std::size_t index)
{
    Runner &leaving = runner(index);
    leaving.setDraining(true);
    registerRunner(index);
    record("runner " + leaving.settings().id + " of rack " + leaving.settings().labels[1] + " drains");
    // drain_ms is 2 s; the runner leaves a little later.
    at(seconds() + 2.5, [this, index, &leaving] {
        leaving.crash();
        m_unregistered.insert(index);
        m_store.drop("servers", leaving.settings().id);
        record("runner " + leaving.settings().id + " has left");
    });
}

void Fleet::crashRunner(std::size_t index)
{
    record("runner " + runner(index).settings().id + " crashes");
    runner(index).crash();
}

void Fleet::restartRunner(std::size_t index, double registersAfter)
{
    m_unregistered.insert(index);
    runner(index).start();
    record("runner " + runner(index).settings().id + " starts again");
    at(seconds() + registersAfter, [this, index] {
        m_unregistered.erase(index);
        registerRunner(index);
        record("runner " + runner(index).settings().id + " has registered");
    });
}

Amounts Fleet::freeOn(std::size_t index)
{
    Runner &each = runner(index);
    Amounts free = each.settings().capacity;
    for (const auto &[task, run] : each.runs()) {
        free.cpu -= run.behaviour.need.cpu;
        free.memory -= run.behaviour.need.memory;
        free.gpu -= run.behaviour.need.gpu;
    }
    return free;
}

} // namespace review
