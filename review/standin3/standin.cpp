#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace standin {

namespace {

const SteadyClock::time_point processStart = SteadyClock::now();
std::mutex recordMutex;
std::ofstream recordFile;

/** Bounds of the platform's pages. */
constexpr std::int64_t HoldMaxMs = 10000;
constexpr Ms StopTime{200};
constexpr Ms ReportInterval{1500};
constexpr int MissedReports = 3;
constexpr Ms TickInterval{5};
constexpr std::size_t RowsPerPage = 500;
constexpr std::size_t EndsPerAnswer = 500;
constexpr Ms GangWait{3000};

std::mutex startsMutex;
std::vector<Start> allStarts;
std::map<std::string, double> seenRunning;
std::map<std::string, SteadyClock::time_point> firstStartOfJob;
std::vector<std::string> allEndsAlone;

/** One run of a gang on all runners. */
struct Gang {
    long present = 0;
    /** When the work of all members ends; no value before all are present. */
    std::optional<SteadyClock::time_point> endsAt;
    /** How the gang ended; empty before. */
    std::string how;
};
std::map<std::string, Gang> gangs;

std::string gangOf(const std::string &task, std::int64_t run)
{
    return task.substr(0, task.rfind('.')) + " run " + std::to_string(run);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

bool writeAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/** When a run that begins now ends by itself. */
std::optional<SteadyClock::time_point> endOf(const std::string &task, std::int64_t run, const Behaviour &behaviour)
{
    const auto now = SteadyClock::now();
    if (!behaviour.lasts) {
        return now + behaviour.work;
    }
    if (behaviour.endsAfter == Ms(0)) {
        return std::nullopt;
    }
    const std::lock_guard lock(startsMutex);
    const auto first = firstStartOfJob.try_emplace(task.substr(0, task.find('.')), now).first->second;
    const long index = std::stol(task.substr(task.rfind('.') + 1));
    if (index >= behaviour.tasksThatEndAgain) {
        return run == 1 ? std::optional(first + behaviour.endsAfter) : std::nullopt;
    }
    // The tasks end in turn.
    const auto turn = behaviour.endsAgainAfter * index / behaviour.tasksThatEndAgain;
    return std::max(now + behaviour.endsAgainAfter, first + behaviour.endsAfter + turn);
}

/** Notes that a member of a gang begins. */
void joinGang(const std::string &task, std::int64_t run, const Behaviour &behaviour)
{
    const std::lock_guard lock(startsMutex);
    Gang &gang = gangs[gangOf(task, run)];
    if (++gang.present == behaviour.gang) {
        gang.endsAt = SteadyClock::now() + behaviour.work;
    }
}

/** How the run of a member ends now; empty if it goes on. */
std::string endOfMember(const std::string &task, std::int64_t run, SteadyClock::time_point startedAt)
{
    const std::lock_guard lock(startsMutex);
    Gang &gang = gangs[gangOf(task, run)];
    const auto now = SteadyClock::now();
    if (!gang.how.empty()) {
        return gang.how;
    }
    if (gang.endsAt && now >= *gang.endsAt) {
        gang.how = "done";
        return gang.how;
    }
    if (!gang.endsAt && now - startedAt >= GangWait) {
        allEndsAlone.push_back(task + " run " + std::to_string(run));
        return "alone";
    }
    return {};
}

/** Ends the other members when one of them ended. */
void breakGang(const std::string &task, std::int64_t run)
{
    const std::lock_guard lock(startsMutex);
    const auto gang = gangs.find(gangOf(task, run));
    if (gang != gangs.end() && gang->second.how.empty() && gang->second.endsAt) {
        gang->second.how = "broken";
    }
}

/** Reads until a whole message is in @p buffer; returns its header and body, or no value if the channel ended. */
std::optional<std::pair<std::string, std::string>> readMessage(int fd,
                                                               std::string &buffer,
                                                               SteadyClock::time_point until)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string header = buffer.substr(0, end + 2);
            std::size_t length = 0;
            const std::string low = lower(header);
            const std::size_t at = low.find("\r\ncontent-length:");
            if (at != std::string::npos) {
                length = std::stoul(low.substr(at + 17));
            }
            if (buffer.size() >= end + 4 + length) {
                std::string body = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                return std::pair(header, body);
            }
        }
        const auto left = std::chrono::duration_cast<Ms>(until - SteadyClock::now()).count();
        pollfd wait{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 60000))) < 0) {
            return std::nullopt;
        }
        if (wait.revents == 0) {
            continue;
        }
        char part[65536];
        const ssize_t n = ::recv(fd, part, sizeof(part), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        buffer.append(part, static_cast<std::size_t>(n));
    }
}

Request parseRequest(const std::string &header, std::string body)
{
    Request request;
    std::istringstream lines(header);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string target;
    first >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = unescape(target.substr(0, mark));
    if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const std::size_t equals = pair.find('=');
            request.query[unescape(pair.substr(0, equals))]
                = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
        }
    }
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::size_t begin = line.find_first_not_of(' ', colon + 1);
        std::size_t end = line.find_last_not_of("\r ");
        request.headers[lower(line.substr(0, colon))]
            = begin == std::string::npos || end < begin ? "" : line.substr(begin, end - begin + 1);
    }
    request.body = std::move(body);
    return request;
}

sockaddr_in loopback(unsigned short port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

Behaviour behaviourOf(const std::string &spec)
{
    Behaviour behaviour;
    behaviour.lasts = spec.find("lasts") != std::string::npos;
    const auto number = [&spec](const std::string &name, long fallback) {
        const std::size_t at = spec.find(name + "=");
        return at == std::string::npos ? fallback : std::stol(spec.substr(at + name.size() + 1));
    };
    behaviour.work = Ms(number("work", 1000));
    behaviour.endsAfter = Ms(number(" end", 0));
    behaviour.endsAgainAfter = Ms(number(" again", 0));
    behaviour.tasksThatEndAgain = number(" tasks", 0);
    behaviour.gang = number("gang", 0);
    const std::size_t how = spec.find("how=");
    if (how != std::string::npos) {
        behaviour.how = spec.substr(how + 4, spec.find(' ', how) - how - 4);
    }
    return behaviour;
}

} // namespace

double seconds()
{
    return std::chrono::duration<double>(SteadyClock::now() - processStart).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << "  " << line << '\n';
    recordFile << text.str() << std::flush;
    std::cerr << text.str();
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_listener, 256) != 0) {
        throw std::runtime_error("cannot listen on 127.0.0.1");
    }
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this] { acceptAll(); }).detach();
}

Server::~Server()
{
    crash();
}

void Server::crash()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) {
        const linger now{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(fd, SHUT_RDWR);
    }
}

void Server::resetChannels()
{
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) {
        ::shutdown(fd, SHUT_RDWR);
    }
}

void Server::acceptAll()
{
    while (!m_stopped) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (m_stopped) {
                return;
            }
            std::this_thread::sleep_for(Ms(10));
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(fd);
        }
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

void Server::serve(int fd)
{
    std::string buffer;
    while (!m_stopped) {
        const auto message = readMessage(fd, buffer, SteadyClock::now() + std::chrono::minutes(10));
        if (!message) {
            break;
        }
        const std::optional<Response> response = m_handler(parseRequest(message->first, message->second));
        if (m_stopped) {
            break;
        }
        if (!response) {
            // The channel stays open and delivers nothing until its peer gives it up.
            char part[4096];
            while (::recv(fd, part, sizeof(part), 0) > 0) { }
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response->status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size())
            + "\r\n\r\n" + response->body;
        if (!writeAll(fd, text)) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    ::close(fd);
}

Response call(const std::string &address,
              const std::string &method,
              const std::string &target,
              const std::map<std::string, std::string> &headers,
              const std::string &body,
              Ms limit)
{
    Response none;
    none.status = 0;
    none.body.clear();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = loopback(static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1))));
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        ::close(fd);
        return none;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    Response response = none;
    if (writeAll(fd, text)) {
        if (const auto message = readMessage(fd, buffer, SteadyClock::now() + limit)) {
            response.status = std::stoi(message->first.substr(message->first.find(' ') + 1));
            response.body = message->second;
        }
    }
    ::close(fd);
    return response;
}

unsigned short freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

// Store

Store::Store()
    : m_server([this](const Request &request) { return handle(request); })
{
}

void Store::setDown(bool down)
{
    m_down = down;
    record(down ? "the store is down" : "the store is back");
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows[{table, key}] = {value, m_version};
    m_history.push_back({m_version, table, key, value, false});
    m_changed.notify_all();
}

void Store::erase(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows.erase({table, key});
    m_history.push_back({m_version, table, key, "", true});
    m_changed.notify_all();
}

std::optional<std::string> Store::get(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? std::nullopt : std::optional(found->second.value);
}

std::optional<Response> Store::handle(const Request &request)
{
    std::this_thread::sleep_for(Ms(2));
    if (m_down) {
        return Response{503, "{}"};
    }
    if (request.path == "/-/rows-tx") {
        return transact(Json::parse(request.body));
    }
    if (request.path == "/-/rows-get") {
        return read(request);
    }
    if (request.path == "/-/rows-feed") {
        return feed(request);
    }
    return Response{404, "{}"};
}

Response Store::transact(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    bool matches = true;
    Json current = Json::array();
    for (const Json &row : body.at("expect")) {
        const std::pair<std::string, std::string> key{row.at("table"), row.at("key")};
        const auto found = m_rows.find(key);
        const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
        matches = matches && version == row.at("ver").get<std::int64_t>();
        if (found != m_rows.end()) {
            current.push_back({{"table", key.first},
                               {"part", ""},
                               {"key", key.second},
                               {"value", base64Encode(found->second.value)},
                               {"ver", version}});
        }
    }
    if (!matches) {
        return {412, Json{{"rows", current}, {"ver", m_version}}.dump()};
    }
    ++m_version;
    for (const Json &row : body.at("upserts")) {
        const std::string table = row.at("table");
        const std::string key = row.at("key");
        const std::string value = base64Decode(row.at("value"));
        m_rows[{table, key}] = {value, m_version};
        m_history.push_back({m_version, table, key, value, false});
    }
    for (const Json &row : body.at("remove")) {
        const std::string table = row.at("table");
        const std::string key = row.at("key");
        if (m_rows.erase({table, key}) > 0) {
            m_history.push_back({m_version, table, key, "", true});
        }
    }
    m_changed.notify_all();
    return {200, Json{{"ver", m_version}, {"now_ms", static_cast<std::int64_t>(seconds() * 1000)}}.dump()};
}

Response Store::read(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto text = [&request](const char *name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    const std::string table = text("table");
    const std::string to = text("to");
    std::size_t limit = RowsPerPage;
    if (!text("limit").empty()) {
        limit = std::min<std::size_t>(limit, std::stoul(text("limit")));
    }
    Json rows = Json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, text("from")}); row != m_rows.end() && row->first.first == table;
         ++row) {
        if (!to.empty() && row->first.second >= to) {
            break;
        }
        if (rows.size() == limit) {
            more = true;
            break;
        }
        rows.push_back({{"table", table},
                        {"part", ""},
                        {"key", row->first.second},
                        {"value", base64Encode(row->second.value)},
                        {"ver", row->second.version}});
    }
    return {200, Json{{"rows", rows}, {"has_more", more}, {"ver", m_version}}.dump()};
}

Response Store::feed(const Request &request)
{
    const std::string table = request.query.at("table");
    const std::int64_t after = std::stoll(request.query.at("after"));
    const Ms wait(request.query.count("wait_ms") > 0 ? std::stoll(request.query.at("wait_ms")) : 0);
    const auto until = SteadyClock::now() + wait;
    std::unique_lock lock(m_mutex);
    while (true) {
        Json rows = Json::array();
        std::int64_t version = m_version;
        for (const Change &change : m_history) {
            if (change.version <= after || change.table != table) {
                continue;
            }
            if (rows.size() >= RowsPerPage && change.version != version) {
                break;
            }
            version = rows.size() + 1 >= RowsPerPage ? change.version : version;
            Json row = {{"table", table}, {"part", ""}, {"key", change.key}, {"ver", change.version}};
            if (change.deleted) {
                row["deleted"] = true;
            } else {
                row["value"] = base64Encode(change.value);
            }
            rows.push_back(row);
        }
        if (!rows.empty() || SteadyClock::now() >= until) {
            return {200, Json{{"rows", rows}, {"ver", version}}.dump()};
        }
        m_changed.wait_until(lock, until);
    }
}

// Runner

Runner::Runner(Store &store,
               std::string id,
               std::string service,
               std::string zone,
               std::string kind,
               std::string rack,
               Capacity capacity)
    : m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_kind(std::move(kind))
    , m_rack(std::move(rack))
    , m_capacity(capacity)
    , m_startedAt(SteadyClock::now())
    , m_born(unixMs())
    , m_server(std::make_unique<Server>([this](const Request &request) { return handle(request); }))
    , m_worker([this] { work(); })
{
}

Runner::~Runner()
{
    m_stopped = true;
    m_endsChanged.notify_all();
    m_worker.join();
    m_server->crash();
    // Threads of channels may still use the server.
    (void)m_server.release();
}

void Runner::goDark()
{
    const std::lock_guard lock(m_mutex);
    m_dark = true;
    m_silentSince = SteadyClock::now();
    m_runs.clear();
    m_endsChanged.notify_all();
    record("runner " + m_id + " loses power, for good");
}

void Runner::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        m_dark = true;
        m_silentSince = SteadyClock::now();
        m_runs.clear();
        m_endsChanged.notify_all();
        record("runner " + m_id + " crashes, for good");
    }
    m_server->crash();
}

void Runner::restartAs(const std::string &kind)
{
    constexpr Ms bootTime{200};
    const std::lock_guard lock(m_mutex);
    m_server->resetChannels();
    std::this_thread::sleep_for(bootTime);
    m_runs.clear();
    m_ended.clear();
    m_refusedThrough.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseUntil = 0;
    m_sequence = 0;
    m_startedAt = SteadyClock::now();
    m_born = unixMs();
    m_kind = kind;
    m_reportDue = true;
    m_endsChanged.notify_all();
    record("runner " + m_id + " was started again, now of kind " + kind);
}

std::vector<std::string> Runner::runningTasks()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> tasks;
    for (const auto &[key, run] : m_runs) {
        tasks.push_back(key.first);
    }
    return tasks;
}

std::vector<Start> Runner::starts()
{
    const std::lock_guard lock(startsMutex);
    return allStarts;
}

std::vector<std::string> Runner::endsAlone()
{
    const std::lock_guard lock(startsMutex);
    return allEndsAlone;
}

std::optional<double> Runner::lastSeenRunning(const std::string &task)
{
    const std::lock_guard lock(startsMutex);
    const auto found = seenRunning.find(task);
    return found == seenRunning.end() ? std::nullopt : std::optional(found->second);
}

std::int64_t Runner::clock() const
{
    return std::chrono::duration_cast<Ms>(SteadyClock::now() - m_startedAt).count() + 1000;
}

std::optional<Response> Runner::handle(const Request &request)
{
    std::unique_lock lock(m_mutex);
    if (m_dark) {
        return std::nullopt;
    }
    const auto expected = request.headers.find("corianderscale-expect-instance");
    if (expected != request.headers.end() && expected->second != m_id) {
        return Response{421, Json{{"clock_ms", clock()}}.dump()};
    }
    const Json body = Json::parse(request.body);
    const std::int64_t fence = body.value("fence", std::int64_t(0));
    if (fence < m_fence) {
        return Response{409, Json{{"clock_ms", clock()}, {"reason", "fence"}}.dump()};
    }
    m_fence = fence;
    if (request.path == "/-/run-start") {
        return start(body);
    }
    if (request.path == "/-/run-stop") {
        return stop(body);
    }
    if (request.path == "/-/hold") {
        Response response = hold(body, lock);
        return m_dark ? std::nullopt : std::optional(response);
    }
    return Response{404, "{}"};
}

void Runner::extendLease(std::int64_t until)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + HoldMaxMs));
}

Response Runner::start(const Json &body)
{
    const RunKey key{body.at("task"), body.at("run")};
    const std::int64_t deadline = body.at("deadline_ms");
    const auto refuse = [this](const char *reason) {
        return Response{409, Json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
    };
    if (m_runs.count(key) > 0) {
        return {200, Json{{"clock_ms", clock()}}.dump()};
    }
    if (deadline <= clock()) {
        return refuse("late");
    }
    extendLease(deadline);
    const auto refused = m_refusedThrough.find(key.first);
    if (refused != m_refusedThrough.end() && key.second <= refused->second) {
        return refuse("old");
    }
    if (ticketIsValid && !ticketIsValid(key.first.substr(0, key.first.rfind('.')), body.value("ticket", ""))) {
        return refuse("ticket");
    }
    Run run;
    run.spec = body.at("spec");
    run.startedAt = SteadyClock::now();
    run.behaviour = behaviourOf(run.spec);
    if (run.behaviour.gang > 0) {
        joinGang(key.first, key.second, run.behaviour);
    } else {
        run.endsAt = endOf(key.first, key.second, run.behaviour);
    }
    m_runs[key] = run;
    record("start   " + key.first + " run " + std::to_string(key.second) + " on " + m_id + ", spec \"" + run.spec
           + "\"");
    const std::lock_guard lock(startsMutex);
    allStarts.push_back({seconds(), m_id, key.first, key.second, run.spec, m_kind});
    seenRunning[key.first] = seconds();
    return {200, Json{{"clock_ms", clock()}}.dump()};
}

Response Runner::stop(const Json &body)
{
    const RunKey key{body.at("task"), body.at("run")};
    std::int64_t &refused = m_refusedThrough[key.first];
    refused = std::max(refused, key.second);
    const auto run = m_runs.find(key);
    if (run != m_runs.end() && !run->second.stopAt) {
        run->second.stopAt = SteadyClock::now() + StopTime;
    }
    return {200, Json{{"clock_ms", clock()}}.dump()};
}

Response Runner::hold(const Json &body, std::unique_lock<std::mutex> &lock)
{
    if (body.contains("deadline_ms")) {
        extendLease(body.at("deadline_ms"));
    }
    const std::int64_t seen = body.value("last_seen", std::int64_t(0));
    std::erase_if(m_ended, [seen](const Json &end) { return end.at(0).get<std::int64_t>() <= seen; });
    const auto until = SteadyClock::now() + Ms(std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000));
    while (m_ended.empty() && !m_dark && !m_stopped && SteadyClock::now() < until) {
        m_endsChanged.wait_until(lock, until);
    }
    Json running = Json::array();
    for (const auto &[key, run] : m_runs) {
        const auto ran = std::chrono::duration_cast<Ms>(SteadyClock::now() - run.startedAt);
        const std::int64_t percent
            = run.behaviour.lasts ? 100 : std::min<std::int64_t>(100, 100 * ran.count() / run.behaviour.work.count());
        running.push_back({key.first, key.second, "", percent, 0});
    }
    Json ended = Json::array();
    for (std::size_t i = 0; i < m_ended.size() && i < EndsPerAnswer; ++i) {
        ended.push_back(m_ended[i]);
    }
    return {200, Json{{"clock_ms", clock()}, {"born", m_born}, {"running", running}, {"ended", ended}}.dump()};
}

void Runner::end(const RunKey &key, const std::string &how)
{
    m_runs.erase(key);
    breakGang(key.first, key.second);
    std::int64_t &refused = m_refusedThrough[key.first];
    refused = std::max(refused, key.second);
    m_ended.push_back({++m_lastEnd, key.first, key.second, how, ""});
    record("end     " + key.first + " run " + std::to_string(key.second) + " on " + m_id + ": " + how);
    m_endsChanged.notify_all();
}

void Runner::work()
{
    auto nextReport = SteadyClock::now();
    while (!m_stopped) {
        std::this_thread::sleep_for(TickInterval);
        std::unique_lock lock(m_mutex);
        const auto now = SteadyClock::now();
        if (m_dark) {
            const bool lapsed = now - *m_silentSince > ReportInterval * MissedReports;
            if (lapsed && !m_unlisted) {
                m_unlisted = true;
                lock.unlock();
                m_store.erase("servers", m_id);
                record("entry of runner " + m_id + " is removed from the store");
            }
            continue;
        }
        std::vector<std::pair<RunKey, std::string>> ends;
        for (const auto &[key, run] : m_runs) {
            if (clock() > m_leaseUntil) {
                ends.emplace_back(key, "lapsed");
            } else if (run.stopAt && now >= *run.stopAt) {
                ends.emplace_back(key, "stopped");
            } else if (run.behaviour.gang > 0) {
                if (const std::string how = endOfMember(key.first, key.second, run.startedAt); !how.empty()) {
                    ends.emplace_back(key, how);
                }
            } else if (run.endsAt && now >= *run.endsAt) {
                ends.emplace_back(key, run.behaviour.how);
            }
        }
        for (const auto &[key, how] : ends) {
            end(key, how);
        }
        {
            const std::lock_guard startsLock(startsMutex);
            for (const auto &[key, run] : m_runs) {
                seenRunning[key.first] = seconds();
            }
        }
        if ((now >= nextReport || m_reportDue) && !m_store.isDown()) {
            nextReport = now + ReportInterval;
            m_reportDue = false;
            lock.unlock();
            report();
        }
    }
}

void Runner::report()
{
    const Json body = {{"service", m_service},
                       {"addr", m_server->address()},
                       {"zone", m_zone},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"capacity", {{"cpu", m_capacity.cpu}, {"mem_mb", m_capacity.memory}, {"gpu", m_capacity.gpu}}},
                       {"labels", {m_kind, m_rack}},
                       {"clock_ms", clock()},
                       {"born", m_born},
                       {"seq", ++m_sequence}};
    m_store.put("servers", m_id, body.dump());
}

// Node

Node::Node(const std::string &program,
           const std::string &directory,
           const std::string &name,
           const std::string &zone,
           const std::string &store,
           const std::string &advice)
    : m_program(program)
    , m_directory(directory)
    , m_name(name)
    , m_front("127.0.0.1:" + std::to_string(freePort()))
    , m_ready("127.0.0.1:" + std::to_string(freePort()))
{
    // The lines of platform/settings.yaml.template, filled in as for a small deployment.
    std::ofstream settings(m_directory + "/" + m_name + ".yaml");
    settings << "instance: \"" << name << "\"\ndata_centre: \"" << zone << "\"\ncaller_listen: \"" << m_front
             << "\"\nreadiness_listen: \"" << m_ready << "\"\nmetrics_listen: \"127.0.0.1:" << freePort()
             << "\"\nrelay_listen: \"127.0.0.1:" << freePort() << "\"\nstore: \"" << store << "\"\n";
    if (!advice.empty()) {
        settings << "advisor: \"" << advice << "\"\n";
    }
    settings << "processor_share: 0.25\ndescriptors: 4100\nmemory_mb: 260\nlongest_lease_ms: 10000\n"
             << "state_keep_s: 120\ngrace_s: 6\n";
}

namespace {
std::array<std::atomic<pid_t>, 16> startedNodes{};
}

void Node::killAll()
{
    for (const std::atomic<pid_t> &pid : startedNodes) {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
}

Node::~Node()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        for (std::atomic<pid_t> &pid : startedNodes) {
            pid_t expected = m_pid;
            pid.compare_exchange_strong(expected, 0);
        }
    }
}

void Node::start()
{
    const std::string log = m_directory + "/" + m_name + ".log";
    const std::string settings = m_directory + "/" + m_name + ".yaml";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = m_program;
    std::string option = "--settings";
    std::string value = settings;
    char *arguments[] = {program.data(), option.data(), value.data(), nullptr};
    const int result = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        m_pid = 0;
        throw std::runtime_error("cannot start " + program);
    }
    for (std::atomic<pid_t> &pid : startedNodes) {
        pid_t expected = 0;
        if (pid.compare_exchange_strong(expected, m_pid)) {
            break;
        }
    }
    record("node " + m_name + " started");
}

void Node::signal(int number)
{
    ::kill(m_pid, number);
}

bool Node::isReady() const
{
    return call(m_ready, "GET", "/-/ready", {{"Host", "ready"}}, "", Ms(1000)).status == 200;
}

// Base 64

namespace {
constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string base64Encode(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= count ? Digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

std::string base64Decode(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char *digit = std::strchr(Digits, c);
        if (c == '=' || c == '\0' || digit == nullptr) {
            continue;
        }
        group = group << 6 | static_cast<std::uint32_t>(digit - Digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

} // namespace standin
