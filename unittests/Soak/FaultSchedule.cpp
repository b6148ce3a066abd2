#include "Soak/FaultSchedule.h"

#include <fmt/format.h>

#include <csignal>
#include <sys/wait.h>

#include "Soak/CallAfter.h"

namespace coriander::soak {

namespace {

using std::chrono::milliseconds;

/** Contract: time from SIGTERM to SIGKILL of a process that is told to stop. */
constexpr auto TerminationGrace = std::chrono::seconds(6);

} // namespace

FaultSchedule::FaultSchedule(boost::asio::io_context &loop,
                             SoakPlatform &platform,
                             std::vector<SoakNode> &nodes,
                             unsigned seed)
    : m_loop(loop)
    , m_platform(platform)
    , m_nodes(nodes)
    , m_random(seed)
    , m_evacuationRandom(seed + 1)
    , m_startedAt(platform.timeline.now())
{
}

void FaultSchedule::start()
{
    m_injecting = true;
    injectNext();
    injectEvacuations();
}

int FaultSchedule::drawInteger(int minimum, int maximum)
{
    return std::uniform_int_distribution<int>(minimum, maximum)(m_random);
}

SoakNode &FaultSchedule::drawNode()
{
    return m_nodes[static_cast<std::size_t>(drawInteger(0, static_cast<int>(m_nodes.size()) - 1))];
}

void FaultSchedule::recordFault(const std::string &description)
{
    const auto elapsedMs = std::chrono::duration_cast<milliseconds>(m_platform.timeline.now() - m_startedAt).count();
    m_history += fmt::format("{:6} ms {}\n", elapsedMs, description);
}

void FaultSchedule::injectNext()
{
    if (!m_injecting) {
        return;
    }
    switch (drawInteger(0, 3)) {
    case 0:
        injectProcessFault();
        break;
    case 1:
        injectLinkFault();
        break;
    case 2:
        injectStoreFault();
        break;
    default:
        injectWorkerFault();
        break;
    }
    callAfter(m_loop, milliseconds(drawInteger(50, 1200)), [this] { injectNext(); });
}

void FaultSchedule::injectProcessFault()
{
    SoakNode &node = drawNode();
    const std::string &name = node.process->name();
    switch (drawInteger(0, 5)) {
    case 0:
        recordFault("kill " + name);
        node.process->signal(SIGKILL);
        break;
    case 1:
        recordFault("terminate " + name);
        terminate(node);
        break;
    case 2:
        recordFault("send SIGHUP to " + name);
        node.process->signal(SIGHUP);
        break;
    case 3:
        recordFault("kill all nodes");
        for (SoakNode &each : m_nodes) {
            each.process->signal(SIGKILL);
        }
        break;
    default:
        freeze(node, milliseconds(drawInteger(300, 7000)));
        break;
    }
}

void FaultSchedule::freeze(SoakNode &node, Duration duration)
{
    recordFault(fmt::format(
        "freeze {} for {} ms", node.process->name(), std::chrono::duration_cast<milliseconds>(duration).count()));
    node.process->signal(SIGSTOP);
    callAfter(m_loop, duration, [&node] { node.process->signal(SIGCONT); });
}

void FaultSchedule::terminate(SoakNode &node)
{
    node.process->signal(SIGTERM);
    callAfter(m_loop, TerminationGrace, [&node] { node.process->signal(SIGKILL); });
}

void FaultSchedule::injectLinkFault()
{
    const int linkKind = drawInteger(0, 2);
    SoakNode &node = drawNode();
    const std::size_t workerIndex
        = static_cast<std::size_t>(drawInteger(0, static_cast<int>(m_platform.workerCount()) - 1));
    LoopbackProxy &link = linkKind == 0 ? *node.storeLink
        : linkKind == 1                 ? *node.callerLink
                                        : m_platform.workerLink(workerIndex);
    const std::string linkName = linkKind == 0 ? node.process->name() + " to the store"
        : linkKind == 1                        ? "callers to " + node.process->name()
                                               : "nodes to " + m_platform.workerId(workerIndex).value();
    LinkFaults faults;
    switch (drawInteger(0, 4)) {
    case 0:
        recordFault("reset: " + linkName);
        link.resetConnections();
        return;
    case 1:
        recordFault("silence open connections: " + linkName);
        link.silenceConnections();
        return;
    case 2:
        faults.delay = milliseconds(drawInteger(20, 600));
        break;
    case 3:
        faults.holdsResponses = true;
        break;
    default:
        faults.holdsRequests = true;
        faults.holdsResponses = true;
        break;
    }
    const milliseconds duration(drawInteger(300, 6000));
    recordFault(fmt::format("delay {} ms, requests held {}, responses held {}, for {} ms: {}",
                            std::chrono::duration_cast<milliseconds>(faults.delay).count(),
                            faults.holdsRequests,
                            faults.holdsResponses,
                            duration.count(),
                            linkName));
    link.setFaults(faults);
    callAfter(m_loop, duration, [&link] { link.setFaults({}); });
}

void FaultSchedule::injectStoreFault()
{
    const milliseconds duration(drawInteger(300, 5000));
    FakeRowStore &store = m_platform.store;
    switch (drawInteger(0, 4)) {
    case 0:
        recordFault(fmt::format("store unreachable for {} ms", duration.count()));
        store.isUnreachable = true;
        callAfter(m_loop, duration, [&store] { store.isUnreachable = false; });
        return;
    case 1:
        recordFault(fmt::format("store loses responses for {} ms", duration.count()));
        store.responseLossProbability = 0.3;
        callAfter(m_loop, duration, [&store] { store.responseLossProbability = 0; });
        return;
    case 2:
        recordFault(fmt::format("store applies changes late for {} ms", duration.count()));
        store.delayedProbability = 0.3;
        callAfter(m_loop, duration, [&store] { store.delayedProbability = 0; });
        return;
    case 3:
        recordFault("store drops its history");
        store.dropHistory();
        return;
    default:
        recordFault("change the configuration");
        m_platform.changeConfiguration();
        return;
    }
}

void FaultSchedule::injectWorkerFault()
{
    const std::size_t index = static_cast<std::size_t>(drawInteger(0, static_cast<int>(m_platform.workerCount()) - 1));
    const WorkerId id = m_platform.workerId(index);
    workflow::OrderFaults &faults = m_platform.workers.faults;
    const milliseconds duration(drawInteger(300, 5000));
    switch (drawInteger(0, 4)) {
    case 0:
        recordFault("restart " + id.value());
        m_platform.workers.restart(id);
        m_platform.workerLink(index).resetConnections();
        return;
    case 1:
        recordFault(fmt::format("workers lose responses to orders for {} ms", duration.count()));
        faults.responseLossProbability = 0.2;
        callAfter(m_loop, duration, [&faults] { faults.responseLossProbability = 0; });
        return;
    case 2:
        recordFault(fmt::format("workers execute orders late for {} ms", duration.count()));
        faults.delayedProbability = 0.1;
        callAfter(m_loop, duration, [&faults] { faults.delayedProbability = 0; });
        return;
    case 3:
        recordFault(fmt::format("{} drains for {} ms", id.value(), duration.count()));
        m_platform.workers.machines().at(id).report.draining = true;
        callAfter(m_loop, duration, [this, id] { m_platform.workers.machines().at(id).report.draining = false; });
        return;
    default:
        recordFault(fmt::format("{} is unreachable for {} ms", id.value(), duration.count()));
        m_platform.workers.machines().at(id).isCutOff = true;
        callAfter(m_loop, duration, [this, id] { m_platform.workers.machines().at(id).isCutOff = false; });
        return;
    }
}

void FaultSchedule::injectEvacuations()
{
    if (!m_injecting) {
        return;
    }
    const auto draw = [this](int minimum, int maximum) {
        return std::uniform_int_distribution<int>(minimum, maximum)(m_evacuationRandom);
    };
    const WorkerId worker = m_platform.workerId(static_cast<std::size_t>(draw(0, 1000)) % m_platform.workerCount());
    const DataCentreId dataCentre = m_platform.workers.machines().at(worker).report.dataCentre;
    const milliseconds duration(draw(300, 5000));
    recordFault(fmt::format("evacuate {} for {} ms", dataCentre.value(), duration.count()));
    m_platform.evacuate(dataCentre);
    callAfter(m_loop, duration, [this, dataCentre] { m_platform.endEvacuation(dataCentre); });
    callAfter(m_loop, milliseconds(draw(1000, 6000)), [this] { injectEvacuations(); });
}

void FaultSchedule::restartEndedProcesses()
{
    for (SoakNode &node : m_nodes) {
        if (node.startScheduled || node.process->isRunning()) {
            continue;
        }
        const std::optional<int> status = node.process->lastWaitStatus();
        if (!status) {
            startProcess(node);
            continue;
        }
        const bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
        EXPECT_TRUE(killed || (WIFEXITED(*status) && WEXITSTATUS(*status) == 0))
            << node.process->name() << " ended without being killed or exiting with status 0, wait status " << *status;
        node.startScheduled = true;
        callAfter(m_loop, milliseconds(m_injecting ? drawInteger(0, 2500) : 0), [this, &node] { startProcess(node); });
    }
}

void FaultSchedule::startProcess(SoakNode &node)
{
    recordFault("start " + node.process->name());
    node.startScheduled = false;
    node.process->start();
}

void FaultSchedule::endFaults()
{
    m_injecting = false;
    recordFault("end all faults");
    m_platform.store.isUnreachable = false;
    m_platform.store.responseLossProbability = 0;
    m_platform.store.delayedProbability = 0;
    m_platform.workers.faults = {};
    for (std::size_t i = 0; i < m_platform.workerCount(); ++i) {
        m_platform.workerLink(i).setFaults({});
        FakeWorkers::Machine &machine = m_platform.workers.machines().at(m_platform.workerId(i));
        machine.isCutOff = false;
        machine.report.draining = false;
        m_platform.endEvacuation(machine.report.dataCentre);
    }
    for (SoakNode &node : m_nodes) {
        node.storeLink->setFaults({});
        node.callerLink->setFaults({});
        node.process->signal(SIGCONT);
    }
}

const std::string &FaultSchedule::history() const
{
    return m_history;
}

} // namespace coriander::soak
