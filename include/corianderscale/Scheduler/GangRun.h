#pragma once

#include "corianderscale/Protocol/WorkerMessages.h"
#include "corianderscale/Scheduler/SchedulerTiming.h"
#include "corianderscale/Support/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coriander {

/** What is to be started. */
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

/** What the scheduler knows of one task of a gang. */
enum class GangMemberState {
    /** No order that may have had an effect was sent. */
    Idle,
    /** A reserve was sent; its answer is awaited or was lost. */
    Reserving,
    Reserved,
    /** A start was sent; its answer is awaited or was lost. */
    Starting,
    Running,
    /** The worker has reported the end. */
    Ended,
    /** The worker proved that it neither runs nor holds the task, or every lease of it must have lapsed. */
    Gone,
};

/** One task of a gang. */
struct GangMember {
    TaskId task;
    WorkerId worker;
    GangMemberState state = GangMemberState::Idle;
    /** Whether a request that names the task awaits its answer. */
    bool inFlight = false;
    /** Valid in state Ended. */
    TaskState endedAs = TaskState::Stopped;
    bool checkpointed = false;
    /** Latest end of a reservation that may be held. */
    MonotonicTime mayHoldUntil{};
    /** Latest end of a lease that may have been granted, with the grace. */
    MonotonicTime mayRunUntil{};
    MonotonicTime nextSend{};
};

/** @name How a gang went on; the events for the decision library follow from these. */
///@{
struct GangHasStarted {
};
struct GangCouldNotStart {
    std::vector<WorkerId> refusedBy;
};
struct GangHasStopped {
    bool checkpointed = false;
};
struct GangHasEnded {
    bool succeeded = false;
    WorkerId failedOn;
};
using GangOutcome = std::variant<GangHasStarted, GangCouldNotStart, GangHasStopped, GangHasEnded>;
///@}

/**
 * The protocol of one attempt of a gang: reserve on all members, start together, stop all when one is lost.
 *
 * It has no clock and no connections: due orders are collected for each worker, and answers, lost answers and reports
 * are passed in. Precondition: times never go backwards. Thread safety: not thread safe.
 */
class GangRun
{
public:
    enum class Phase {
        /** The row that names the attempt is being written; nothing was sent. */
        Recording,
        Reserving,
        Starting,
        Running,
        Stopping,
        /** No member runs or can start to run any more. */
        Over,
    };

    GangRun(GangPlan plan, const SchedulerTiming &timing);

    /** A gang found by a new owner: phase Running with the given members. */
    static GangRun adopt(GangPlan plan, std::vector<GangMember> members, const SchedulerTiming &timing);

    /** The attempt is durably recorded: reserving may begin. */
    void recorded();

    /** Appends the orders that are due for @p worker, with the member of each, and marks these as in flight. */
    void collect(const WorkerId &worker,
                 MonotonicTime now,
                 WallTime wallNow,
                 std::vector<std::pair<WorkerOrder, std::size_t>> &orders);

    /** The worker answered an order about a member. */
    void answered(std::size_t member, OrderKind kind, const OrderResult &result, MonotonicTime now);

    /** No answer came; @p notSent says that the order provably never reached the worker. */
    void unanswered(std::size_t member, OrderKind kind, bool notSent, MonotonicTime now);

    /** The worker reported the state of a member. */
    void observe(std::size_t member, const TaskReport &report);

    /** A complete report of the worker does not contain the member. */
    void absent(std::size_t member);

    /** The worker has restarted: nothing of the gang is left on it. */
    void workerRestarted(const WorkerId &worker);

    /** The worker is lost: the gang stops; what runs on that worker ends with its lease. */
    void workerLost(const WorkerId &worker, MonotonicTime now);

    /** Stops all members; those that still run at @p stopBy are stopped without a checkpoint. */
    void stop(bool checkpoint, MonotonicTime stopBy, MonotonicTime now);

    /** A renewal that covers the gang is sent to @p worker now. */
    void renewalSent(const WorkerId &worker, MonotonicTime now);

    /** Whether renewals cover the gang. */
    bool renewable() const
    {
        return m_phase == Phase::Running;
    }

    /** Acts on what is known and on time; returns what is new, in order. */
    std::vector<GangOutcome> advance(MonotonicTime now);

    /** When advance() or collect() next has something to do for lack of news. */
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
    enum class Cause {
        None,
        CouldNotStart,
        Stopped,
        Failed,
    };

    bool isOver(const GangMember &member) const;
    bool allOver() const;
    bool allSucceeded() const;
    void beginStopping(Cause cause, bool checkpoint, MonotonicTime stopBy);
    void expireMembers(MonotonicTime now);
    void judgeReserving(MonotonicTime now);
    void judgeStarting(MonotonicTime now, std::vector<GangOutcome> &outcomes);
    void judgeRunning(MonotonicTime now, std::vector<GangOutcome> &outcomes);
    GangOutcome finalOutcome() const;
    std::optional<WorkerOrder> dueOrder(GangMember &member, MonotonicTime now, WallTime wallNow);
    WorkerOrder reserveOrder(GangMember &member, MonotonicTime now) const;
    WorkerOrder startOrder(GangMember &member, MonotonicTime now, WallTime wallNow) const;
    std::optional<WorkerOrder> endingOrder(GangMember &member, MonotonicTime now) const;

    GangPlan m_plan;
    SchedulerTiming m_timing;
    std::vector<GangMember> m_members;
    Phase m_phase = Phase::Recording;
    Cause m_cause = Cause::None;
    MonotonicTime m_startBy{};
    bool m_checkpoint = false;
    MonotonicTime m_stopBy{};
    std::vector<WorkerId> m_refusedBy;
    WorkerId m_failedOn;
};

} // namespace coriander
