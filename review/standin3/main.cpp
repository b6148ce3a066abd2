// Plays one case of the third review: case3 CASE NODE_PROGRAM DIRECTORY RECORD
// Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

#include "standin.h"

using namespace standin;

namespace {

constexpr const char *Host = "desk.example";
constexpr const char *Service = "battesimo-desk";
constexpr Capacity Size{32000, 65536, 8};
/** Bounds of the deployment. */
constexpr double VisibleS = 3.0;

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct Queue {
    std::string name;
    std::string prefix;
    int priority = 1;
    /** Null for a queue without advice. */
    Json advice = nullptr;
};

struct Tenant {
    std::string name;
    std::string key;
    int guaranteedGpu = 0;
};

/** A small deployment: the store, runners, and nodes in front of them. */
struct Deployment {
    Deployment(std::string program, std::string directory)
        : program(std::move(program))
        , directory(std::move(directory))
    {
    }

    void configure(const std::vector<Queue> &queues, const std::vector<Tenant> &tenants)
    {
        Json routes = Json::array();
        for (const Queue &queue : queues) {
            Json route = {{"name", queue.name},
                          {"host", Host},
                          {"prefix", queue.prefix},
                          {"kind", "unsafe"},
                          {"timeout_ms", 3000},
                          {"target_runtime_ms", 1000},
                          {"priority", queue.priority},
                          {"service", Service},
                          {"max_attempts", 3},
                          {"stretch", 3.0},
                          {"public", false}};
            if (!queue.advice.is_null()) {
                route["advice"] = queue.advice;
            }
            routes.push_back(route);
        }
        Json list = Json::array();
        for (const Tenant &tenant : tenants) {
            list.push_back(
                {{"name", tenant.name}, {"api_keys", {tenant.key}}, {"guaranteed", {{"gpu", tenant.guaranteedGpu}}}});
        }
        const Json body = {{"version", ++version},
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
                           {"tenants", list}};
        store.put("op", "config", body.dump());
    }

    Runner &addRunner(const std::string &zone, const std::string &kind, const std::string &rack)
    {
        const std::string id = "i-" + std::to_string(1000 + runners.size());
        runners.push_back(std::make_unique<Runner>(store, id, Service, zone, kind, rack, Size));
        return *runners.back();
    }

    bool startNodes(const std::vector<std::string> &zones, const std::string &advice = "")
    {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            nodes.push_back(std::make_unique<Node>(program,
                                                   directory,
                                                   "edge-" + zones[i] + "-" + std::to_string(i + 1),
                                                   zones[i],
                                                   store.address(),
                                                   advice));
            nodes.back()->start();
        }
        const double until = seconds() + 15;
        while (seconds() < until) {
            if (std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->isReady(); })) {
                record("all nodes are ready");
                return true;
            }
            std::this_thread::sleep_for(Ms(100));
        }
        record("the nodes were not ready in time");
        return false;
    }

    Response send(std::size_t node,
                  const std::string &method,
                  const std::string &path,
                  const std::string &key,
                  const Json &body = nullptr)
    {
        const std::string text = body.is_null() ? "" : body.dump();
        const Response response = call(nodes.at(node)->front(),
                                       method,
                                       path,
                                       {{"Host", Host},
                                        {"Content-Type", "application/json"},
                                        {"Corianderscale-Credential", key},
                                        {"Corianderscale-Deadline-Ms", "3000"}},
                                       text,
                                       Ms(3500));
        record("request " + method + " " + path + " with the key " + key + " at " + nodes.at(node)->name() + ": "
               + std::to_string(response.status) + " " + response.body + (text.empty() ? "" : ", sent " + text));
        return response;
    }

    std::string program;
    std::string directory;
    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Node>> nodes;
    int version = 0;
};

void waitUntil(double at)
{
    while (seconds() < at) {
        std::this_thread::sleep_for(Ms(5));
    }
}

void sleepFor(double span)
{
    waitUntil(seconds() + span);
}

/** Waits until a task was started; returns the start, or no value after @p limit seconds. */
std::optional<Start> waitForStart(const std::string &task, double limit, int number = 1)
{
    const double until = seconds() + limit;
    while (seconds() < until) {
        int seen = 0;
        for (const Start &start : Runner::starts()) {
            if (start.task == task && ++seen == number) {
                return start;
            }
        }
        std::this_thread::sleep_for(Ms(5));
    }
    return std::nullopt;
}

Json step(int count, int cpu, int gpu, int estimateMs)
{
    return {{"count", count}, {"cpu", cpu}, {"mem_mb", 1024}, {"gpu", gpu}, {"est_ms", estimateMs}};
}

Json job(const std::string &spec, const std::vector<Json> &steps)
{
    return {{"spec", spec}, {"steps", steps}};
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", 0x5c0e0000 + number);
    return text;
}

/** Runs an ordinary job to its end, so that the owner knows the runners. */
bool warmUp(Deployment &deployment, const std::string &prefix, const std::string &key)
{
    const std::string id = jobId(0);
    if (deployment.send(0, "POST", prefix + id, key, job("work=300", {step(1, 2000, 1, 300)})).status != 200) {
        return false;
    }
    for (int i = 0; i < 50; ++i) {
        sleepFor(0.2);
        if (deployment.send(0, "GET", prefix + id, key).body.find("completed") != std::string::npos) {
            return true;
        }
    }
    return false;
}

/** MIXED: what a queue gives as waiting while a runner with the only label of its kind is lost for good. */
int waitingCount(Deployment &deployment)
{
    constexpr int Jobs = 4;
    const std::string prefix = "/lohu930/";
    const std::string key = "key-of-tenant-a";
    deployment.configure({{"r-a", prefix, 1}}, {{"tenant-a", key}});
    for (int i = 0; i < 7; ++i) {
        deployment.addRunner("palermo", "a", i < 4 ? "r1-1" : "r1-2");
    }
    Runner &only = deployment.addRunner("palermo", "b", "r1-2");
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}) || !warmUp(deployment, prefix, key)) {
        return 2;
    }
    sleepFor(2);
    if (trouble()) {
        only.goDark();
    }
    double lastAck = 0;
    for (int i = 1; i <= Jobs; ++i) {
        Json labelled = step(1, 4000, 1, 2000);
        labelled["required_label"] = "b";
        if (deployment.send(0, "POST", prefix + jobId(i), key, job("work=2000", {labelled})).status != 200) {
            return 2;
        }
        lastAck = seconds();
    }
    bool broken = false;
    waitUntil(lastAck + VisibleS + 2.1);
    for (int look = 0; look < 24; ++look) {
        int notBegun = 0;
        for (int i = 1; i <= Jobs; ++i) {
            notBegun += Runner::lastSeenRunning(jobId(i) + ".0.0.0") ? 0 : 1;
        }
        const std::size_t node = static_cast<std::size_t>(look) % deployment.nodes.size();
        const Response response = deployment.send(node, "GET", prefix, key);
        const Json body = Json::parse(response.body, nullptr, false);
        if (response.status != 200 || !body.contains("waiting")) {
            continue;
        }
        const int waiting = body.at("waiting");
        if (2 * waiting < notBegun) {
            record("MIXED: waiting is given as " + std::to_string(waiting) + ", but " + std::to_string(notBegun)
                   + " jobs that were accepted over 5 s before have not begun");
            broken = true;
        }
        sleepFor(0.25);
    }
    return broken ? 1 : 0;
}

/** LOST: a task that lasts is not started again while other tasks of its step end and are started again. */
int lastingTask(Deployment &deployment)
{
    constexpr double WatchedS = 60;
    const std::string prefix = "/lohu930/";
    const std::string key = "key-of-tenant-a";
    deployment.configure({{"r-a", prefix, 1}}, {{"tenant-a", key}});
    for (const char *rack : {"r1-1", "r1-2", "r1-3", "r1-4"}) {
        deployment.addRunner("palermo", "a", rack);
        deployment.addRunner("palermo", "a", rack);
    }
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}) || !warmUp(deployment, prefix, key)) {
        return 2;
    }
    // The rack of the data has room for four of the five tasks.
    constexpr int Tasks = 5;
    Json lasting = step(Tasks, 4000, 4, 1000);
    lasting["data_rack"] = "r1-1";
    lasting["long_running"] = true;
    const char *spec = trouble() ? "lasts end=8000 again=4000 tasks=4 how=failed" : "lasts end=8000 how=failed";
    const Json body = job(spec, {lasting});
    if (deployment.send(1, "POST", prefix + jobId(2), key, body).status != 200) {
        return 2;
    }
    const std::string last = jobId(2) + ".0.0." + std::to_string(Tasks - 1);
    if (!waitForStart(last, 6)) {
        record("the last task did not begin outside of the rack");
        return 2;
    }
    const double until = seconds() + WatchedS;
    double endedAt = seconds();
    std::optional<Start> restart;
    while (!restart && seconds() < until) {
        endedAt = *Runner::lastSeenRunning(last);
        restart = waitForStart(last, 0.05, 2);
    }
    const double stoodStill = (restart ? restart->at : seconds()) - endedAt;
    record("the last run of task " + last + " ended at " + std::to_string(endedAt)
           + (restart ? "; it was started again on " + restart->runner + " after " : "; it was not started again in ")
           + std::to_string(stoodStill) + " s, beside 6 idle runners");
    if (stoodStill > 6 + 3) {
        record("LOST: from 6 s after its last run nothing of the task ran for 3 s on end, with room for it twice over");
        return 1;
    }
    return 0;
}

/** LOST: two tenants that number their jobs from 1 hand in jobs under the same ID, each to its own queue. */
int sameId(Deployment &deployment)
{
    const std::string ofA = "/lohu930/";
    const std::string ofB = "/pule252/";
    const std::string keyA = "key-of-tenant-a";
    const std::string keyB = "key-of-tenant-b";
    deployment.configure({{"r-a", ofA, 1}, {"r-b", ofB, 1}}, {{"tenant-a", keyA}, {"tenant-b", keyB}});
    for (int i = 0; i < 8; ++i) {
        deployment.addRunner("palermo", "a", i < 4 ? "r1-1" : "r1-2");
    }
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}) || !warmUp(deployment, ofA, keyA)) {
        return 2;
    }
    const std::string idA = "0000000000000001";
    const std::string idB = trouble() ? idA : "0000000000000002";
    const Json jobA = job("work=20000 of tenant a", {step(1, 4000, 1, 20000)});
    const Json jobB = job("work=2000 of tenant b", {step(1, 4000, 1, 2000)});
    if (deployment.send(0, "POST", ofA + idA, keyA, jobA).status != 200 || !waitForStart(idA + ".0.0.0", 5)) {
        return 2;
    }
    const bool acceptedB = deployment.send(1, "POST", ofB + idB, keyB, jobB).status == 200;
    sleepFor(10);
    bool broken = false;
    const std::vector<Start> starts = Runner::starts();
    const bool ranB = std::any_of(
        starts.begin(), starts.end(), [&jobB](const Start &start) { return start.spec == jobB.at("spec"); });
    if (acceptedB && !ranB) {
        record("LOST: the job of tenant b was accepted 10 s ago and has not run, beside 7 idle runners");
        broken = true;
    }
    deployment.send(2, "GET", ofB + idB, keyB);
    // Tenant b ends its own job; nobody cancels that of tenant a.
    deployment.send(1, "DELETE", ofB + idB, keyB);
    sleepFor(3);
    const Response shown = deployment.send(2, "GET", ofA + idA, keyA);
    if (shown.body.find("cancelled") != std::string::npos) {
        record("LOST: the job of tenant a is shown as cancelled, and tenant a did not cancel it");
        broken = true;
    }
    return broken ? 1 : 0;
}

/** The advice service: handles one call at a time, since a single machine calls it. */
class AdviceService
{
public:
    AdviceService(Ms decide, Ms each, Ms valid)
        : m_decide(decide)
        , m_each(each)
        , m_valid(valid)
        , m_server([this](const Request &request) { return advise(request); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }

    bool isValid(const std::string &step, const std::string &ticket)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tickets.find(ticket);
        return found != m_tickets.end() && found->second.first == step && SteadyClock::now() < found->second.second;
    }

private:
    std::optional<Response> advise(const Request &request)
    {
        const std::lock_guard turn(m_turn);
        const Json body = Json::parse(request.body);
        const std::string step = body.at("step");
        const double began = seconds();
        std::this_thread::sleep_for(m_decide + m_each * static_cast<int>(body.at("workers").size()));
        Json good = Json::array();
        const std::lock_guard lock(m_mutex);
        for (const Json &worker : body.at("workers")) {
            const std::string ticket = "t" + std::to_string(++m_issued);
            m_tickets[ticket] = {step, SteadyClock::now() + m_valid};
            good.push_back({worker, ticket});
        }
        record("advice on " + step + " for " + std::to_string(body.at("workers").size()) + " runners, asked at "
               + std::to_string(began));
        return Response{200, Json{{"good", good}, {"valid_ms", m_valid.count()}}.dump()};
    }

    Ms m_decide;
    Ms m_each;
    Ms m_valid;
    std::mutex m_turn;
    std::mutex m_mutex;
    std::map<std::string, std::pair<std::string, SteadyClock::time_point>> m_tickets;
    int m_issued = 0;
    Server m_server;
};

/** LOST: a small job of a queue with advice has nothing running while large jobs of the queue wait for whole runners.
 */
int advisedQueue(Deployment &deployment)
{
    constexpr int Runners = 24;
    constexpr int LargeJobs = 6;
    constexpr double WatchedS = 60;
    const std::string plain = "/lohu930/";
    const std::string advised = "/pule252/";
    const std::string key = "key-of-tenant-a";
    const Json advice = {{"decide_ms", 200}, {"each_ms", 20}, {"valid_ms", 3000}};
    AdviceService &service = *new AdviceService(Ms(200), Ms(20), Ms(3000));
    deployment.configure({{"r-a", plain, 1}, {"r-b", advised, 1, advice}}, {{"tenant-a", key}});
    for (int i = 0; i < Runners; ++i) {
        Runner &runner = deployment.addRunner("palermo", "a", "r1-" + std::to_string(1 + i / 6));
        runner.ticketIsValid = [&service](const std::string &step, const std::string &ticket) {
            // Jobs of the queue without advice have ids below 100.
            return std::stol(step.substr(8, 8), nullptr, 16) < 0x5c0e0000 + 100 || service.isValid(step, ticket);
        };
    }
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}, service.address())
        || !warmUp(deployment, plain, key)) {
        return 2;
    }
    // One accelerator of each runner is in use for good: an eighth of the pool.
    Json spread = step(Runners, 1000, 1, 1000);
    spread["long_running"] = true;
    spread["max_per_server"] = 1;
    if (deployment.send(0, "POST", plain + jobId(1), key, job("lasts", {spread})).status != 200) {
        return 2;
    }
    sleepFor(4);
    const std::string first = jobId(200) + ".0.0.0";
    if (deployment.send(0, "POST", advised + jobId(200), key, job("work=1000", {step(1, 2000, 1, 1000)})).status != 200
        || !waitForStart(first, 10)) {
        return 2;
    }
    sleepFor(3);
    if (trouble()) {
        for (int i = 1; i <= LargeJobs; ++i) {
            const Json large = job("work=20000", {step(1, 8000, 8, 20000)});
            if (deployment.send(i % 3, "POST", advised + jobId(100 + i), key, large).status != 200) {
                return 2;
            }
        }
    }
    const std::string small = jobId(201) + ".0.0.0";
    if (deployment.send(1, "POST", advised + jobId(201), key, job("work=20000", {step(1, 2000, 1, 20000)})).status
        != 200) {
        return 2;
    }
    const double acceptedAt = seconds();
    const auto start = waitForStart(small, WatchedS);
    record("the small job " + std::string(start ? "began " : "did not begin within ")
           + std::to_string(seconds() - acceptedAt) + " s after its ack; 7 of 8 accelerators of each runner are free");
    // 14 s is finish_s; then nothing of a job may stand still for 3 s.
    const bool broken = !start || start->at - acceptedAt > 14 + 3;
    if (broken) {
        record("LOST: nothing of the job ran, with room for it more than twice and an eighth of the capacity in use");
    }
    return broken ? 1 : 0;
}

/** ROUTE: a runner starts again as another kind while the store is down, and gets a task that needs its old kind. */
int restartedKind(Deployment &deployment)
{
    constexpr double StoreDownS = 4;
    const std::string prefix = "/lohu930/";
    const std::string key = "key-of-tenant-a";
    deployment.configure({{"r-a", prefix, 1}}, {{"tenant-a", key}});
    for (int i = 0; i < 6; ++i) {
        deployment.addRunner("palermo", "b", i < 3 ? "r1-1" : "r1-2");
    }
    Runner &first = deployment.addRunner("palermo", "a", "r1-3");
    Runner &second = deployment.addRunner("palermo", "a", "r1-3");
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}) || !warmUp(deployment, prefix, key)) {
        return 2;
    }
    Json labelled = step(1, 8000, 8, 4000);
    labelled["required_label"] = "a";
    // Two jobs fill the runners of kind a; a third one waits for the first of them.
    for (int i = 1; i <= 3; ++i) {
        const Json body = job(i == 1 ? "work=4000" : i == 2 ? "work=60000" : "work=2000", {labelled});
        if (deployment.send(0, "POST", prefix + jobId(i), key, body).status != 200) {
            return 2;
        }
        if (i < 3 && !waitForStart(jobId(i) + ".0.0.0", 5)) {
            return 2;
        }
    }
    const auto hostOfFirst = waitForStart(jobId(1) + ".0.0.0", 1);
    Runner &host = hostOfFirst->runner == first.id() ? first : second;
    waitUntil(hostOfFirst->at + 3.5);
    if (trouble()) {
        deployment.store.setDown(true);
        // The first job ends meanwhile, and the third one is assigned to its runner; the start waits for the store.
        const double backAt = seconds() + StoreDownS;
        sleepFor(1.5);
        host.restartAs("b");
        waitUntil(backAt);
        deployment.store.setDown(false);
    }
    sleepFor(10);
    bool broken = false;
    for (const Start &start : Runner::starts()) {
        if (start.task == jobId(3) + ".0.0.0" && start.kind != "a") {
            record("ROUTE: task " + start.task + " needs the label a and was started on runner " + start.runner
                   + " of kind " + start.kind);
            broken = true;
        }
    }
    return broken ? 1 : 0;
}

/** GANG: a gang without accelerators is started in part while an urgent job waits for accelerators that it reclaims. */
int partialGang(Deployment &deployment)
{
    constexpr int Runners = 6;
    const std::string urgent = "/lohu930/";
    const std::string normal = "/pule252/";
    const std::string batch = "/pufi791/";
    const std::string key = "key-of-tenant-a";
    deployment.configure({{"r-a", urgent, 0}, {"r-b", normal, 1}, {"r-c", batch, 2}}, {{"tenant-a", key, 16}});
    for (int i = 0; i < Runners; ++i) {
        deployment.addRunner("palermo", "a", i < 3 ? "r1-1" : "r1-2");
    }
    if (!deployment.startNodes({"palermo", "palermo", "palermo"}) || !warmUp(deployment, normal, key)) {
        return 2;
    }
    // All accelerators are in use by work of the lowest priority; 31 of 32 cores of each runner are free.
    Json filling = step(Runners, 1000, 8, 60000);
    filling["max_per_server"] = 1;
    if (deployment.send(0, "POST", batch + jobId(1), key, job("work=60000", {filling})).status != 200) {
        return 2;
    }
    sleepFor(2);
    if (trouble()) {
        // Two tasks within the guarantee of the tenant; room for them is reclaimed from the lowest priority.
        const Json body = job("work=2000", {step(2, 1000, 8, 2000)});
        if (deployment.send(0, "POST", urgent + jobId(2), key, body).status != 200) {
            return 2;
        }
    }
    Json gang = step(Runners, 20000, 0, 2000);
    gang.erase("gpu");
    gang["gang"] = true;
    const Json body = job("gang=" + std::to_string(Runners) + " work=2000", {gang});
    if (deployment.send(0, "POST", urgent + jobId(3), key, body).status != 200) {
        return 2;
    }
    sleepFor(12);
    std::map<std::int64_t, int> membersOfRun;
    for (const Start &start : Runner::starts()) {
        if (start.task.rfind(jobId(3), 0) == 0) {
            ++membersOfRun[start.run];
        }
    }
    for (const auto &[run, members] : membersOfRun) {
        record("run " + std::to_string(run) + " of the gang was started with " + std::to_string(members) + " of "
               + std::to_string(Runners) + " members");
    }
    for (const std::string &end : Runner::endsAlone()) {
        record("GANG: " + end + " ended alone, and nothing but jobs was handed in");
    }
    return Runner::endsAlone().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) {
        Node::killAll();
        _exit(2);
    });
    if (argc != 5) {
        std::cerr << "usage: case3 CASE NODE_PROGRAM DIRECTORY RECORD\n";
        return 2;
    }
    openRecord(argv[4]);
    record(std::string("case ") + argv[1] + (trouble() ? ", with the disruption" : ", without the disruption"));
    int code = 2;
    {
        // Not destroyed: threads of channels may still use it. The nodes are ended below.
        Deployment &deployment = *new Deployment(argv[2], argv[3]);
        const std::map<std::string, int (*)(Deployment &)> cases = {{"waiting", waitingCount},
                                                                    {"lasting", lastingTask},
                                                                    {"same-id", sameId},
                                                                    {"advice", advisedQueue},
                                                                    {"restarted-kind", restartedKind},
                                                                    {"partial-gang", partialGang}};
        const auto found = cases.find(argv[1]);
        try {
            code = found == cases.end() ? 2 : found->second(deployment);
        } catch (const std::exception &failure) {
            record(std::string("the case could not run: ") + failure.what());
        }
        deployment.nodes.clear();
    }
    record(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
    std::cerr.flush();
    _exit(code);
}
