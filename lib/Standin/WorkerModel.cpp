#include "corianderscale/Standin/WorkerModel.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

bool isActive(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Stopping;
}

bool hasEnded(TaskState state)
{
    return state == TaskState::Succeeded || state == TaskState::Failed || state == TaskState::Stopped;
}

OrderResult refused(const std::string &reason)
{
    return {false, reason};
}

OrderResult accepted()
{
    return {true, {}};
}

std::int64_t wholeMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

WorkerModel::WorkerModel(WorkerInfo info, WorkerModelSettings settings)
    : m_info(std::move(info))
    , m_settings(settings)
{
}

WorkerReport WorkerModel::handle(const WorkerOrders &orders, MonotonicTime now, WallTime wallNow)
{
    advance(now);
    std::vector<OrderResult> results;
    if (orders.epoch < m_epoch) {
        results.assign(orders.orders.size(), refused("stale-epoch"));
        WorkerReport report;
        report.worker = m_info.id;
        report.incarnation = m_info.incarnation;
        report.epoch = m_epoch;
        report.results = std::move(results);
        return report;
    }
    m_epoch = orders.epoch;
    if (!orders.reportTo.empty()) {
        m_reportTo = orders.reportTo;
    }
    for (const WorkerOrder &order : orders.orders) {
        results.push_back(executeOrder(order, now, wallNow));
    }
    return makeReply(orders, std::move(results), now);
}

OrderResult WorkerModel::executeOrder(const WorkerOrder &order, MonotonicTime now, WallTime wallNow)
{
    switch (order.kind) {
    case OrderKind::Reserve:
        return reserve(order, now);
    case OrderKind::Start:
        return start(order, now, wallNow);
    case OrderKind::Stop:
        return stop(order, now);
    case OrderKind::Checkpoint:
        return checkpoint(order, now);
    case OrderKind::Throttle:
        return throttle(order, now);
    case OrderKind::Release:
        return release(order);
    case OrderKind::Renew:
        return renew(order, now, wallNow);
    }
    return refused("unknown-order");
}

OrderResult WorkerModel::reserve(const WorkerOrder &order, MonotonicTime now)
{
    if (const Task *known = findTask(order.task)) {
        return known->report.state == TaskState::Reserved ? accepted() : refused("unknown-task");
    }
    if (m_info.state != "live") {
        return refused("leaving");
    }
    if (!hasCapacityFor(order)) {
        return refused("no-room");
    }
    Task task;
    task.report.task = order.task;
    task.report.job = order.job;
    task.cores = order.cores;
    task.memory = order.memory;
    task.accelerators = order.accelerators;
    task.reservedUntil = now + ReservationTimeout;
    m_tasks.emplace(order.task, std::move(task));
    return accepted();
}

OrderResult WorkerModel::start(const WorkerOrder &order, MonotonicTime now, WallTime wallNow)
{
    Task *task = findTask(order.task);
    if (task == nullptr) {
        return refused("unknown-task");
    }
    if (task->report.state != TaskState::Reserved) {
        return accepted();
    }
    if (toUnixMs(wallNow) > order.startByUnixMs) {
        return refused("too-late");
    }
    task->script = parseTaskScript(order.command);
    if (m_settings.failsAllTasks) {
        task->script.runTime = Duration(0);
        task->script.succeeds = false;
    }
    const auto saved = m_checkpointedRunTime.find(task->report.job);
    if (order.checkpoint && saved != m_checkpointedRunTime.end()) {
        task->script.runTime = std::max(Duration(0), task->script.runTime - saved->second);
    }
    task->report.state = TaskState::Running;
    task->leaseUntil = now + std::chrono::milliseconds(order.milliseconds);
    task->endsAt = now + task->script.runTime;
    task->usageCountedUntil = now;
    task->report.coresUsed = task->script.cores == MilliCores() ? task->cores : task->script.cores;
    task->report.memoryUsed = task->script.memory == MemoryMib() ? task->memory : task->script.memory;
    m_ledger.push_back({true, order.task, task->report.job, TaskState::Running, now});
    return accepted();
}

OrderResult WorkerModel::stop(const WorkerOrder &order, MonotonicTime now)
{
    Task *task = findTask(order.task);
    if (task == nullptr) {
        return refused("unknown-task");
    }
    if (task->report.state == TaskState::Reserved) {
        m_tasks.erase(order.task);
        return accepted();
    }
    if (!isActive(task->report.state)) {
        return accepted();
    }
    const MonotonicTime deadline = now + std::chrono::milliseconds(order.milliseconds);
    const bool isFirstStop = task->report.state == TaskState::Running;
    task->report.state = TaskState::Stopping;
    if (isFirstStop && order.checkpoint && task->script.canCheckpoint) {
        task->checkpointAt = now + task->script.checkpointTime;
    }
    const MonotonicTime checkpointEnd = task->checkpointAt == NeverDue ? now : task->checkpointAt;
    task->stopsAt = std::min({task->stopsAt, deadline, checkpointEnd + task->script.stopTime});
    updateTask(*task, now);
    return accepted();
}

OrderResult WorkerModel::checkpoint(const WorkerOrder &order, MonotonicTime now)
{
    Task *task = findTask(order.task);
    if (task == nullptr || !isActive(task->report.state)) {
        return refused("unknown-task");
    }
    if (!task->script.canCheckpoint) {
        return refused("cannot-checkpoint");
    }
    task->checkpointAt = std::min(task->checkpointAt, now + task->script.checkpointTime);
    return accepted();
}

OrderResult WorkerModel::throttle(const WorkerOrder &order, MonotonicTime now)
{
    Task *task = findTask(order.task);
    if (task == nullptr || !isActive(task->report.state)) {
        return refused("unknown-task");
    }
    addUsage(*task, now);
    task->report.coresUsed = std::min(task->report.coresUsed, order.cores);
    return accepted();
}

OrderResult WorkerModel::release(const WorkerOrder &order)
{
    const Task *task = findTask(order.task);
    if (task != nullptr && isActive(task->report.state)) {
        return refused("still-running");
    }
    m_tasks.erase(order.task);
    return accepted();
}

OrderResult WorkerModel::renew(const WorkerOrder &order, MonotonicTime now, WallTime wallNow)
{
    if (order.startByUnixMs != 0 && toUnixMs(wallNow) > order.startByUnixMs) {
        return refused("too-late");
    }
    const std::set<JobId> excepted(order.excepted.begin(), order.excepted.end());
    for (auto &[id, task] : m_tasks) {
        if (isActive(task.report.state) && !excepted.contains(task.report.job)) {
            task.leaseUntil = std::max(task.leaseUntil, now + std::chrono::milliseconds(order.milliseconds));
        }
    }
    return accepted();
}

WorkerReport WorkerModel::makeReply(const WorkerOrders &orders, std::vector<OrderResult> results, MonotonicTime now)
{
    WorkerReport report;
    report.worker = m_info.id;
    report.incarnation = m_info.incarnation;
    report.epoch = m_epoch;
    report.digest = taskSetDigest(activeTasks());
    report.results = std::move(results);
    report.full = true;
    std::set<TaskId> orderedTasks;
    for (const WorkerOrder &order : orders.orders) {
        orderedTasks.insert(order.task);
        if (order.kind == OrderKind::Renew && order.digest == report.digest) {
            report.full = false;
        }
    }
    for (auto &[id, task] : m_tasks) {
        if (report.full || orderedTasks.contains(id)) {
            report.tasks.push_back(makeTaskReport(task, now));
        }
    }
    return report;
}

void WorkerModel::advance(MonotonicTime now)
{
    for (auto task = m_tasks.begin(); task != m_tasks.end();) {
        if (task->second.report.state == TaskState::Reserved && task->second.reservedUntil <= now) {
            task = m_tasks.erase(task);
            continue;
        }
        updateTask(task->second, now);
        ++task;
    }
}

void WorkerModel::updateTask(Task &task, MonotonicTime now)
{
    if (!isActive(task.report.state)) {
        return;
    }
    const MonotonicTime until = std::min({now, task.endsAt, task.leaseUntil, task.stopsAt});
    if (task.checkpointAt <= until) {
        task.report.checkpointed = true;
        m_checkpointedRunTime[task.report.job] = task.script.runTime - (task.endsAt - task.checkpointAt);
        task.checkpointAt = NeverDue;
        task.hasUnreportedCheckpoint = true;
        m_hasUnreportedChange = true;
    }
    if (task.endsAt <= until) {
        const bool succeeds = task.script.succeeds;
        endTask(
            task, succeeds ? TaskState::Succeeded : TaskState::Failed, succeeds ? "" : "scripted failure", task.endsAt);
    } else if (task.stopsAt <= until) {
        endTask(task, TaskState::Stopped, "stopped by order", task.stopsAt);
    } else if (task.leaseUntil <= until) {
        endTask(task, TaskState::Stopped, "lease lapsed", task.leaseUntil);
    }
}

void WorkerModel::endTask(Task &task, TaskState state, const std::string &reason, MonotonicTime at)
{
    addUsage(task, at);
    task.report.state = state;
    task.report.reason = reason;
    task.report.coresUsed = MilliCores();
    task.report.memoryUsed = MemoryMib();
    task.report.sequence = ++m_sequence;
    m_hasUnreportedChange = true;
    m_ledger.push_back({false, task.report.task, task.report.job, state, at});
}

void WorkerModel::addUsage(Task &task, MonotonicTime now)
{
    const std::int64_t elapsed = wholeMs(now - task.usageCountedUntil);
    if (elapsed <= 0) {
        return;
    }
    task.usageCountedUntil += std::chrono::milliseconds(elapsed);
    task.report.acceleratorMs += task.accelerators.count() * elapsed;
    task.report.coreMs += task.report.coresUsed.count() * elapsed / 1000;
    task.report.memoryMibMs += task.report.memoryUsed.count() * elapsed;
}

TaskReport WorkerModel::makeTaskReport(Task &task, MonotonicTime now)
{
    if (isActive(task.report.state)) {
        addUsage(task, now);
        task.report.sequence = ++m_sequence;
    }
    return task.report;
}

std::optional<WorkerReport> WorkerModel::takeReport(MonotonicTime now)
{
    advance(now);
    if (m_reportTo.empty()) {
        return std::nullopt;
    }
    const bool usageDue = m_nextUsage <= now && !activeTasks().empty();
    const bool ended = std::any_of(
        m_tasks.begin(), m_tasks.end(), [](const auto &task) { return hasEnded(task.second.report.state); });
    if (!m_hasUnreportedChange && !usageDue && !(ended && m_nextRepeat <= now)) {
        return std::nullopt;
    }
    WorkerReport report;
    report.worker = m_info.id;
    report.incarnation = m_info.incarnation;
    report.epoch = m_epoch;
    report.digest = taskSetDigest(activeTasks());
    for (auto &[id, task] : m_tasks) {
        const bool hasUnreportedCheckpoint = std::exchange(task.hasUnreportedCheckpoint, false);
        if (hasEnded(task.report.state) || (isActive(task.report.state) && (usageDue || hasUnreportedCheckpoint))) {
            report.tasks.push_back(makeTaskReport(task, now));
        }
    }
    m_hasUnreportedChange = false;
    m_nextRepeat = now + m_settings.repeatInterval;
    m_nextUsage = usageDue ? now + m_settings.usageInterval : m_nextUsage;
    return report;
}

std::vector<TaskEvent> WorkerModel::takeLedger()
{
    return std::exchange(m_ledger, {});
}

std::vector<TaskId> WorkerModel::activeTasks() const
{
    std::vector<TaskId> tasks;
    for (const auto &[id, task] : m_tasks) {
        if (isActive(task.report.state)) {
            tasks.push_back(id);
        }
    }
    return tasks;
}

bool WorkerModel::hasCapacityFor(const WorkerOrder &order) const
{
    MilliCores cores = order.cores;
    MemoryMib memory = order.memory;
    Accelerators accelerators = order.accelerators;
    for (const auto &[id, task] : m_tasks) {
        if (!hasEnded(task.report.state)) {
            cores += task.cores;
            memory += task.memory;
            accelerators += task.accelerators;
        }
    }
    return cores <= m_info.cores && memory <= m_info.memory && accelerators <= m_info.accelerators;
}

WorkerModel::Task *WorkerModel::findTask(const TaskId &id)
{
    const auto task = m_tasks.find(id);
    return task == m_tasks.end() ? nullptr : &task->second;
}

} // namespace coriander
