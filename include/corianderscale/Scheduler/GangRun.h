#pragma once

#include "corianderscale/Protocol/WorkerMessages.h"
#include "corianderscale/Scheduler/SchedulerTiming.h"
#include "corianderscale/Support/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coriander {

/** What an attempt of a gang runs, and where. */
struct GangPlan {
    JobId job;
    std::int64_t attempt = 0;
    /** Element i is the worker of task i. */
    std::vector<WorkerId> workers;
    MilliCores cores;
    MemoryMib memory;
    Accelerators accelerators;
    std::string command;
    bool canCheckpoint = false;
    bool resume = false;
    bool guaranteed = false;
};

/** State of one task of a gang as known to the scheduler. */
enum class GangMemberState {
    /** No order that can have taken effect was sent. */
    Idle,
    /** A reserve order was sent; its answer is outstanding or was lost. */
    Reserving,
    Reserved,
    /** A start order was sent; its answer is outstanding or was lost. */
    Starting,
    Running,
    /** The worker has reported the end of the task. */
    Ended,
    /** The worker confirmed that it neither runs nor reserves the task, or all its leases must have expired. */
    Gone,
};

/** One task of a gang. */
struct GangMember {
    TaskId task;
    WorkerId worker;
    GangMemberState state = GangMemberState::Idle;
    /** Whether the answer to a request that names the task is outstanding. */
    bool inFlight = false;
    /** Valid in state Ended. */
    TaskState endedAs = TaskState::Stopped;
    bool checkpointed = false;
    /** Latest time until which the worker may hold a reservation of the task. */
    MonotonicTime mayHoldUntil{};
    /** Latest time until which the task may run: end of the last lease that may have been granted, plus stopGrace. */
    MonotonicTime mayRunUntil{};
    MonotonicTime nextSend{};
};

/** @name Outcomes of an attempt, from which the events for the decision library are made. */
///@{
struct GangStartedOutcome {
};
struct GangStartFailedOutcome {
    std::vector<WorkerId> refusedBy;
};
struct GangStoppedOutcome {
    bool checkpointed = false;
};
struct GangEndedOutcome {
    bool succeeded = false;
    WorkerId failedOn;
};
using GangOutcome = std::variant<GangStartedOutcome, GangStartFailedOutcome, GangStoppedOutcome, GangEndedOutcome>;
///@}

/**
 * The protocol of one attempt of a gang: reserves all members, starts them together, and stops all of them when one
 * is lost.
 *
 * The class has no clock and no connections: the caller collects the due orders for each worker and passes in answers,
 * missing answers and reports. Precondition: times never go backwards. Thread safety: not thread safe.
 */
class GangRun
{
public:
    enum class Phase {
        /** The job row that names the attempt is being written; no order was sent. */
        Recording,
        Reserving,
        Starting,
        Running,
        Stopping,
        /** No member runs or can start to run any more. */
        Over,
    };

    GangRun(GangPlan plan, const SchedulerTiming &timing);

    /** A gang that a new owner found running: starts in phase Running with the given members. */
    static GangRun adopt(GangPlan plan, std::vector<GangMember> members, const SchedulerTiming &timing);

    /** The job row that names the attempt is written; reserve orders may be sent from now on. */
    void markRecorded();

    /** Appends the orders that are due for @p worker, each with its member's index, and marks them as in flight. */
    void collectDueOrders(const WorkerId &worker,
                          MonotonicTime now,
                          WallTime wallNow,
                          std::vector<std::pair<WorkerOrder, std::size_t>> &orders);

    /** Handles the worker's answer to an order about a member. */
    void handleAnswer(std::size_t member, OrderKind kind, const OrderResult &result, MonotonicTime now);

    /** Handles a missing answer. @p notSent: the order is known not to have reached the worker. */
    void handleNoAnswer(std::size_t member, OrderKind kind, bool notSent, MonotonicTime now);

    /** Handles a worker's report of a member's state. */
    void updateMember(std::size_t member, const TaskReport &report);

    /** Handles a full report of the worker that does not contain the member. */
    void markAbsent(std::size_t member);

    /** The worker has restarted: none of its tasks and reservations is left. */
    void workerRestarted(const WorkerId &worker);

    /** The worker is lost: stops the gang. Tasks on that worker end when their leases expire. */
    void workerLost(const WorkerId &worker, MonotonicTime now);

    /** Stops all members; tasks that still run at @p stopBy are stopped without a checkpoint. */
    void stop(bool checkpoint, MonotonicTime stopBy, MonotonicTime now);

    /** Notes that a renewal that covers the gang is sent to @p worker at @p now. */
    void renewalSent(const WorkerId &worker, MonotonicTime now);

    /** Whether renewals cover the gang. */
    bool isRenewable() const
    {
        return m_phase == Phase::Running;
    }

    /** Updates the phase from the members' states and @p now. Returns the new outcomes, in order. */
    std::vector<GangOutcome> advance(MonotonicTime now);

    /** When advance() or collectDueOrders() next has work to do if no answer or report arrives before. */
    MonotonicTime nextDue() const;

    Phase phase() const
    {
        return m_phase;
    }
    const GangPlan &plan() const
    {
        return m_plan;
    }
    const std::vector<GangMember> &members() const
    {
        return m_members;
    }

private:
    enum class StopCause {
        None,
        StartFailed,
        Stopped,
        Failed,
    };

    bool isOver(const GangMember &member) const;
    bool allOver() const;
    bool allSucceeded() const;
    void beginStopping(StopCause cause, bool checkpoint, MonotonicTime stopBy);
    void expireMembers(MonotonicTime now);
    void advanceReserving(MonotonicTime now);
    void advanceStarting(MonotonicTime now, std::vector<GangOutcome> &outcomes);
    void advanceRunning(MonotonicTime now, std::vector<GangOutcome> &outcomes);
    GangOutcome finalOutcome() const;
    std::optional<WorkerOrder> makeDueOrder(GangMember &member, MonotonicTime now, WallTime wallNow);
    WorkerOrder makeReserveOrder(GangMember &member, MonotonicTime now) const;
    WorkerOrder makeStartOrder(GangMember &member, MonotonicTime now, WallTime wallNow) const;
    std::optional<WorkerOrder> makeStopOrReleaseOrder(GangMember &member, MonotonicTime now) const;

    GangPlan m_plan;
    SchedulerTiming m_timing;
    std::vector<GangMember> m_members;
    Phase m_phase = Phase::Recording;
    StopCause m_stopCause = StopCause::None;
    MonotonicTime m_startBy{};
    bool m_checkpoint = false;
    MonotonicTime m_stopBy{};
    std::vector<WorkerId> m_refusedBy;
    WorkerId m_failedOn;
};

} // namespace coriander
