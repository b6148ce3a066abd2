#pragma once

// Stand-ins for the platform of the third review: the metadata store, runners, an advice service and requesters, in one
// process, on loopback addresses and the real clock. Names on the wire are those of the platform's pages.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/** Seconds since the start of the process. */
double seconds();
std::int64_t unixMs();

/** Writes a line with the time to the record, and to standard error. */
void record(const std::string &line);
void openRecord(const std::string &path);

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    int status = 200;
    std::string body = "{}";
};

/** Answers a request; no value leaves the channel open without an answer. */
using Handler = std::function<std::optional<Response>(const Request &)>;

/** HTTP/1.1 server with a thread for each channel. */
class Server
{
public:
    explicit Server(Handler handler);
    ~Server();
    unsigned short port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /** Refuses new channels and resets the open ones, as when the process of the server was killed. */
    void crash();
    /** Resets the open channels; new ones are taken. */
    void resetChannels();

private:
    void acceptAll();
    void serve(int fd);

    Handler m_handler;
    int m_listener = -1;
    unsigned short m_port = 0;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::set<int> m_open;
};

/** Sends one request on a channel of its own; status 0 if no answer came in time. */
Response call(const std::string &address,
              const std::string &method,
              const std::string &target,
              const std::map<std::string, std::string> &headers,
              const std::string &body,
              Ms limit);

unsigned short freePort();

/** The platform's store, as far as the system uses it: rows with versions, conditional transactions and feeds. */
class Store
{
public:
    Store();
    std::string address() const
    {
        return m_server.address();
    }
    /** While the store is down, all its calls are answered with 503, also those of the runners. */
    void setDown(bool down);
    bool isDown() const
    {
        return m_down;
    }
    /** Writes a row of the operator or of a runner. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void erase(const std::string &table, const std::string &key);
    std::optional<std::string> get(const std::string &table, const std::string &key);

private:
    struct Row {
        std::string value;
        std::int64_t version = 0;
    };
    struct Change {
        std::int64_t version = 0;
        std::string table;
        std::string key;
        std::string value;
        bool deleted = false;
    };
    std::optional<Response> handle(const Request &request);
    Response transact(const Json &body);
    Response read(const Request &request);
    Response feed(const Request &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Change> m_history;
    std::int64_t m_version = 0;
    std::atomic<bool> m_down = false;
    Server m_server;
};

/** A start that a runner has begun. */
struct Start {
    double at = 0;
    std::string runner;
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    /** Label of the runner's kind. */
    std::string kind;
};

struct Capacity {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t gpu = 0;
};

/**
 * How a task behaves, told by its spec: `work=MS` ends `done` after that time, `lasts` goes on until it is stopped.
 * With `lasts end=MS again=MS tasks=N how=HOW` all tasks end once, MS after the first start of their job; from then on
 * the first N tasks of the step end again and again, each as long after its start as `again` says, and the others
 * never.
 */
struct Behaviour {
    bool lasts = false;
    Ms work{1000};
    Ms endsAfter{0};
    Ms endsAgainAfter{0};
    long tasksThatEndAgain = 0;
    std::string how = "done";
    long gang = 0;
};

/** One life of a runner; follows the page "Running tasks". */
class Runner
{
public:
    Runner(Store &store,
           std::string id,
           std::string service,
           std::string zone,
           std::string kind,
           std::string rack,
           Capacity capacity);
    ~Runner();
    const std::string &id() const
    {
        return m_id;
    }
    /** The machine loses power: orders and reports are not answered or sent from now on, and its runs are gone. */
    void goDark();
    /** The process is killed: its port refuses channels, and its runs are gone. */
    void crash();
    /** The process starts again under its id and at its address, as a runner of another kind; it knows nothing of
     * before.
     */
    void restartAs(const std::string &kind);
    std::vector<std::string> runningTasks();

    /** The tasks and runs that ended `alone`. */
    static std::vector<std::string> endsAlone();
    /** All starts that any runner has begun. */
    static std::vector<Start> starts();
    /** When a run of the task was last in progress on a runner that is up; no value before its first start. */
    static std::optional<double> lastSeenRunning(const std::string &task);
    /** If set, a start needs a ticket for which this returns true. */
    std::function<bool(const std::string &step, const std::string &ticket)> ticketIsValid;

private:
    struct Run {
        std::string spec;
        SteadyClock::time_point startedAt;
        Behaviour behaviour;
        std::optional<SteadyClock::time_point> stopAt;
        /** When the run ends by itself. */
        std::optional<SteadyClock::time_point> endsAt;
    };
    using RunKey = std::pair<std::string, std::int64_t>;

    std::optional<Response> handle(const Request &request);
    Response start(const Json &body);
    Response stop(const Json &body);
    Response hold(const Json &body, std::unique_lock<std::mutex> &lock);
    std::int64_t clock() const;
    void end(const RunKey &key, const std::string &how);
    void extendLease(std::int64_t until);
    void work();
    void report();

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_kind;
    std::string m_rack;
    Capacity m_capacity;
    SteadyClock::time_point m_startedAt;
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_endsChanged;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<RunKey, Run> m_runs;
    std::vector<Json> m_ended;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, std::int64_t> m_refusedThrough;
    std::int64_t m_sequence = 0;
    bool m_dark = false;
    std::optional<SteadyClock::time_point> m_silentSince;
    bool m_unlisted = false;
    std::atomic<bool> m_reportDue = false;
    std::atomic<bool> m_stopped = false;
    std::unique_ptr<Server> m_server;
    std::thread m_worker;
};

/** A process of the system, started with the command of the deploy file. */
class Node
{
public:
    Node(const std::string &program,
         const std::string &directory,
         const std::string &name,
         const std::string &zone,
         const std::string &store,
         const std::string &advice);
    ~Node();
    void start();
    void signal(int number);
    const std::string &front() const
    {
        return m_front;
    }
    const std::string &name() const
    {
        return m_name;
    }
    bool isReady() const;
    /** Kills the processes that were started and not ended; may be called from a signal handler. */
    static void killAll();

private:
    std::string m_program;
    std::string m_directory;
    std::string m_name;
    std::string m_front;
    std::string m_ready;
    pid_t m_pid = 0;
};

std::string base64Encode(const std::string &bytes);
std::string base64Decode(const std::string &text);

} // namespace standin
