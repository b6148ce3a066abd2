#pragma once

#include <filesystem>
#include <memory>
#include <sys/types.h>

#include "Worker.h"

namespace review {

/** Memory of an edge machine, in MB; see the sites' sheets. */
inline constexpr int MemoryMb = 260;

/** A queue of the operator's configuration. */
struct Queue {
    std::string name;
    std::string prefix;
    int priority = 1;
};

/** One coriander-node process on a machine of its own. */
class Node
{
public:
    Node(std::string name, std::string zone, const std::string &store, std::filesystem::path folder, Record &record);

    void start();
    void kill(const std::string &why);
    /** Whether the process runs; collects its end otherwise. */
    bool runs();
    /** Memory in use, in MB; 0 while the process does not run. */
    int memoryMb() const;

    const std::string &name() const;
    const std::string &callers() const;
    const std::string &readiness() const;

private:
    std::string m_name;
    std::string m_callers;
    std::string m_readiness;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    Record &m_record;
    pid_t m_process = -1;
};

/** Exit codes of a test. */
enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/** A small deployment: a store, workers and nodes on loopback addresses; lives until the test finishes. */
class Deployment
{
public:
    /** @p record is the folder of record.txt. */
    explicit Deployment(const std::filesystem::path &record);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Worker &addWorker(WorkerSettings settings);
    void configure(const std::vector<Queue> &queues);
    /** Starts @p nodes processes and waits until each is ready. */
    bool startNodes(std::size_t nodes);

    /** Sends one call to the node and records it. */
    Response send(Node &node, const std::string &method, const std::string &path, const std::string &body = {});
    /** Hands a job in, at the next node after no answer, a 502, a 503 or a 504; returns whether it was accepted. */
    bool submit(const Queue &queue, const std::string &id, const Json &job);
    /** The state of a job by any node; empty if none tells it. */
    std::string state(const Queue &queue, const std::string &id);

    std::vector<RunSpan> runs() const;
    /** Runs of tasks whose name begins with @p prefix. */
    std::vector<RunSpan> runsOf(const std::string &prefix) const;
    bool isRunning(const std::string &task) const;

    /** Ends the nodes and the test. */
    [[noreturn]] void finish(Verdict verdict);

    std::vector<std::unique_ptr<Node>> &nodes();
    /** The node that last wrote to the store under a condition; null if it is not known. */
    Node *leader();
    Store &store();
    Record &record();

private:
    std::filesystem::path m_folder;
    Record m_record;
    Store m_store;
    std::string m_storeAddress;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::int64_t m_configuration = 0;
    std::size_t m_next = 0;
};

/** Whether the test is to bring the disruption about; false with TROUBLE=0. */
bool troubleWanted();

void sleepSeconds(double seconds);

} // namespace review
