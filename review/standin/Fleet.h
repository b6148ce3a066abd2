#pragma once

#include "corianderscale/Transport/AsyncHttpClient.h"

#include <fstream>
#include <optional>
#include <set>
#include <sys/types.h>

#include "Runner.h"
#include "Store.h"

namespace review {

/** A step of a job, with what the page lets a requester say and how its tasks behave. */
struct StepPlan {
    std::size_t count = 1;
    Amounts need{1000, 1000, 1};
    std::int64_t estimateMs = 1000;
    std::int64_t workMs = 1000;
    bool lasting = false;
    bool gang = false;
    bool sameRack = false;
    std::string dataRack;
    std::string label;
    std::size_t mostPerRunner = 0;
    std::int64_t failingRuns = 0;
    std::vector<std::size_t> after;
};

struct JobPlan {
    std::string id;
    std::string route;
    /** Number of the tenant whose key the requester sends. */
    std::size_t tenant = 0;
    std::vector<StepPlan> steps;
    std::size_t times = 0;
    std::int64_t firstInMs = 0;
    std::int64_t intervalMs = 0;
};

/** What a requester knows of a job, and what the runners did for it. */
struct JobView {
    JobPlan plan;
    std::string spec;
    std::size_t starts = 0;
    std::size_t failedRuns = 0;
    std::set<std::string> doneTasks;
    std::set<std::string> runningTasks;
    double lastStartAt = -1;
    std::map<std::string, std::size_t> startsByRunner;
};

struct Answer {
    /** 0 if there was no answer. */
    int status = 0;
    Json body;
};

/** One small deployment: nodes as processes, and stand-ins of the store, the runners, the operator and requesters. */
class Fleet
{
public:
    Fleet(std::string folder, bool trouble);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** @name Set-up, before run() */
    ///@{
    void addRunners(std::size_t count, const std::string &rack, const std::string &kind, std::int64_t gpus = 8);
    void addRoute(const std::string &name, int priority, int maximumAttempts);
    void startNodes(std::size_t count);
    ///@}

    /** Calls @p next at a time in seconds, counted from when all nodes were ready. */
    void at(double seconds, std::function<void()> next);
    /** Runs until finish() is called; returns the exit status of the case. */
    int run();
    void finish(int status);

    bool trouble() const;
    double seconds() const;
    void record(const std::string &line);

    void writeConfiguration();
    void dropRoute(const std::string &name);
    void restoreRoute(const std::string &name);

    using Answered = std::function<void(const Answer &)>;
    void submit(const JobPlan &plan, const Answered &answered, int node = -1, int deadlineMs = 3000);
    void cancel(const std::string &id, const Answered &answered, int node = -1);
    void show(const std::string &id, const Answered &answered, int node = -1);
    void countWaiting(const std::string &route, const Answered &answered, int node = -1);

    JobView &job(const std::string &id);
    Store &store();
    Runner &runner(std::size_t index);
    std::size_t runnerCount() const;
    /** Takes the runner away for good, after it said that it drains. */
    void drainAndLeave(std::size_t index);
    void crashRunner(std::size_t index);
    void restartRunner(std::size_t index, double registersAfter);
    /** Amounts that nothing uses on a runner. */
    Amounts freeOn(std::size_t index);

    /** Called for what the runners see. */
    std::function<void(const RunnerEvent &)> onEvent;

private:
    struct Node {
        std::string name;
        std::string zone;
        std::string front;
        std::string ready;
        std::string settingsFile;
        pid_t pid = -1;
        bool isReady = false;
    };
    struct Route {
        std::string name;
        std::string host;
        std::string prefix;
        int priority = 1;
        int maximumAttempts = 2;
        bool dropped = false;
    };

    void spawn(Node &node);
    void checkReady();
    void tick();
    void advanceTasks(double elapsedMs);
    bool isGangComplete(const std::string &task, const RunState &run, std::set<std::string> &racks);
    void endGang(const std::string &task, std::int64_t run, const std::string &how);
    void registerRunner(std::size_t index);
    TaskBehaviour behaviourOf(const std::string &task);
    void runnerEvent(const RunnerEvent &event);
    void call(const std::string &method,
              const Route &route,
              const std::string &rest,
              const std::string &body,
              std::size_t tenant,
              const Answered &answered,
              int node,
              int deadlineMs);
    const Route &route(const std::string &name) const;
    void every(int milliseconds, std::function<void()> next);

    boost::asio::io_context m_loop{1};
    std::string m_folder;
    bool m_trouble = false;
    std::ofstream m_record;
    Store m_store;
    coriander::AsyncHttpClient m_client;
    std::string m_storeAddress;
    std::vector<Node> m_nodes;
    std::vector<Route> m_routes;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::set<std::size_t> m_unregistered;
    std::map<std::string, JobView> m_jobs;
    std::vector<std::pair<double, std::function<void()>>> m_schedule;
    std::vector<std::function<void()>> m_cleanUps;
    std::int64_t m_configurationVersion = 6;
    std::size_t m_nextNode = 0;
    std::chrono::steady_clock::time_point m_createdAt;
    std::chrono::steady_clock::time_point m_lastTickAt;
    std::optional<std::chrono::steady_clock::time_point> m_readyAt;
    std::optional<int> m_status;
};

} // namespace review
