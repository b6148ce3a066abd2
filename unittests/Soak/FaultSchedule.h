#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Soak/LoopbackProxy.h"
#include "Soak/NodeProcess.h"
#include "Soak/SoakPlatform.h"

namespace coriander::soak {

/** A node process, its link to the store and the link from the callers to it. */
struct SoakNode {
    std::unique_ptr<LoopbackProxy> storeLink;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<LoopbackProxy> callerLink;
    /** Whether the process is down and its next start is scheduled. */
    bool startScheduled = false;
};

/**
 * Injects random faults from a seed; several may be active at the same time. Processes receive signals, links are
 * disturbed by their proxies, and the fake store and workers have their own fault settings. Records each fault.
 */
class FaultSchedule
{
public:
    FaultSchedule(boost::asio::io_context &loop, SoakPlatform &platform, std::vector<SoakNode> &nodes, unsigned seed);

    /** Injects faults until endFaults(). */
    void start();
    /** Ends all faults; restartEndedProcesses() then restarts ended processes without a pause. */
    void endFaults();
    /** Restarts processes that have ended, after a random pause. Must be called several times a second. */
    void restartEndedProcesses();

    /** One line for each fault: time since the start in milliseconds and a description. */
    const std::string &history() const;

private:
    void injectNext();
    void injectProcessFault();
    void injectLinkFault();
    void injectStoreFault();
    void injectWorkerFault();
    /** Evacuates the data centre of a random worker for a while, again and again. */
    void injectEvacuations();
    void freeze(SoakNode &node, Duration duration);
    void terminate(SoakNode &node);
    void startProcess(SoakNode &node);
    void recordFault(const std::string &description);
    SoakNode &drawNode();
    int drawInteger(int minimum, int maximum);

    boost::asio::io_context &m_loop;
    SoakPlatform &m_platform;
    std::vector<SoakNode> &m_nodes;
    std::mt19937 m_random;
    /** Separate, so that evacuations do not change the other faults of a seed. */
    std::mt19937 m_evacuationRandom;
    MonotonicTime m_startedAt;
    bool m_injecting = false;
    std::string m_history;
};

} // namespace coriander::soak
