#include "Soak/FaultSchedule.h"

#include <fmt/format.h>

#include <csignal>
#include <sys/wait.h>

#include "Soak/CallAfter.h"

namespace coriander::soak {

namespace {

using std::chrono::milliseconds;

/** Contract: time from SIGTERM to SIGKILL of a process that is told to stop. */
constexpr auto GraceTime = std::chrono::seconds(6);

} // namespace

FaultSchedule::FaultSchedule(boost::asio::io_context &loop,
                             SoakPlatform &platform,
                             std::vector<SoakNode> &nodes,
                             unsigned seed)
    : m_loop(loop)
    , m_platform(platform)
    , m_nodes(nodes)
    , m_random(seed)
    , m_startedAt(platform.timeline.now())
{
}

void FaultSchedule::start()
{
    m_active = true;
    injectNext();
}

int FaultSchedule::draw(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(m_random);
}

SoakNode &FaultSchedule::drawNode()
{
    return m_nodes[static_cast<std::size_t>(draw(0, static_cast<int>(m_nodes.size()) - 1))];
}

void FaultSchedule::note(const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(m_platform.timeline.now() - m_startedAt).count();
    m_history += fmt::format("{:6} ms {}\n", at, what);
}

void FaultSchedule::injectNext()
{
    if (!m_active) {
        return;
    }
    switch (draw(0, 3)) {
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
    callAfter(m_loop, milliseconds(draw(50, 1200)), [this] { injectNext(); });
}

void FaultSchedule::injectProcessFault()
{
    SoakNode &node = drawNode();
    const std::string &name = node.process->name();
    switch (draw(0, 5)) {
    case 0:
        note("kill " + name);
        node.process->signal(SIGKILL);
        break;
    case 1:
        note("terminate " + name);
        terminate(node);
        break;
    case 2:
        note("send SIGHUP to " + name);
        node.process->signal(SIGHUP);
        break;
    case 3:
        note("kill all nodes");
        for (SoakNode &each : m_nodes) {
            each.process->signal(SIGKILL);
        }
        break;
    default:
        freeze(node, milliseconds(draw(300, 7000)));
        break;
    }
}

void FaultSchedule::freeze(SoakNode &node, Duration time)
{
    note(fmt::format(
        "freeze {} for {} ms", node.process->name(), std::chrono::duration_cast<milliseconds>(time).count()));
    node.process->signal(SIGSTOP);
    callAfter(m_loop, time, [&node] { node.process->signal(SIGCONT); });
}

void FaultSchedule::terminate(SoakNode &node)
{
    node.process->signal(SIGTERM);
    callAfter(m_loop, GraceTime, [&node] { node.process->signal(SIGKILL); });
}

void FaultSchedule::injectLinkFault()
{
    const int place = draw(0, 2);
    SoakNode &node = drawNode();
    const std::size_t worker = static_cast<std::size_t>(draw(0, static_cast<int>(m_platform.workerCount()) - 1));
    LoopbackProxy &link = place == 0 ? *node.storeLink : place == 1 ? *node.callerLink : m_platform.workerLink(worker);
    const std::string name = place == 0 ? node.process->name() + " to the store"
        : place == 1                    ? "callers to " + node.process->name()
                                        : "nodes to " + m_platform.workerId(worker).value();
    LinkFaults faults;
    switch (draw(0, 4)) {
    case 0:
        note("reset: " + name);
        link.resetConnections();
        return;
    case 1:
        note("silence open connections: " + name);
        link.silenceConnections();
        return;
    case 2:
        faults.delay = milliseconds(draw(20, 600));
        break;
    case 3:
        faults.holdsResponses = true;
        break;
    default:
        faults.holdsRequests = true;
        faults.holdsResponses = true;
        break;
    }
    const milliseconds time(draw(300, 6000));
    note(fmt::format("delay {} ms, requests held {}, responses held {}, for {} ms: {}",
                     std::chrono::duration_cast<milliseconds>(faults.delay).count(),
                     faults.holdsRequests,
                     faults.holdsResponses,
                     time.count(),
                     name));
    link.setFaults(faults);
    callAfter(m_loop, time, [&link] { link.setFaults({}); });
}

void FaultSchedule::injectStoreFault()
{
    const milliseconds time(draw(300, 5000));
    FakeRowStore &store = m_platform.store;
    switch (draw(0, 4)) {
    case 0:
        note(fmt::format("store unreachable for {} ms", time.count()));
        store.away = true;
        callAfter(m_loop, time, [&store] { store.away = false; });
        return;
    case 1:
        note(fmt::format("store loses responses for {} ms", time.count()));
        store.answerLost = 0.3;
        callAfter(m_loop, time, [&store] { store.answerLost = 0; });
        return;
    case 2:
        note(fmt::format("store applies changes late for {} ms", time.count()));
        store.late = 0.3;
        callAfter(m_loop, time, [&store] { store.late = 0; });
        return;
    case 3:
        note("store drops its history");
        store.dropHistory();
        return;
    default:
        note("change the configuration");
        m_platform.changeConfiguration();
        return;
    }
}

void FaultSchedule::injectWorkerFault()
{
    const std::size_t index = static_cast<std::size_t>(draw(0, static_cast<int>(m_platform.workerCount()) - 1));
    const WorkerId id = m_platform.workerId(index);
    workflow::OrderFaults &faults = m_platform.workers.faults;
    const milliseconds time(draw(300, 5000));
    switch (draw(0, 4)) {
    case 0:
        note("restart " + id.value());
        m_platform.workers.restart(id);
        m_platform.workerLink(index).resetConnections();
        return;
    case 1:
        note(fmt::format("workers lose responses to orders for {} ms", time.count()));
        faults.answerLost = 0.2;
        callAfter(m_loop, time, [&faults] { faults.answerLost = 0; });
        return;
    case 2:
        note(fmt::format("workers execute orders late for {} ms", time.count()));
        faults.late = 0.1;
        callAfter(m_loop, time, [&faults] { faults.late = 0; });
        return;
    case 3:
        note(fmt::format("{} drains for {} ms", id.value(), time.count()));
        m_platform.workers.machines().at(id).report.draining = true;
        callAfter(m_loop, time, [this, id] { m_platform.workers.machines().at(id).report.draining = false; });
        return;
    default:
        note(fmt::format("{} is unreachable for {} ms", id.value(), time.count()));
        m_platform.workers.machines().at(id).cut = true;
        callAfter(m_loop, time, [this, id] { m_platform.workers.machines().at(id).cut = false; });
        return;
    }
}

void FaultSchedule::superviseProcesses()
{
    for (SoakNode &node : m_nodes) {
        if (node.startScheduled || node.process->running()) {
            continue;
        }
        const std::optional<int> status = node.process->lastStatus();
        if (!status) {
            startNow(node);
            continue;
        }
        const bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
        EXPECT_TRUE(killed || (WIFEXITED(*status) && WEXITSTATUS(*status) == 0))
            << node.process->name() << " ended without being killed or exiting with status 0, wait status " << *status;
        node.startScheduled = true;
        callAfter(m_loop, milliseconds(m_active ? draw(0, 2500) : 0), [this, &node] { startNow(node); });
    }
}

void FaultSchedule::startNow(SoakNode &node)
{
    note("start " + node.process->name());
    node.startScheduled = false;
    node.process->start();
}

void FaultSchedule::heal()
{
    m_active = false;
    note("end all faults");
    m_platform.store.away = false;
    m_platform.store.answerLost = 0;
    m_platform.store.late = 0;
    m_platform.workers.faults = {};
    for (std::size_t i = 0; i < m_platform.workerCount(); ++i) {
        m_platform.workerLink(i).setFaults({});
        FakeWorkers::Machine &machine = m_platform.workers.machines().at(m_platform.workerId(i));
        machine.cut = false;
        machine.report.draining = false;
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
