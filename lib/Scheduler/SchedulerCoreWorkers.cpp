#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskIds.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

bool isActive(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Stopping;
}

} // namespace

void SchedulerCore::workerSeen(const WorkerInfo &info, const std::string &address, Instant at)
{
    WorkerEntry &worker = m_workers[info.id];
    const bool isNew = worker.address.empty();
    const bool startsDraining = worker.info.state == "live" && info.state != "live";
    if (!isNew && worker.info.incarnation != info.incarnation) {
        handleRestart(worker, info.incarnation, at);
    }
    worker.info = info;
    worker.address = address;
    worker.unlisted = false;
    if (isNew) {
        worker.lastAnswer = at.now;
        worker.nextContact = at.now;
    }
    if (m_phase != Phase::Active) {
        return;
    }
    if (!worker.joined && !worker.lost) {
        join(worker);
    } else if (startsDraining) {
        log("worker-draining", {}, 0, info.id, "");
        queueEvent(decision::WorkerDraining{info.id});
    }
    processEvents(at);
}

void SchedulerCore::workerUnlisted(const WorkerId &worker)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end()) {
        found->second.unlisted = true;
    }
}

void SchedulerCore::join(WorkerEntry &worker)
{
    worker.joined = true;
    worker.lost = false;
    const WorkerInfo &info = worker.info;
    log("worker-joined", {}, 0, info.id, info.incarnation.value());
    queueEvent(
        decision::WorkerJoined{{info.id, info.rack, info.position, {info.cores, info.memory, info.accelerators}}});
    if (info.state != "live") {
        queueEvent(decision::WorkerDraining{info.id});
    }
}

void SchedulerCore::markLost(WorkerEntry &worker, Instant at)
{
    worker.lost = true;
    worker.joined = false;
    log("worker-lost", {}, 0, worker.info.id, "no answer within lost_after_ms");
    queueEvent(decision::WorkerLost{worker.info.id});
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        m_gangs.at(key).run.workerLost(worker.info.id, at.now);
        advanceGang(key, at);
    }
}

void SchedulerCore::handleRestart(WorkerEntry &worker, const InstanceId &incarnation, Instant at)
{
    worker.info.incarnation = incarnation;
    worker.tasksToRelease.clear();
    worker.unknownTasks.clear();
    worker.throttles.clear();
    worker.tasksToCheckpoint.clear();
    worker.takeoverReport.reset();
    m_ledger.closeOtherIncarnations(worker.info.id, incarnation);
    if (m_phase != Phase::Active) {
        return;
    }
    log("worker-restarted", {}, 0, worker.info.id, incarnation.value());
    if (worker.joined) {
        queueEvent(decision::WorkerLost{worker.info.id});
        join(worker);
    }
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        m_gangs.at(key).run.workerRestarted(worker.info.id);
        advanceGang(key, at);
    }
}

void SchedulerCore::expireWorkers(Instant at)
{
    std::vector<WorkerId> dropped;
    for (auto &[id, worker] : m_workers) {
        const bool timedOut = worker.lastAnswer + m_settings.timing.workerLostTimeout <= at.now;
        if (timedOut && !worker.lost && worker.joined) {
            markLost(worker, at);
        }
        worker.mayHaveOrders = worker.mayHaveOrders || (!worker.lost && !worker.unknownTasks.empty());
        if (timedOut && worker.unlisted && worker.gangs.empty() && !worker.pending) {
            dropped.push_back(id);
        }
    }
    for (const WorkerId &id : dropped) {
        m_workers.erase(id);
    }
}

std::vector<WorkerRequest> SchedulerCore::takeRequests(Instant at)
{
    std::vector<WorkerRequest> requests;
    if (m_phase == Phase::Idle) {
        return requests;
    }
    for (auto &[id, worker] : m_workers) {
        if (worker.pending || worker.address.empty()) {
            continue;
        }
        PendingRequest pending;
        std::vector<WorkerOrder> orders;
        if (m_phase == Phase::QueryingWorkers) {
            if (worker.takeoverReport || worker.nextContact > at.now) {
                continue;
            }
        } else {
            orders = collectOrders(worker, pending, at);
            if (orders.empty()) {
                continue;
            }
        }
        pending.id = m_nextRequest++;
        WorkerRequest request{pending.id, id, worker.address, {}, at.now + m_settings.timing.requestTimeout};
        request.orders = {m_epoch, m_settings.instance, m_settings.reportTo, std::move(orders)};
        worker.pending = std::move(pending);
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<WorkerOrder> SchedulerCore::collectOrders(WorkerEntry &worker, PendingRequest &request, Instant at)
{
    std::vector<WorkerOrder> orders;
    if (worker.mayHaveOrders) {
        worker.mayHaveOrders = false;
        for (const GangKey &key : worker.gangs) {
            Gang &gang = m_gangs.at(key);
            std::vector<std::pair<WorkerOrder, std::size_t>> due;
            gang.run.collectDueOrders(worker.info.id, at.now, at.wallNow, due);
            for (auto &[order, member] : due) {
                if (order.kind == OrderKind::Start) {
                    const JobRecord &record = m_jobs.find(key.first)->record;
                    m_ledger.openTask(order.task,
                                      worker.info.id,
                                      worker.info.incarnation,
                                      {record.organisation, record.caller},
                                      gang.run.plan().guaranteed,
                                      at.wallNow);
                }
                request.orders.push_back({order.kind, order.task, key, member});
                orders.push_back(std::move(order));
            }
        }
        addTaskOrders(worker, request, orders, at);
    }
    if (worker.nextContact <= at.now) {
        addTaskOrders(worker, request, orders, at);
        request.orders.push_back({OrderKind::Renew, {}, {}, 0});
        orders.push_back(makeRenewal(worker, at));
        worker.nextContact = at.now + m_settings.timing.renewalInterval;
    }
    return orders;
}

void SchedulerCore::addTaskOrders(WorkerEntry &worker,
                                  PendingRequest &request,
                                  std::vector<WorkerOrder> &orders,
                                  Instant at)
{
    const auto add = [&](OrderKind kind, const TaskId &task) -> WorkerOrder & {
        WorkerOrder order;
        order.kind = kind;
        order.task = task;
        if (const auto parts = parseTaskId(task)) {
            order.job = parts->job;
        }
        request.orders.push_back({kind, task, {}, 0});
        orders.push_back(std::move(order));
        return orders.back();
    };
    const auto contains = [&](const TaskId &task) {
        return std::any_of(request.orders.begin(), request.orders.end(), [&task](const OrderReference &order) {
            return order.task == task;
        });
    };
    for (auto &[task, nextSend] : worker.unknownTasks) {
        if (nextSend <= at.now) {
            nextSend = at.now + m_settings.timing.resendInterval;
            add(OrderKind::Stop, task).milliseconds = 0;
        }
    }
    for (const TaskId &task : worker.tasksToRelease) {
        if (!contains(task)) {
            add(OrderKind::Release, task);
        }
    }
    for (const TaskId &task : std::exchange(worker.tasksToCheckpoint, {})) {
        add(OrderKind::Checkpoint, task);
    }
    for (const auto &[task, cores] : std::exchange(worker.throttles, {})) {
        add(OrderKind::Throttle, task).cores = cores;
    }
}

WorkerOrder SchedulerCore::makeRenewal(const WorkerEntry &worker, Instant at)
{
    WorkerOrder order;
    order.kind = OrderKind::Renew;
    order.milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.timing.leaseTerm).count();
    order.startByUnixMs = toUnixMs(at.wallNow + m_settings.timing.requestTimeout);
    std::vector<TaskId> tasks;
    std::set<JobId> excepted;
    for (const GangKey &key : worker.gangs) {
        Gang &gang = m_gangs.at(key);
        for (const GangMember &member : gang.run.members()) {
            if (member.worker == worker.info.id && member.state == GangMemberState::Running) {
                tasks.push_back(member.task);
            }
        }
        if (mayRenew(gang.run)) {
            gang.run.renewalSent(worker.info.id, at.now);
        } else {
            excepted.insert(key.first);
        }
    }
    for (const auto &[task, nextSend] : worker.unknownTasks) {
        if (const auto parts = parseTaskId(task)) {
            excepted.insert(parts->job);
        }
    }
    order.digest = taskSetDigest(std::move(tasks));
    order.excepted.assign(excepted.begin(), excepted.end());
    return order;
}

bool SchedulerCore::mayRenew(const GangRun &run) const
{
    // Leases are renewed for all members or for none: while one member may have ended, the others must not run on
    // beyond their leases.
    return run.isRenewable()
        && std::none_of(run.members().begin(), run.members().end(), [this](const GangMember &member) {
               const auto worker = m_workers.find(member.worker);
               return member.state == GangMemberState::Running && worker != m_workers.end()
                   && worker->second.lastRequestUnanswered;
           });
}

void SchedulerCore::handleRecovery(WorkerEntry &worker, Instant at)
{
    worker.lastRequestUnanswered = false;
    for (const GangKey &key : worker.gangs) {
        for (const GangMember &member : m_gangs.at(key).run.members()) {
            findOrAddWorker(member.worker).nextContact = at.now;
        }
    }
}

void SchedulerCore::workerAnswered(
    const WorkerId &id, std::int64_t request, const std::optional<WorkerReport> &report, bool notSent, Instant at)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.pending || found->second.pending->id != request) {
        return;
    }
    WorkerEntry &worker = found->second;
    const PendingRequest pending = std::move(*worker.pending);
    worker.pending.reset();
    if (!report || report->worker != id) {
        handleWorkerNoAnswer(worker, pending, notSent, at);
    } else if (report->epoch > m_epoch) {
        m_stepDownReason = "worker " + id.value() + " reports a later epoch than this owner's";
    } else {
        handleWorkerAnswer(worker, pending, *report, at);
    }
    processEvents(at);
}

void SchedulerCore::handleWorkerNoAnswer(WorkerEntry &worker, const PendingRequest &request, bool notSent, Instant at)
{
    worker.lastRequestUnanswered = true;
    worker.nextContact = std::min(worker.nextContact, at.now + m_settings.timing.resendInterval);
    std::set<GangKey> touched;
    for (const OrderReference &order : request.orders) {
        Gang *gang = findGang(order.gang);
        if (gang != nullptr) {
            gang->run.handleNoAnswer(order.member, order.kind, notSent, at.now);
            touched.insert(order.gang);
        }
    }
    for (const GangKey &key : touched) {
        advanceGang(key, at);
    }
}

void SchedulerCore::handleWorkerAnswer(WorkerEntry &worker,
                                       const PendingRequest &request,
                                       const WorkerReport &report,
                                       Instant at)
{
    worker.lastAnswer = at.now;
    if (m_phase == Phase::QueryingWorkers) {
        worker.info.incarnation = report.incarnation;
        worker.takeoverReport = report;
        adoptIfReady(at);
        return;
    }
    if (report.incarnation != worker.info.incarnation) {
        handleRestart(worker, report.incarnation, at);
    }
    if (!worker.joined) {
        join(worker);
    }
    if (worker.lastRequestUnanswered) {
        handleRecovery(worker, at);
    }
    for (std::size_t index = 0; index < request.orders.size(); ++index) {
        const OrderReference &order = request.orders[index];
        const OrderResult result = index < report.results.size() ? report.results[index] : OrderResult();
        if (Gang *gang = findGang(order.gang)) {
            gang->run.handleAnswer(order.member, order.kind, result, at.now);
        } else if (order.kind == OrderKind::Release && result.ok) {
            worker.tasksToRelease.erase(order.task);
            m_ledger.closeTask(order.task);
        } else if (order.kind == OrderKind::Stop && !result.ok) {
            worker.unknownTasks.erase(order.task);
        } else if (order.kind == OrderKind::Checkpoint) {
            handleCheckpointAnswer(order.task, result, report);
        }
    }
    handleTaskReports(worker, report, at);
}

void SchedulerCore::handleCheckpointAnswer(const TaskId &task, const OrderResult &result, const WorkerReport &report)
{
    const std::optional<TaskIdParts> parts = parseTaskId(task);
    Gang *gang = parts ? findGang({parts->job, parts->attempt}) : nullptr;
    if (gang == nullptr || !gang->checkpointing.contains(task)) {
        return;
    }
    const auto found = std::find_if(
        report.tasks.begin(), report.tasks.end(), [&task](const TaskReport &item) { return item.task == task; });
    if (!result.ok || found == report.tasks.end()) {
        gang->checkpointing.clear();
        return;
    }
    gang->checkpointing[task] = found->sequence;
}

void SchedulerCore::updateCheckpoint(const GangKey &key, Gang &gang, const TaskReport &task)
{
    const auto waiting = gang.checkpointing.find(task.task);
    if (waiting == gang.checkpointing.end() || waiting->second < 0 || task.sequence <= waiting->second
        || !task.checkpointed) {
        return;
    }
    gang.checkpointing.erase(waiting);
    if (gang.checkpointing.empty()) {
        JobEntry &entry = *m_jobs.find(key.first);
        entry.record.checkpointed = true;
        m_jobs.markChanged(entry);
        log("gang-checkpointed", key.first, key.second, {}, "");
        queueEvent(decision::GangCheckpointed{key.first, key.second - entry.attemptBase});
    }
}

void SchedulerCore::handleTaskReports(WorkerEntry &worker, const WorkerReport &report, Instant at)
{
    for (const TaskReport &task : report.tasks) {
        handleTaskReport(worker, report, task, at);
    }
    if (report.full) {
        handleMissingTasks(worker, report);
    }
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        advanceGang(key, at);
    }
}

void SchedulerCore::handleMissingTasks(WorkerEntry &worker, const WorkerReport &report)
{
    std::set<TaskId> present;
    for (const TaskReport &task : report.tasks) {
        present.insert(task.task);
    }
    for (const GangKey &key : worker.gangs) {
        GangRun &run = m_gangs.at(key).run;
        for (std::size_t index = 0; index < run.members().size(); ++index) {
            const GangMember &member = run.members()[index];
            if (member.worker == worker.info.id && !present.contains(member.task)) {
                run.markAbsent(index);
            }
        }
    }
    std::erase_if(worker.unknownTasks, [&present](const auto &item) { return !present.contains(item.first); });
}

void SchedulerCore::handleTaskReport(WorkerEntry &worker,
                                     const WorkerReport &report,
                                     const TaskReport &task,
                                     Instant at)
{
    m_ledger.countReport(worker.info.id, report.incarnation, task, at.wallNow);
    const std::optional<TaskIdParts> parts = parseTaskId(task.task);
    Gang *gang = parts ? findGang({parts->job, parts->attempt}) : nullptr;
    const auto index = parts ? static_cast<std::size_t>(parts->index) : 0;
    const bool member
        = gang != nullptr && index < gang->run.members().size() && gang->run.members()[index].worker == worker.info.id;
    if (!member) {
        handleUnknownTask(worker, task);
        return;
    }
    if (gang->run.phase() == GangRun::Phase::Over) {
        if (isActive(task.state)) {
            handleUnknownTask(worker, task);
        }
        return;
    }
    gang->run.updateMember(index, task);
    updateCheckpoint({parts->job, parts->attempt}, *gang, task);
    if (gang->knownToLibrary && gang->run.phase() == GangRun::Phase::Running && task.state == TaskState::Running) {
        queueEvent(decision::UsageObserved{
            parts->job, worker.info.id, {task.coresUsed, task.memoryUsed, gang->run.plan().accelerators}});
    }
}

void SchedulerCore::handleUnknownTask(WorkerEntry &worker, const TaskReport &task)
{
    worker.mayHaveOrders = true;
    if (isActive(task.state)) {
        if (worker.unknownTasks.emplace(task.task, MonotonicTime()).second) {
            log("stop-unknown-task", task.job, 0, worker.info.id, task.task.value());
        }
        return;
    }
    worker.unknownTasks.erase(task.task);
    worker.tasksToRelease.insert(task.task);
}

void SchedulerCore::reportReceived(const WorkerReport &report, Instant at)
{
    const auto found = m_workers.find(report.worker);
    if (m_phase != Phase::Active || found == m_workers.end() || found->second.info.incarnation != report.incarnation) {
        return;
    }
    handleTaskReports(found->second, report, at);
    processEvents(at);
}

} // namespace coriander
