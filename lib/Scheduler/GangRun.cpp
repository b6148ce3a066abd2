#include "corianderscale/Scheduler/GangRun.h"

#include "corianderscale/Scheduler/TaskIds.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace coriander {

namespace {

std::int64_t toNonNegativeMs(Duration duration)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

GangRun::GangRun(GangPlan plan, const SchedulerTiming &timing)
    : m_plan(std::move(plan))
    , m_timing(timing)
{
    for (std::size_t index = 0; index < m_plan.workers.size(); ++index) {
        GangMember member;
        member.task = taskIdOf(m_plan.job, m_plan.attempt, static_cast<std::int64_t>(index));
        member.worker = m_plan.workers[index];
        m_members.push_back(std::move(member));
    }
}

GangRun GangRun::adopt(GangPlan plan, std::vector<GangMember> members, const SchedulerTiming &timing)
{
    GangRun run(std::move(plan), timing);
    run.m_members = std::move(members);
    run.m_phase = Phase::Running;
    return run;
}

void GangRun::markRecorded()
{
    if (m_phase == Phase::Recording) {
        m_phase = Phase::Reserving;
    }
}

void GangRun::collectDueOrders(const WorkerId &worker,
                               MonotonicTime now,
                               WallTime wallNow,
                               std::vector<std::pair<WorkerOrder, std::size_t>> &orders)
{
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        GangMember &member = m_members[index];
        if (member.worker != worker || member.inFlight) {
            continue;
        }
        if (std::optional<WorkerOrder> order = makeDueOrder(member, now, wallNow)) {
            member.inFlight = true;
            orders.emplace_back(std::move(*order), index);
        }
    }
}

std::optional<WorkerOrder> GangRun::makeDueOrder(GangMember &member, MonotonicTime now, WallTime wallNow)
{
    if (m_phase == Phase::Reserving && member.state == GangMemberState::Idle) {
        return makeReserveOrder(member, now);
    }
    if (m_phase == Phase::Starting && member.state == GangMemberState::Reserved && now < m_startBy) {
        return makeStartOrder(member, now, wallNow);
    }
    if (m_phase == Phase::Stopping && member.nextSend <= now) {
        return makeStopOrReleaseOrder(member, now);
    }
    return std::nullopt;
}

WorkerOrder GangRun::makeReserveOrder(GangMember &member, MonotonicTime now) const
{
    member.state = GangMemberState::Reserving;
    member.mayHoldUntil = now + m_timing.requestTimeout + m_timing.reservationTerm;
    WorkerOrder order;
    order.kind = OrderKind::Reserve;
    order.task = member.task;
    order.job = m_plan.job;
    order.cores = m_plan.cores;
    order.memory = m_plan.memory;
    order.accelerators = m_plan.accelerators;
    return order;
}

WorkerOrder GangRun::makeStartOrder(GangMember &member, MonotonicTime now, WallTime wallNow) const
{
    member.state = GangMemberState::Starting;
    member.mayRunUntil = m_startBy + m_timing.leaseTerm + m_timing.stopGrace;
    WorkerOrder order;
    order.kind = OrderKind::Start;
    order.task = member.task;
    order.job = m_plan.job;
    order.command = m_plan.command;
    order.checkpoint = m_plan.resume;
    order.startByUnixMs = toUnixMs(wallNow + (m_startBy - now));
    order.milliseconds = toNonNegativeMs(m_timing.leaseTerm);
    return order;
}

std::optional<WorkerOrder> GangRun::makeStopOrReleaseOrder(GangMember &member, MonotonicTime now) const
{
    if (isOver(member)) {
        return std::nullopt;
    }
    WorkerOrder order;
    order.task = member.task;
    order.job = m_plan.job;
    member.nextSend = now + m_timing.resendInterval;
    if (member.state == GangMemberState::Reserving || member.state == GangMemberState::Reserved) {
        order.kind = OrderKind::Release;
        return order;
    }
    order.kind = OrderKind::Stop;
    order.checkpoint = m_checkpoint && m_plan.canCheckpoint;
    order.milliseconds = toNonNegativeMs(m_stopBy - now);
    return order;
}

void GangRun::handleAnswer(std::size_t index, OrderKind kind, const OrderResult &result, MonotonicTime now)
{
    GangMember &member = m_members.at(index);
    member.inFlight = false;
    if (member.state == GangMemberState::Ended || member.state == GangMemberState::Gone) {
        return;
    }
    if (kind == OrderKind::Reserve) {
        if (result.ok) {
            member.state = GangMemberState::Reserved;
            return;
        }
        member.state = GangMemberState::Gone;
        m_refusedBy.push_back(member.worker);
        return;
    }
    if (kind == OrderKind::Start && member.state == GangMemberState::Starting) {
        if (result.ok) {
            member.state = GangMemberState::Running;
            member.mayRunUntil = now + m_timing.leaseTerm + m_timing.stopGrace;
            return;
        }
        // The worker keeps the reservation when it refuses a start.
        member.state = GangMemberState::Reserved;
        member.mayHoldUntil = std::max(member.mayHoldUntil, now);
        m_refusedBy.push_back(member.worker);
        return;
    }
    if (kind == OrderKind::Release && result.ok) {
        member.state = GangMemberState::Gone;
        return;
    }
    // Members that are stopped were reserved before. A task that the worker does not know can no longer start, because
    // its reservation is gone.
    if (kind == OrderKind::Stop && !result.ok && result.reason == "unknown-task") {
        member.state = GangMemberState::Gone;
    }
}

void GangRun::handleNoAnswer(std::size_t index, OrderKind kind, bool notSent, MonotonicTime now)
{
    GangMember &member = m_members.at(index);
    member.inFlight = false;
    member.nextSend = now + m_timing.resendInterval;
    const bool hasFinalState = member.state == GangMemberState::Ended || member.state == GangMemberState::Gone;
    if (hasFinalState || (kind != OrderKind::Reserve && kind != OrderKind::Start)) {
        return;
    }
    m_refusedBy.push_back(member.worker);
    member.nextSend = now;
    if (notSent && kind == OrderKind::Reserve && member.state == GangMemberState::Reserving) {
        member.state = GangMemberState::Gone;
    }
    if (notSent && kind == OrderKind::Start && member.state == GangMemberState::Starting) {
        member.state = GangMemberState::Reserved;
    }
}

void GangRun::updateMember(std::size_t index, const TaskReport &report)
{
    GangMember &member = m_members.at(index);
    if (member.state == GangMemberState::Ended || member.state == GangMemberState::Gone) {
        return;
    }
    member.checkpointed = report.checkpointed;
    switch (report.state) {
    case TaskState::Reserved:
        return;
    case TaskState::Running:
    case TaskState::Stopping:
        if (!member.inFlight) {
            member.state = GangMemberState::Running;
        }
        return;
    case TaskState::Succeeded:
    case TaskState::Failed:
    case TaskState::Stopped:
        member.state = GangMemberState::Ended;
        member.endedAs = report.state;
        if (report.state == TaskState::Failed && m_failedOn.empty()) {
            m_failedOn = member.worker;
        }
        return;
    }
}

void GangRun::markAbsent(std::size_t index)
{
    GangMember &member = m_members.at(index);
    if (member.inFlight || isOver(member) || member.state == GangMemberState::Idle) {
        return;
    }
    member.state = GangMemberState::Gone;
}

void GangRun::workerRestarted(const WorkerId &worker)
{
    for (GangMember &member : m_members) {
        if (member.worker == worker && member.state != GangMemberState::Ended
            && member.state != GangMemberState::Idle) {
            member.state = GangMemberState::Gone;
        }
    }
}

void GangRun::workerLost(const WorkerId &worker, MonotonicTime now)
{
    const bool affected = std::any_of(m_members.begin(), m_members.end(), [&](const GangMember &member) {
        return member.worker == worker && member.state != GangMemberState::Ended;
    });
    if (!affected || m_phase == Phase::Stopping || m_phase == Phase::Over) {
        return;
    }
    if (m_phase != Phase::Running) {
        m_refusedBy.push_back(worker);
    }
    beginStopping(
        m_phase == Phase::Running ? StopCause::Stopped : StopCause::StartFailed, false, now + m_timing.stopGrace);
}

void GangRun::stop(bool checkpoint, MonotonicTime stopBy, MonotonicTime now)
{
    if (m_phase == Phase::Over) {
        return;
    }
    if (m_phase == Phase::Stopping) {
        m_stopBy = std::min(m_stopBy, stopBy);
        return;
    }
    beginStopping(StopCause::Stopped, checkpoint, std::max(stopBy, now));
}

void GangRun::beginStopping(StopCause cause, bool checkpoint, MonotonicTime stopBy)
{
    m_phase = Phase::Stopping;
    m_stopCause = cause;
    m_checkpoint = checkpoint;
    m_stopBy = stopBy;
    for (GangMember &member : m_members) {
        member.nextSend = {};
    }
}

void GangRun::renewalSent(const WorkerId &worker, MonotonicTime now)
{
    for (GangMember &member : m_members) {
        if (member.worker == worker && member.state == GangMemberState::Running) {
            member.mayRunUntil = now + m_timing.requestTimeout + m_timing.leaseTerm + m_timing.stopGrace;
        }
    }
}

bool GangRun::isOver(const GangMember &member) const
{
    return member.state == GangMemberState::Ended || member.state == GangMemberState::Gone
        || (member.state == GangMemberState::Idle && m_phase >= Phase::Stopping);
}

bool GangRun::allOver() const
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const GangMember &member) { return isOver(member); });
}

bool GangRun::allSucceeded() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const GangMember &member) {
        return member.state == GangMemberState::Ended && member.endedAs == TaskState::Succeeded;
    });
}

void GangRun::expireMembers(MonotonicTime now)
{
    for (GangMember &member : m_members) {
        const bool held = member.state == GangMemberState::Reserving || member.state == GangMemberState::Reserved;
        const bool runs = member.state == GangMemberState::Starting || member.state == GangMemberState::Running;
        if ((held && member.mayHoldUntil <= now) || (runs && member.mayRunUntil <= now)) {
            member.state = GangMemberState::Gone;
            member.inFlight = false;
        }
    }
}

std::vector<GangOutcome> GangRun::advance(MonotonicTime now)
{
    std::vector<GangOutcome> outcomes;
    if (m_phase == Phase::Reserving) {
        advanceReserving(now);
    }
    if (m_phase == Phase::Starting) {
        advanceStarting(now, outcomes);
    }
    if (m_phase == Phase::Running) {
        advanceRunning(now, outcomes);
    }
    if (m_phase == Phase::Stopping) {
        expireMembers(now);
        if (allOver()) {
            m_phase = Phase::Over;
            outcomes.push_back(finalOutcome());
        }
    }
    return outcomes;
}

void GangRun::advanceReserving(MonotonicTime now)
{
    if (!m_refusedBy.empty()) {
        beginStopping(StopCause::StartFailed, false, now);
        return;
    }
    const bool reserved = std::all_of(m_members.begin(), m_members.end(), [](const GangMember &member) {
        return member.state == GangMemberState::Reserved;
    });
    if (reserved) {
        m_phase = Phase::Starting;
        m_startBy = now + m_timing.startWindow;
        return;
    }
    // A confirmed reservation can expire at its worker before the other workers have answered.
    for (const GangMember &member : m_members) {
        if (member.state == GangMemberState::Gone) {
            m_refusedBy.push_back(member.worker);
        }
    }
    if (!m_refusedBy.empty()) {
        beginStopping(StopCause::StartFailed, false, now);
    }
}

void GangRun::advanceStarting(MonotonicTime now, std::vector<GangOutcome> &outcomes)
{
    bool waiting = false;
    for (const GangMember &member : m_members) {
        waiting = waiting || member.inFlight;
        if (member.state == GangMemberState::Gone && m_refusedBy.empty()) {
            m_refusedBy.push_back(member.worker);
        }
    }
    if (!m_refusedBy.empty()) {
        beginStopping(StopCause::StartFailed, false, now);
        return;
    }
    const bool started = std::all_of(m_members.begin(), m_members.end(), [](const GangMember &member) {
        return member.state == GangMemberState::Running || member.state == GangMemberState::Ended;
    });
    if (started && !waiting) {
        m_phase = Phase::Running;
        outcomes.emplace_back(GangStartedOutcome{});
        return;
    }
    if (now >= m_startBy && !waiting) {
        for (const GangMember &member : m_members) {
            if (member.state == GangMemberState::Reserved) {
                m_refusedBy.push_back(member.worker);
            }
        }
        beginStopping(StopCause::StartFailed, false, now);
    }
}

void GangRun::advanceRunning(MonotonicTime now, std::vector<GangOutcome> &outcomes)
{
    if (allSucceeded()) {
        m_phase = Phase::Over;
        outcomes.emplace_back(GangEndedOutcome{true, {}});
        return;
    }
    if (!m_failedOn.empty()) {
        beginStopping(StopCause::Failed, false, now);
        return;
    }
    const bool lost = std::any_of(m_members.begin(), m_members.end(), [](const GangMember &member) {
        return member.state == GangMemberState::Gone
            || (member.state == GangMemberState::Ended && member.endedAs == TaskState::Stopped);
    });
    if (lost) {
        beginStopping(StopCause::Stopped, false, now + m_timing.stopGrace);
    }
}

GangOutcome GangRun::finalOutcome() const
{
    if (allSucceeded()) {
        return GangEndedOutcome{true, {}};
    }
    if (m_stopCause == StopCause::StartFailed) {
        return GangStartFailedOutcome{m_refusedBy};
    }
    if (m_stopCause == StopCause::Failed) {
        return GangEndedOutcome{false, m_failedOn};
    }
    const bool resumable = std::all_of(m_members.begin(), m_members.end(), [](const GangMember &member) {
        return member.state == GangMemberState::Ended
            && (member.checkpointed || member.endedAs == TaskState::Succeeded);
    });
    return GangStoppedOutcome{resumable};
}

MonotonicTime GangRun::nextDue() const
{
    MonotonicTime due = NeverDue;
    if (m_phase == Phase::Starting) {
        due = m_startBy;
    }
    if (m_phase != Phase::Stopping) {
        return due;
    }
    for (const GangMember &member : m_members) {
        if (isOver(member)) {
            continue;
        }
        const bool held = member.state == GangMemberState::Reserving || member.state == GangMemberState::Reserved;
        due = std::min(due, held ? member.mayHoldUntil : member.mayRunUntil);
        if (!member.inFlight) {
            due = std::min(due, member.nextSend);
        }
    }
    return due;
}

} // namespace coriander
