#include "Deployment.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/bin/coriander-node";
constexpr const char *Host = "nony24.example";
constexpr const char *ApiKey = "d4a3hwrr6x73d3zji9n7";
constexpr auto CallTime = std::chrono::milliseconds(3000);
constexpr int SubmitAttempts = 10;

std::filesystem::path temporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "coriander-review-XXXXXX").string();
    return mkdtemp(pattern.data());
}

} // namespace

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Node::Node(std::string name, std::string zone, const std::string &store, std::filesystem::path folder, Record &record)
    : m_name(std::move(name))
    , m_callers(loopback(freePort()))
    , m_readiness(loopback(freePort()))
    , m_settings(folder / (m_name + ".yaml"))
    , m_log(folder / (m_name + ".log"))
    , m_record(record)
{
    // As platform/settings.yaml.template, with the figures of the small sites.
    std::ofstream(m_settings) << "instance: \"" << m_name << "\"\ndata_centre: \"" << zone << "\"\ncaller_listen: \""
                              << m_callers << "\"\nreadiness_listen: \"" << m_readiness << "\"\nmetrics_listen: \""
                              << loopback(freePort()) << "\"\nrelay_listen: \"" << loopback(freePort())
                              << "\"\nstore: \"" << store
                              << "\"\nprocessor_share: 0.25\ndescriptors: 4100\nmemory_mb: " << MemoryMb
                              << "\nlongest_lease_ms: 10000\nstate_keep_s: 120\ngrace_s: 6\n";
}

const std::string &Node::name() const
{
    return m_name;
}

const std::string &Node::callers() const
{
    return m_callers;
}

const std::string &Node::readiness() const
{
    return m_readiness;
}

void Node::start()
{
    const std::string settings = m_settings.string();
    const std::string log = m_log.string();
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (getppid() != parent || file < 0) {
            _exit(127);
        }
        dup2(file, 1);
        dup2(file, 2);
        for (int other = 3; other < 1024; ++other) {
            close(other);
        }
        execl(Program, Program, "--settings", settings.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    m_record.write("process of " + m_name + " started");
}

void Node::kill(const std::string &why)
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
        m_record.write("process of " + m_name + " killed: " + why);
    }
}

bool Node::runs()
{
    int status = 0;
    if (m_process > 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
        m_process = -1;
        m_record.write("process of " + m_name + " ended by itself, status " + std::to_string(status));
    }
    return m_process > 0;
}

int Node::memoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::atoi(line.c_str() + std::strlen("VmRSS:")) / 1024;
        }
    }
    return 0;
}

Deployment::Deployment(const std::filesystem::path &record)
    : m_folder(temporaryFolder())
    , m_record((record / "record.txt").string())
{
    std::signal(SIGPIPE, SIG_IGN);
    const unsigned short port = freePort();
    m_storeAddress = loopback(port);
    m_store.listen(port);
}

void Deployment::finish(Verdict verdict)
{
    m_record.write(verdict == Broken ? "broken" : verdict == Held ? "held" : "could not run");
    for (const std::unique_ptr<Node> &node : m_nodes) {
        node->kill("end of the test");
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    } else {
        m_record.write("logs in " + m_folder.filename().string());
    }
    _exit(verdict);
}

Worker &Deployment::addWorker(WorkerSettings settings)
{
    m_workers.push_back(std::make_unique<Worker>(std::move(settings), m_store, m_record));
    m_workers.back()->start();
    return *m_workers.back();
}

void Deployment::configure(const std::vector<Queue> &queues)
{
    m_configuration += 3;
    Json routes = Json::array();
    std::string names;
    for (const Queue &queue : queues) {
        routes.push_back({{"name", queue.name},
                          {"host", Host},
                          {"prefix", queue.prefix},
                          {"kind", "unsafe"},
                          {"timeout_ms", 3000},
                          {"target_runtime_ms", 1000},
                          {"priority", queue.priority},
                          {"service", "huvo11a"},
                          {"max_attempts", 3},
                          {"stretch", 3.0},
                          {"public", false}});
        names += " " + queue.name;
    }
    const Json service = {{"name", "huvo11a"},
                          {"health_path", "/health"},
                          {"max_conns", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"admission_check", false},
                          {"spare", false}};
    const Json limits = {{"max_header_bytes", 16384},
                         {"max_body_bytes", 262144},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}};
    const Json tenant = {{"name", "kaje80"}, {"api_keys", {ApiKey}}, {"priority", 1}, {"guaranteed", {{"gpu", 8}}}};
    m_store.put("op",
                "config",
                Json{{"version", m_configuration},
                     {"routes", routes},
                     {"services", {service}},
                     {"limits", limits},
                     {"tenants", {tenant}}}
                    .dump());
    m_record.write("configuration " + std::to_string(m_configuration) + " acknowledged, queues" + names);
}

bool Deployment::startNodes(std::size_t nodes)
{
    if (access(Program, X_OK) != 0) {
        m_record.write(std::string(Program) + " is missing");
        return false;
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        const std::string zone = i % 2 == 0 ? "palermo" : "catania";
        m_nodes.push_back(std::make_unique<Node>(
            "edge-" + zone + "-" + std::to_string(i / 2 + 1), zone, m_storeAddress, m_folder, m_record));
        m_nodes.back()->start();
    }
    for (int attempt = 0; attempt < 100; ++attempt) {
        std::size_t ready = 0;
        for (const std::unique_ptr<Node> &node : m_nodes) {
            ready += call("GET", node->readiness(), "/-/ready", {}, "", CallTime).status == 200 ? 1 : 0;
        }
        if (ready == nodes) {
            return true;
        }
        sleepSeconds(0.1);
    }
    m_record.write("the nodes did not become ready");
    return false;
}

Response Deployment::send(Node &node, const std::string &method, const std::string &path, const std::string &body)
{
    const Response response = call(method,
                                   node.callers(),
                                   path,
                                   {{"Host", Host},
                                    {"Content-Type", "application/json"},
                                    {"Corianderscale-Credential", ApiKey},
                                    {"Corianderscale-Deadline-Ms", std::to_string(CallTime.count())}},
                                   body,
                                   CallTime);
    m_record.write(method + " " + path + " at " + node.name() + " " + body.substr(0, 200) + " -> "
                   + (response.status == 0 ? "no answer" : std::to_string(response.status) + " " + response.body));
    return response;
}

bool Deployment::submit(const Queue &queue, const std::string &id, const Json &job)
{
    for (int attempt = 0; attempt < SubmitAttempts; ++attempt) {
        const int status = send(*m_nodes[m_next++ % m_nodes.size()], "POST", queue.prefix + id, job.dump()).status;
        if (status >= 200 && status < 300) {
            return true;
        }
        if (status != 0 && status != 502 && status != 503 && status != 504 && status != 429) {
            return false;
        }
        sleepSeconds(0.5);
    }
    return false;
}

std::string Deployment::state(const Queue &queue, const std::string &id)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Response response = send(*m_nodes[m_next++ % m_nodes.size()], "GET", queue.prefix + id);
        if (response.status == 200) {
            return Json::parse(response.body).value("state", "");
        }
    }
    return "";
}

std::vector<RunSpan> Deployment::runs() const
{
    std::vector<RunSpan> all;
    for (const std::unique_ptr<Worker> &worker : m_workers) {
        const std::vector<RunSpan> runs = worker->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

std::vector<RunSpan> Deployment::runsOf(const std::string &prefix) const
{
    std::vector<RunSpan> all = runs();
    std::erase_if(all, [&prefix](const RunSpan &run) { return !run.task.starts_with(prefix); });
    return all;
}

bool Deployment::isRunning(const std::string &task) const
{
    for (const RunSpan &run : runs()) {
        if (run.task == task && !run.endedAt) {
            return true;
        }
    }
    return false;
}

std::vector<std::unique_ptr<Node>> &Deployment::nodes()
{
    return m_nodes;
}

Node *Deployment::leader()
{
    // The row that each write of the leader is conditional on; it names the instance.
    const std::string row = m_store.value("owner", "term");
    for (const std::unique_ptr<Node> &node : m_nodes) {
        if (row.find(node->name() + "/") != std::string::npos) {
            return node.get();
        }
    }
    return nullptr;
}

Store &Deployment::store()
{
    return m_store;
}

Record &Deployment::record()
{
    return m_record;
}

} // namespace review
