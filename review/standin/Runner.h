#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

struct Amounts {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t gpu = 0;
};

/** How a task behaves, known from the job that a requester submitted. */
struct TaskBehaviour {
    /** Work on a sound runner, in ms; negative if the task lasts until it is stopped. */
    std::int64_t workMs = 1000;
    /** Runs up to this number end as failed. */
    std::int64_t failingRuns = 0;
    /** Number of members if the task belongs to a gang, else 0. */
    std::size_t gang = 0;
    bool sameRack = false;
    std::string dataRack;
    std::string label;
    Amounts need;
    std::string spec;
};

/** What a runner sees and does, for the record and for the checks. */
struct RunnerEvent {
    std::string runner;
    /** start, refused, how a run ended, or that its end was taken note of. */
    std::string what;
    std::string task;
    std::int64_t run = 0;
};

/** One run on a runner. */
struct RunState {
    std::int64_t run = 0;
    double doneMs = 0;
    std::int64_t presentMs = 0;
    std::int64_t stopAtMs = -1;
    TaskBehaviour behaviour;
};

/**
 * Stand-in of one life after the other of a runner: takes orders as PROTOCOL.md says, and runs tasks under a lease.
 */
class Runner
{
public:
    struct Settings {
        std::string id;
        /** A loopback address. */
        std::string host;
        std::string service;
        std::string zone;
        std::vector<std::string> labels;
        Amounts capacity;
    };
    using BehaviourOf = std::function<TaskBehaviour(const std::string &task)>;
    using Report = std::function<void(const RunnerEvent &)>;

    Runner(boost::asio::io_context &loop, Settings settings, BehaviourOf behaviourOf, Report report);

    /** Starts a life of the runner. */
    void start();
    /** Ends the life at once: all channels break, and everything that runs ends. */
    void crash();
    bool isUp() const;

    void setDraining(bool draining);
    void setUnhealthy(bool unhealthy);
    void setLabels(std::vector<std::string> labels);

    const Settings &settings() const;
    const std::string &address() const;
    /** The row that the runner writes into the table of runners. */
    std::string registration();
    std::map<std::string, RunState> &runs();
    void endRun(const std::string &task, const std::string &how);
    std::int64_t clockMs() const;
    bool unhealthy() const;
    /** Ends the lease, when it is over, and stops that are due. */
    void tick();
    void answerHolds();

private:
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        /** Number of lapses of the lease when the run ended. */
        int lapses = 0;
    };
    struct Hold {
        coriander::AsyncHttpRespond respond;
        std::int64_t dueMs = 0;
    };

    void handle(const coriander::HttpRequest &request, const coriander::AsyncHttpRespond &respond);
    coriander::HttpResponse runStart(const Json &order);
    coriander::HttpResponse runStop(const Json &order);
    coriander::HttpResponse lists() const;
    coriander::HttpResponse refusal(const char *reason) const;
    void extendLease(const Json &order);
    /** Forgets the ends up to a number. */
    void takeNote(std::int64_t seen);

    boost::asio::io_context &m_loop;
    Settings m_settings;
    BehaviourOf m_behaviourOf;
    Report m_report;
    std::unique_ptr<coriander::AsyncHttpServer> m_server;
    std::string m_address;
    std::int64_t m_born = 0;
    std::int64_t m_startedSteadyMs = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_ends = 0;
    bool m_leaseOver = false;
    int m_lapses = 0;
    bool m_draining = false;
    bool m_unhealthy = false;
    std::map<std::string, RunState> m_runs;
    /** Highest run of each task that was stopped or ended here. */
    std::map<std::string, std::int64_t> m_over;
    std::vector<End> m_ended;
    std::vector<Hold> m_holds;
};

} // namespace review
