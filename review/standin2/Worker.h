#pragma once

#include <optional>
#include <set>

#include "Record.h"
#include "Store.h"

namespace review {

struct Size {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

struct WorkerSettings {
    std::string id;
    std::string kind;
    std::string rack;
    std::string zone;
    std::string service;
    Size capacity;
};

/** A run that a worker began, for the checks. */
struct RunSpan {
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    double beganAt = 0;
    /** No value while it runs. */
    std::optional<double> endedAt;
    std::string how;
};

/**
 * A worker as the pages say: leases on its own clock, fences, numbered ends. The text of a job says what its tasks do:
 * "last" for tasks that last, else the time of the work in milliseconds.
 */
class Worker
{
public:
    Worker(WorkerSettings settings, Store &store, Record &record);

    /** Listens, registers in discovery and reports there from then on. */
    void start();

    /** Announces that the worker leaves; it leaves after @p remaining, and all that it runs ends then. */
    void drain(std::chrono::milliseconds remaining);

    /** While set, orders get no answer and are not carried out. */
    void setMute(bool mute);

    std::vector<RunSpan> runs();
    const WorkerSettings &settings() const;

private:
    struct Run {
        std::int64_t number = 0;
        bool lasts = false;
        std::int64_t beganAtMs = 0;
        std::int64_t workMs = 0;
        std::size_t span = 0;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    Response handle(const Request &request);
    Response startRun(const Json &order);
    Response stopRun(const Json &order);
    Response hold(const Json &order, std::unique_lock<std::mutex> &lock);
    Response answer(int status, const std::string &reason = {}) const;
    void tick();
    void report();
    void end(const std::string &task, const std::string &how);
    void extendLease(const Json &order);
    std::int64_t clockMs() const;

    WorkerSettings m_settings;
    Store &m_store;
    Record &m_record;
    unsigned short m_port = 0;
    SteadyClock::time_point m_bootAt;
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::map<std::string, Run> m_running;
    std::vector<End> m_ends;
    std::map<std::string, std::int64_t> m_refusedThrough;
    std::vector<RunSpan> m_spans;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::int64_t m_sequence = 0;
    std::optional<SteadyClock::time_point> m_leavesAt;
    bool m_left = false;
    bool m_mute = false;
};

} // namespace review
