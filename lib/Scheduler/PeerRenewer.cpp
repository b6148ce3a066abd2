#include "corianderscale/Scheduler/PeerRenewer.h"

#include "corianderscale/Scheduler/TaskIds.h"

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
        m_workers.clear();
        m_phase = Phase::Waiting;
    }
}

std::vector<WorkerRequest> PeerRenewer::takeRequests(bool mayRenew, Instant at)
{
    const bool noRecentOffer = m_offeredAt + m_timing.renewalInterval <= at.now;
    if (!mayRenew || !m_snapshot || !noRecentOffer) {
        m_active = false;
        m_phase = Phase::Waiting;
        m_nextRound = at.now;
        return {};
    }
    m_active = true;
    if (m_phase == Phase::Waiting && m_nextRound <= at.now) {
        m_nextRound = at.now + m_timing.renewalInterval;
        m_phase = Phase::Querying;
        m_queryDeadline = at.now + m_timing.requestTimeout;
        return queryWorkers(at);
    }
    if (m_phase == Phase::Querying && (allAnswered() || m_queryDeadline <= at.now)) {
        m_phase = Phase::Waiting;
        return renewLeases(at);
    }
    return {};
}

std::vector<WorkerRequest> PeerRenewer::queryWorkers(Instant at)
{
    std::vector<WorkerRequest> requests;
    for (const SnapshotWorker &worker : m_snapshot->workers) {
        WorkerStatus &status = m_workers[worker.info.id];
        status.hasAnswered = false;
        std::set<JobId> exceptedJobs;
        for (const TaskId &task : status.activeTasks) {
            exceptedJobs.insert(parseTaskId(task)->job);
        }
        // The first query carries no renewal order, so that the worker answers with a full report.
        WorkerRequest request = makeRequest(worker, exceptedJobs, at);
        if (status.activeTasks.empty()) {
            request.orders.orders.clear();
        }
        status.request = request.id;
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<WorkerRequest> PeerRenewer::renewLeases(Instant at)
{
    std::map<WorkerId, std::set<JobId>> jobs;
    for (const SnapshotGang &gang : m_snapshot->gangs) {
        if (!isRenewable(gang)) {
            continue;
        }
        for (const WorkerId &worker : gang.workers) {
            jobs[worker].insert(gang.job);
        }
    }
    std::vector<WorkerRequest> requests;
    for (const SnapshotWorker &worker : m_snapshot->workers) {
        WorkerStatus &status = m_workers[worker.info.id];
        if (!status.hasAnswered || status.sawLaterEpoch || jobs[worker.info.id].empty()) {
            continue;
        }
        std::set<JobId> exceptedJobs;
        for (const TaskId &task : status.activeTasks) {
            const JobId job = parseTaskId(task)->job;
            if (!jobs[worker.info.id].contains(job)) {
                exceptedJobs.insert(job);
            }
        }
        WorkerRequest request = makeRequest(worker, exceptedJobs, at);
        status.request = request.id;
        requests.push_back(std::move(request));
    }
    return requests;
}

WorkerRequest PeerRenewer::makeRequest(const SnapshotWorker &worker, const std::set<JobId> &excepted, Instant at)
{
    const WorkerStatus &status = m_workers[worker.info.id];
    WorkerOrder order;
    order.kind = OrderKind::Renew;
    order.milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_timing.leaseTerm).count();
    order.startByUnixMs = toUnixMs(at.wallNow + m_timing.requestTimeout);
    order.digest = taskSetDigest({status.activeTasks.begin(), status.activeTasks.end()});
    order.excepted.assign(excepted.begin(), excepted.end());
    WorkerRequest request;
    request.id = m_nextRequest++;
    request.worker = worker.info.id;
    request.address = worker.address;
    // The report address is empty, so that the worker keeps the owner's.
    request.orders = {m_snapshot->epoch, m_self, {}, {std::move(order)}};
    request.deadline = at.now + m_timing.requestTimeout;
    return request;
}

bool PeerRenewer::isRenewable(const SnapshotGang &gang) const
{
    for (std::size_t index = 0; index < gang.workers.size(); ++index) {
        const auto status = m_workers.find(gang.workers[index]);
        const TaskId task = taskIdOf(gang.job, gang.attempt, static_cast<std::int64_t>(index));
        if (status == m_workers.end() || !status->second.hasAnswered || status->second.sawLaterEpoch
            || !status->second.runningOrSucceededTasks.contains(task)) {
            return false;
        }
    }
    return true;
}

bool PeerRenewer::allAnswered() const
{
    return std::all_of(m_workers.begin(), m_workers.end(), [](const auto &item) { return item.second.request == 0; });
}

void PeerRenewer::handleAnswer(const WorkerId &worker, std::int64_t request, const std::optional<WorkerReport> &report)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.request != request) {
        return;
    }
    WorkerStatus &status = found->second;
    status.request = 0;
    status.hasAnswered = report.has_value();
    if (!report) {
        return;
    }
    status.sawLaterEpoch = m_snapshot && report->epoch > m_snapshot->epoch;
    if (!report->full) {
        return;
    }
    status.runningOrSucceededTasks.clear();
    status.activeTasks.clear();
    for (const TaskReport &task : report->tasks) {
        if (!parseTaskId(task.task)) {
            continue;
        }
        if (task.state == TaskState::Running || task.state == TaskState::Stopping) {
            status.activeTasks.insert(task.task);
        }
        if (task.state == TaskState::Running || task.state == TaskState::Succeeded) {
            status.runningOrSucceededTasks.insert(task.task);
        }
    }
}

} // namespace coriander
