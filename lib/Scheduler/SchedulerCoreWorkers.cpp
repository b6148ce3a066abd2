#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/TaskNames.h"

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
    const bool fresh = worker.address.empty();
    const bool leaving = worker.info.state == "live" && info.state != "live";
    if (!fresh && worker.info.incarnation != info.incarnation) {
        restarted(worker, info.incarnation, at);
    }
    worker.info = info;
    worker.address = address;
    worker.unlisted = false;
    if (fresh) {
        worker.lastAnswer = at.now;
        worker.nextContact = at.now;
    }
    if (m_phase != Phase::Active) {
        return;
    }
    if (!worker.joined && !worker.lost) {
        join(worker);
    } else if (leaving) {
        log("worker-draining", {}, 0, info.id, "");
        emit(decision::WorkerDraining{info.id});
    }
    settle(at);
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
    emit(decision::WorkerJoined{{info.id, info.rack, info.position, {info.cores, info.memory, info.accelerators}}});
    if (info.state != "live") {
        emit(decision::WorkerDraining{info.id});
    }
}

void SchedulerCore::lose(WorkerEntry &worker, Instant at)
{
    worker.lost = true;
    worker.joined = false;
    log("worker-lost", {}, 0, worker.info.id, "no answer within lost_after_ms");
    emit(decision::WorkerLost{worker.info.id});
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        m_gangs.at(key).run.workerLost(worker.info.id, at.now);
        pump(key, at);
    }
}

void SchedulerCore::restarted(WorkerEntry &worker, const InstanceId &incarnation, Instant at)
{
    worker.info.incarnation = incarnation;
    worker.releases.clear();
    worker.strays.clear();
    worker.throttles.clear();
    worker.checkpoints.clear();
    worker.answer.reset();
    m_ledger.closeOlder(worker.info.id, incarnation);
    if (m_phase != Phase::Active) {
        return;
    }
    log("worker-restarted", {}, 0, worker.info.id, incarnation.value());
    if (worker.joined) {
        emit(decision::WorkerLost{worker.info.id});
        join(worker);
    }
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        m_gangs.at(key).run.workerRestarted(worker.info.id);
        pump(key, at);
    }
}

void SchedulerCore::expireWorkers(Instant at)
{
    std::vector<WorkerId> dropped;
    for (auto &[id, worker] : m_workers) {
        const bool silent = worker.lastAnswer + m_settings.timing.lostAfter <= at.now;
        if (silent && !worker.lost && worker.joined) {
            lose(worker, at);
        }
        worker.attention = worker.attention || (!worker.lost && !worker.strays.empty());
        if (silent && worker.unlisted && worker.gangs.empty() && !worker.pending) {
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
        if (m_phase == Phase::Asking) {
            if (worker.answer || worker.nextContact > at.now) {
                continue;
            }
        } else {
            orders = dueOrders(worker, pending, at);
            if (orders.empty()) {
                continue;
            }
        }
        pending.id = m_nextRequest++;
        WorkerRequest request{pending.id, id, worker.address, {}, at.now + m_settings.timing.requestLimit};
        request.orders = {m_epoch, m_settings.instance, m_settings.reportTo, std::move(orders)};
        worker.pending = std::move(pending);
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<WorkerOrder> SchedulerCore::dueOrders(WorkerEntry &worker, PendingRequest &request, Instant at)
{
    std::vector<WorkerOrder> orders;
    if (worker.attention) {
        worker.attention = false;
        for (const GangKey &key : worker.gangs) {
            Gang &gang = m_gangs.at(key);
            std::vector<std::pair<WorkerOrder, std::size_t>> due;
            gang.run.collect(worker.info.id, at.now, at.wallNow, due);
            for (auto &[order, member] : due) {
                if (order.kind == OrderKind::Start) {
                    const JobRecord &record = m_jobs.find(key.first)->record;
                    m_ledger.open(order.task,
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
        addPlainOrders(worker, request, orders, at);
    }
    if (worker.nextContact <= at.now) {
        addPlainOrders(worker, request, orders, at);
        request.orders.push_back({OrderKind::Renew, {}, {}, 0});
        orders.push_back(renewal(worker, at));
        worker.nextContact = at.now + m_settings.timing.renewalInterval;
    }
    return orders;
}

void SchedulerCore::addPlainOrders(WorkerEntry &worker,
                                   PendingRequest &request,
                                   std::vector<WorkerOrder> &orders,
                                   Instant at)
{
    const auto add = [&](OrderKind kind, const TaskId &task) -> WorkerOrder & {
        WorkerOrder order;
        order.kind = kind;
        order.task = task;
        if (const auto name = parseTaskId(task)) {
            order.job = name->job;
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
    for (auto &[task, nextSend] : worker.strays) {
        if (nextSend <= at.now) {
            nextSend = at.now + m_settings.timing.resendInterval;
            add(OrderKind::Stop, task).milliseconds = 0;
        }
    }
    for (const TaskId &task : worker.releases) {
        if (!contains(task)) {
            add(OrderKind::Release, task);
        }
    }
    for (const TaskId &task : std::exchange(worker.checkpoints, {})) {
        add(OrderKind::Checkpoint, task);
    }
    for (const auto &[task, cores] : std::exchange(worker.throttles, {})) {
        add(OrderKind::Throttle, task).cores = cores;
    }
}

WorkerOrder SchedulerCore::renewal(const WorkerEntry &worker, Instant at)
{
    WorkerOrder order;
    order.kind = OrderKind::Renew;
    order.milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.timing.leaseTerm).count();
    order.startByUnixMs = toUnixMs(at.wallNow + m_settings.timing.requestLimit);
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
    for (const auto &[task, nextSend] : worker.strays) {
        if (const auto name = parseTaskId(task)) {
            excepted.insert(name->job);
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
    return run.renewable()
        && std::none_of(run.members().begin(), run.members().end(), [this](const GangMember &member) {
               const auto worker = m_workers.find(member.worker);
               return member.state == GangMemberState::Running && worker != m_workers.end() && worker->second.silent;
           });
}

void SchedulerCore::heardAgain(WorkerEntry &worker, Instant at)
{
    worker.silent = false;
    for (const GangKey &key : worker.gangs) {
        for (const GangMember &member : m_gangs.at(key).run.members()) {
            workerOf(member.worker).nextContact = at.now;
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
        takeSilence(worker, pending, notSent, at);
    } else if (report->epoch > m_epoch) {
        m_stepDownReason = "worker " + id.value() + " reports a later epoch than this owner's";
    } else {
        takeAnswer(worker, pending, *report, at);
    }
    settle(at);
}

void SchedulerCore::takeSilence(WorkerEntry &worker, const PendingRequest &request, bool notSent, Instant at)
{
    worker.silent = true;
    worker.nextContact = std::min(worker.nextContact, at.now + m_settings.timing.resendInterval);
    std::set<GangKey> touched;
    for (const OrderReference &order : request.orders) {
        Gang *gang = findGang(order.gang);
        if (gang != nullptr) {
            gang->run.unanswered(order.member, order.kind, notSent, at.now);
            touched.insert(order.gang);
        }
    }
    for (const GangKey &key : touched) {
        pump(key, at);
    }
}

void SchedulerCore::takeAnswer(WorkerEntry &worker,
                               const PendingRequest &request,
                               const WorkerReport &report,
                               Instant at)
{
    worker.lastAnswer = at.now;
    if (m_phase == Phase::Asking) {
        worker.info.incarnation = report.incarnation;
        worker.answer = report;
        adoptWhenAnswered(at);
        return;
    }
    if (report.incarnation != worker.info.incarnation) {
        restarted(worker, report.incarnation, at);
    }
    if (!worker.joined) {
        join(worker);
    }
    if (worker.silent) {
        heardAgain(worker, at);
    }
    for (std::size_t index = 0; index < request.orders.size(); ++index) {
        const OrderReference &order = request.orders[index];
        const OrderResult result = index < report.results.size() ? report.results[index] : OrderResult();
        if (Gang *gang = findGang(order.gang)) {
            gang->run.answered(order.member, order.kind, result, at.now);
        } else if (order.kind == OrderKind::Release && result.ok) {
            worker.releases.erase(order.task);
            m_ledger.close(order.task);
        } else if (order.kind == OrderKind::Stop && !result.ok) {
            worker.strays.erase(order.task);
        } else if (order.kind == OrderKind::Checkpoint) {
            takeCheckpointAnswer(order.task, result, report);
        }
    }
    takeTasks(worker, report, at);
}

void SchedulerCore::takeCheckpointAnswer(const TaskId &task, const OrderResult &result, const WorkerReport &report)
{
    const std::optional<TaskName> name = parseTaskId(task);
    Gang *gang = name ? findGang({name->job, name->attempt}) : nullptr;
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

void SchedulerCore::noteCheckpoint(const GangKey &key, Gang &gang, const TaskReport &task)
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
        m_jobs.change(entry);
        log("gang-checkpointed", key.first, key.second, {}, "");
        emit(decision::GangCheckpointed{key.first, key.second - entry.attemptBase});
    }
}

void SchedulerCore::takeTasks(WorkerEntry &worker, const WorkerReport &report, Instant at)
{
    for (const TaskReport &task : report.tasks) {
        takeTask(worker, report, task, at);
    }
    if (report.full) {
        takeAbsent(worker, report);
    }
    const std::set<GangKey> keys = worker.gangs;
    for (const GangKey &key : keys) {
        pump(key, at);
    }
}

void SchedulerCore::takeAbsent(WorkerEntry &worker, const WorkerReport &report)
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
                run.absent(index);
            }
        }
    }
    std::erase_if(worker.strays, [&present](const auto &item) { return !present.contains(item.first); });
}

void SchedulerCore::takeTask(WorkerEntry &worker, const WorkerReport &report, const TaskReport &task, Instant at)
{
    m_ledger.count(worker.info.id, report.incarnation, task, at.wallNow);
    const std::optional<TaskName> name = parseTaskId(task.task);
    Gang *gang = name ? findGang({name->job, name->attempt}) : nullptr;
    const auto index = name ? static_cast<std::size_t>(name->index) : 0;
    const bool member
        = gang != nullptr && index < gang->run.members().size() && gang->run.members()[index].worker == worker.info.id;
    if (!member) {
        takeStray(worker, task);
        return;
    }
    if (gang->run.phase() == GangRun::Phase::Over) {
        if (isActive(task.state)) {
            takeStray(worker, task);
        }
        return;
    }
    gang->run.observe(index, task);
    noteCheckpoint({name->job, name->attempt}, *gang, task);
    if (gang->known && gang->run.phase() == GangRun::Phase::Running && task.state == TaskState::Running) {
        emit(decision::UsageObserved{
            name->job, worker.info.id, {task.coresUsed, task.memoryUsed, gang->run.plan().accelerators}});
    }
}

void SchedulerCore::takeStray(WorkerEntry &worker, const TaskReport &task)
{
    worker.attention = true;
    if (isActive(task.state)) {
        if (worker.strays.emplace(task.task, MonotonicTime()).second) {
            log("stop-unknown-task", task.job, 0, worker.info.id, task.task.value());
        }
        return;
    }
    worker.strays.erase(task.task);
    worker.releases.insert(task.task);
}

void SchedulerCore::reportReceived(const WorkerReport &report, Instant at)
{
    const auto found = m_workers.find(report.worker);
    if (m_phase != Phase::Active || found == m_workers.end() || found->second.info.incarnation != report.incarnation) {
        return;
    }
    takeTasks(found->second, report, at);
    settle(at);
}

} // namespace coriander
