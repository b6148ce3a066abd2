#include "corianderscale/Scheduler/PeerRenewer.h"

#include "corianderscale/Scheduler/TaskNames.h"

#include <algorithm>
#include <utility>

namespace coriander {

PeerRenewer::PeerRenewer(InstanceId self, const SchedulerTiming &timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

void PeerRenewer::offer(const Snapshot &snapshot, MonotonicTime now)
{
    const bool same = m_snapshot && m_snapshot->epoch == snapshot.epoch && m_snapshot->sequence == snapshot.sequence;
    if (m_snapshot && !same && !snapshot.isNewerThan(*m_snapshot)) {
        return;
    }
    m_offeredAt = now;
    if (!same) {
        m_snapshot = snapshot;
        m_peers.clear();
        m_phase = Phase::Waiting;
    }
}

std::vector<WorkerRequest> PeerRenewer::takeRequests(bool mayRenew, Instant at)
{
    const bool quiet = m_offeredAt + m_timing.renewalInterval <= at.now;
    if (!mayRenew || !m_snapshot || !quiet) {
        m_active = false;
        m_phase = Phase::Waiting;
        m_nextRound = at.now;
        return {};
    }
    m_active = true;
    if (m_phase == Phase::Waiting && m_nextRound <= at.now) {
        m_nextRound = at.now + m_timing.renewalInterval;
        m_phase = Phase::Asking;
        m_phaseUntil = at.now + m_timing.requestLimit;
        return ask(at);
    }
    if (m_phase == Phase::Asking && (allAnswered() || m_phaseUntil <= at.now)) {
        m_phase = Phase::Waiting;
        return renew(at);
    }
    return {};
}

std::vector<WorkerRequest> PeerRenewer::ask(Instant at)
{
    std::vector<WorkerRequest> requests;
    for (const SnapshotWorker &worker : m_snapshot->workers) {
        Peer &peer = m_peers[worker.info.id];
        peer.heard = false;
        std::set<JobId> here;
        for (const TaskId &task : peer.active) {
            here.insert(parseTaskId(task)->job);
        }
        // The first query carries no renewal order, so that the worker answers with a full report.
        WorkerRequest request = makeRequest(worker, here, at);
        if (peer.active.empty()) {
            request.orders.orders.clear();
        }
        peer.request = request.id;
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<WorkerRequest> PeerRenewer::renew(Instant at)
{
    std::map<WorkerId, std::set<JobId>> jobs;
    for (const SnapshotGang &gang : m_snapshot->gangs) {
        if (!isWhole(gang)) {
            continue;
        }
        for (const WorkerId &worker : gang.workers) {
            jobs[worker].insert(gang.job);
        }
    }
    std::vector<WorkerRequest> requests;
    for (const SnapshotWorker &worker : m_snapshot->workers) {
        Peer &peer = m_peers[worker.info.id];
        if (!peer.heard || peer.refused || jobs[worker.info.id].empty()) {
            continue;
        }
        std::set<JobId> here;
        for (const TaskId &task : peer.active) {
            const JobId job = parseTaskId(task)->job;
            if (!jobs[worker.info.id].contains(job)) {
                here.insert(job);
            }
        }
        WorkerRequest request = makeRequest(worker, here, at);
        peer.request = request.id;
        requests.push_back(std::move(request));
    }
    return requests;
}

WorkerRequest PeerRenewer::makeRequest(const SnapshotWorker &worker, const std::set<JobId> &excepted, Instant at)
{
    const Peer &peer = m_peers[worker.info.id];
    WorkerOrder order;
    order.kind = OrderKind::Renew;
    order.milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_timing.leaseTerm).count();
    order.startByUnixMs = toUnixMs(at.wallNow + m_timing.requestLimit);
    order.digest = taskSetDigest({peer.active.begin(), peer.active.end()});
    order.excepted.assign(excepted.begin(), excepted.end());
    WorkerRequest request;
    request.id = m_nextRequest++;
    request.worker = worker.info.id;
    request.address = worker.address;
    // The report address is empty, so that the worker keeps the owner's.
    request.orders = {m_snapshot->epoch, m_self, {}, {std::move(order)}};
    request.deadline = at.now + m_timing.requestLimit;
    return request;
}

bool PeerRenewer::isWhole(const SnapshotGang &gang) const
{
    for (std::size_t index = 0; index < gang.workers.size(); ++index) {
        const auto peer = m_peers.find(gang.workers[index]);
        const TaskId task = taskIdOf(gang.job, gang.attempt, static_cast<std::int64_t>(index));
        if (peer == m_peers.end() || !peer->second.heard || peer->second.refused
            || !peer->second.tasks.contains(task)) {
            return false;
        }
    }
    return true;
}

bool PeerRenewer::allAnswered() const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [](const auto &item) { return item.second.request == 0; });
}

void PeerRenewer::answered(const WorkerId &worker, std::int64_t request, const std::optional<WorkerReport> &report)
{
    const auto found = m_peers.find(worker);
    if (found == m_peers.end() || found->second.request != request) {
        return;
    }
    Peer &peer = found->second;
    peer.request = 0;
    peer.heard = report.has_value();
    if (!report) {
        return;
    }
    peer.refused = m_snapshot && report->epoch > m_snapshot->epoch;
    if (!report->full) {
        return;
    }
    peer.tasks.clear();
    peer.active.clear();
    for (const TaskReport &task : report->tasks) {
        if (!parseTaskId(task.task)) {
            continue;
        }
        if (task.state == TaskState::Running || task.state == TaskState::Stopping) {
            peer.active.insert(task.task);
        }
        if (task.state == TaskState::Running || task.state == TaskState::Succeeded) {
            peer.tasks.insert(task.task);
        }
    }
}

} // namespace coriander
