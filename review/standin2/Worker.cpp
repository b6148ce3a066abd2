#include "Worker.h"

#include <thread>

namespace review {

namespace {

constexpr std::int64_t LongestLeaseMs = 10000;
constexpr std::size_t EndsPerAnswer = 500;
constexpr auto TickTime = std::chrono::milliseconds(20);
constexpr auto ReportTime = std::chrono::milliseconds(1500);

} // namespace

Worker::Worker(WorkerSettings settings, Store &store, Record &record)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_bootAt(SteadyClock::now())
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
}

const WorkerSettings &Worker::settings() const
{
    return m_settings;
}

std::int64_t Worker::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - m_bootAt).count();
}

void Worker::start()
{
    m_port = freePort();
    serve(m_port, [this](const Request &request) { return handle(request); });
    std::thread([this] {
        auto reportAt = SteadyClock::now();
        for (bool left = false; !left; std::this_thread::sleep_for(TickTime)) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            tick();
            left = m_left;
            if (!left && SteadyClock::now() >= reportAt) {
                reportAt = SteadyClock::now() + ReportTime;
                report();
            }
        }
    }).detach();
}

void Worker::drain(std::chrono::milliseconds remaining)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leavesAt = SteadyClock::now() + remaining;
    m_record.write("worker " + m_settings.id + " drains and leaves in " + std::to_string(remaining.count()) + " ms");
    report();
}

void Worker::setMute(bool mute)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mute = mute;
    m_record.write("worker " + m_settings.id + (mute ? " answers nothing" : " answers again"));
}

std::vector<RunSpan> Worker::runs()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_spans;
}

void Worker::report()
{
    Json entry = {{"service", m_settings.service},
                  {"addr", loopback(m_port)},
                  {"zone", m_settings.zone},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", m_leavesAt ? "draining" : "ready"},
                  {"cold_left_ms", 0},
                  {"capacity",
                   {{"cpu", m_settings.capacity.milliCores},
                    {"mem_mb", m_settings.capacity.memoryMb},
                    {"gpu", m_settings.capacity.accelerators}}},
                  {"labels", {m_settings.kind, m_settings.rack}},
                  {"clock_ms", clockMs()},
                  {"born", m_born},
                  {"seq", ++m_sequence}};
    if (m_leavesAt) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*m_leavesAt - SteadyClock::now());
        entry["remaining_ms"] = std::max<std::int64_t>(left.count(), 0);
    }
    m_store.put("servers", m_settings.id, entry.dump());
}

void Worker::end(const std::string &task, const std::string &how)
{
    const auto found = m_running.find(task);
    m_ends.push_back({++m_lastEnd, task, found->second.number, how});
    m_refusedThrough[task] = std::max(m_refusedThrough[task], found->second.number);
    RunSpan &span = m_spans[found->second.span];
    span.endedAt = m_record.seconds();
    span.how = how;
    m_record.write("ended " + task + " run " + std::to_string(found->second.number) + " on " + m_settings.id + ": "
                   + how);
    m_running.erase(found);
    m_ended.notify_all();
}

void Worker::tick()
{
    const bool lapsed = clockMs() > m_leaseUntilMs;
    const bool leaves = m_leavesAt && SteadyClock::now() >= *m_leavesAt;
    std::vector<std::pair<std::string, std::string>> ending;
    for (const auto &[task, run] : m_running) {
        if (leaves) {
            ending.emplace_back(task, "gone with the worker");
        } else if (lapsed) {
            ending.emplace_back(task, "lapsed");
        } else if (!run.lasts && clockMs() - run.beganAtMs >= run.workMs) {
            ending.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ending) {
        end(task, how);
    }
    if (leaves) {
        m_left = true;
        m_store.remove("servers", m_settings.id);
        m_record.write("worker " + m_settings.id + " has left");
    }
}

Response Worker::answer(int status, const std::string &reason) const
{
    Json body = {{"clock_ms", clockMs()}, {"born", m_born}};
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return {status, body.dump()};
}

Response Worker::handle(const Request &request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (m_mute) {
        lock.unlock();
        std::this_thread::sleep_for(TickTime);
        lock.lock();
        if (!m_mute) {
            return {};
        }
    }
    if (m_left) {
        return {};
    }
    const auto expected = request.headers.find("corianderscale-expect-instance");
    if (expected != request.headers.end() && expected->second != m_settings.id) {
        return answer(421);
    }
    if (request.path == "/health") {
        return answer(200);
    }
    const Json order = Json::parse(request.body);
    const std::int64_t fence = order.value("fence", std::int64_t(0));
    if (fence < m_fence) {
        return answer(409, "fence");
    }
    m_fence = fence;
    if (request.path == "/-/run-start") {
        return startRun(order);
    }
    if (request.path == "/-/run-stop") {
        return stopRun(order);
    }
    if (request.path == "/-/hold") {
        return hold(order, lock);
    }
    return answer(404);
}

void Worker::extendLease(const Json &order)
{
    if (order.contains("deadline_ms")) {
        const std::int64_t until = std::min(order.at("deadline_ms").get<std::int64_t>(), clockMs() + LongestLeaseMs);
        m_leaseUntilMs = std::max(m_leaseUntilMs, until);
    }
}

Response Worker::startRun(const Json &order)
{
    const std::string task = order.at("task");
    const std::int64_t number = order.at("run");
    if (order.at("deadline_ms").get<std::int64_t>() <= clockMs()) {
        return answer(409, "late");
    }
    extendLease(order);
    const auto running = m_running.find(task);
    if (running != m_running.end()) {
        return running->second.number == number ? answer(200) : answer(409, "old");
    }
    if (number <= m_refusedThrough[task]) {
        return answer(409, "old");
    }
    const std::string text = order.at("spec");
    Run run;
    run.number = number;
    run.lasts = text == "last";
    run.beganAtMs = clockMs();
    run.workMs = run.lasts ? 0 : std::stoll(text);
    run.span = m_spans.size();
    m_spans.push_back({m_settings.id, task, number, m_record.seconds(), {}, {}});
    m_running[task] = run;
    m_record.write("began " + task + " run " + std::to_string(number) + " on " + m_settings.id + " in "
                   + m_settings.rack);
    return answer(200);
}

Response Worker::stopRun(const Json &order)
{
    const std::string task = order.at("task");
    const std::int64_t number = order.at("run");
    m_refusedThrough[task] = std::max(m_refusedThrough[task], number);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.number == number) {
        end(task, "stopped");
    }
    return answer(200);
}

Response Worker::hold(const Json &order, std::unique_lock<std::mutex> &lock)
{
    extendLease(order);
    const std::int64_t seen = order.value("last_seen", std::int64_t(0));
    std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
    const auto until = SteadyClock::now() + std::chrono::milliseconds(order.value("wait_ms", std::int64_t(0)));
    m_ended.wait_until(lock, until, [this] { return !m_ends.empty() || m_left; });
    if (m_left || m_mute) {
        return {};
    }
    Json body = {{"clock_ms", clockMs()}, {"born", m_born}, {"running", Json::array()}, {"ended", Json::array()}};
    for (const auto &[task, run] : m_running) {
        const std::int64_t percent
            = run.lasts ? 100 : std::min<std::int64_t>((clockMs() - run.beganAtMs) * 100 / run.workMs, 99);
        body["running"].push_back({task, run.number, "", percent, 0});
    }
    for (const End &end : m_ends) {
        if (body["ended"].size() < EndsPerAnswer) {
            body["ended"].push_back({end.number, end.task, end.run, end.how, ""});
        }
    }
    return {200, body.dump()};
}

} // namespace review
