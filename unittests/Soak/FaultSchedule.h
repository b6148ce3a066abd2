#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Soak/LoopbackProxy.h"
#include "Soak/NodeProcess.h"
#include "Soak/SoakPlatform.h"

namespace coriander::soak {

/** A node with the links through which callers reach it and through which it reaches the store. */
struct SoakNode {
    std::unique_ptr<LoopbackProxy> storeLink;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<LoopbackProxy> callerLink;
    /** Whether the process is down and its next start is scheduled. */
    bool startScheduled = false;
};

/**
 * Injects faults drawn from a seed, several at a time: into processes by signals, into links by proxies, into store and
 * workers directly. Keeps a text of what was done.
 */
class FaultSchedule
{
public:
    FaultSchedule(boost::asio::io_context &loop, SoakPlatform &platform, std::vector<SoakNode> &nodes, unsigned seed);

    void start();
    /** Ends all faults; processes that are down start again. */
    void heal();
    /** Starts the processes that have ended, after a pause; call several times a second. */
    void superviseProcesses();

    /** One line for each fault: time and what was done. */
    const std::string &history() const;

private:
    void injectNext();
    void injectProcessFault();
    void injectLinkFault();
    void injectStoreFault();
    void injectWorkerFault();
    void freeze(SoakNode &node, Duration time);
    void terminate(SoakNode &node);
    void startNow(SoakNode &node);
    void note(const std::string &what);
    SoakNode &drawNode();
    int draw(int least, int most);

    boost::asio::io_context &m_loop;
    SoakPlatform &m_platform;
    std::vector<SoakNode> &m_nodes;
    std::mt19937 m_random;
    MonotonicTime m_startedAt;
    bool m_active = false;
    std::string m_history;
};

} // namespace coriander::soak
