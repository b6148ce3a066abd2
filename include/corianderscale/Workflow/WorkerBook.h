#pragma once

#include "corianderscale/Workflow/WorkerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander::workflow {

/** Where the order to start a run stands. */
enum class StartState {
    /** The intent is not stored yet, or the order waits. */
    NotSent,
    Sent,
    Accepted,
    /** No answer, or found by a new owner: the run may be there or may still come. */
    Unclear,
};

/** A run of a task that takes, or may take, capacity of a worker. */
struct Run {
    TaskKey task;
    std::int64_t number = 0;
    decision::Resources resources;
    StartState start = StartState::NotSent;
    /** When the outcome of the start order became known or was given up. */
    MonotonicTime startSettledAt;
    /** Whether an earlier owner placed it; that owner's orders are ignored once the worker saw this epoch. */
    bool earlierTerm = false;
    bool seenRunning = false;
    /** When the worker first listed it as running. */
    MonotonicTime runningSince;
    int percent = 0;
    /** When @c percent last rose. */
    MonotonicTime progressedAt;
    /** Percent a second between the last two samples. */
    std::optional<double> rate;
    int samplePercent = 0;
    MonotonicTime sampledAt;
    bool stopWanted = false;
    bool stopInFlight = false;
    /** When the worker confirmed a stop: it refuses this run from then on. */
    std::optional<MonotonicTime> stopConfirmedAt;
    MonotonicTime nextStopAt;
};

/** A reading of a worker's clock. */
struct ClockSample {
    WorkerClockMs clock;
    /** When the answer with it arrived; the clock was read before. */
    MonotonicTime receivedAt;
};

/** What the owner knows of one worker. */
struct Worker {
    WorkerReport report;
    /** Whether discovery lists it. */
    bool listed = false;
    std::map<RunKey, Run> runs;
    decision::Resources used;
    std::optional<ClockSample> clock;
    /** Latest lease end in any order of this term. */
    WorkerClockMs leaseUntil;
    bool leaseGiven = false;
    /** When leases that orders of an earlier term, or to an earlier life, may have given have ended. */
    MonotonicTime foreignLeasesOver;
    bool holdInFlight = false;
    MonotonicTime holdSentAt;
    /** When the worker was asked to answer the hold in flight at the latest. */
    MonotonicTime holdDueAt;
    /** Start orders without an answer, and when the first of them was sent. */
    int startsInFlight = 0;
    MonotonicTime startsDueAt;
    /** When it last answered any call. */
    MonotonicTime lastAnswerAt;
    MonotonicTime nextHoldAt;
    /** When its lists last came, which name its life. */
    MonotonicTime lastHoldAt;
    /** Whether it answered in this term, so that its runs are known. */
    bool known = false;
    /** Calls in a row without an answer. */
    int silentCalls = 0;
    /** Highest number of an end that was taken over here, and that is stored. */
    std::int64_t endsTaken = 0;
    std::int64_t endsRecorded = 0;
    /** Highest number that the worker was told that it may forget. */
    std::int64_t endsReported = 0;
    /** Runs that were done in this term. */
    std::size_t runsDone = 0;
    /** Failed runs in a row, without one that was done. */
    int failuresInRow = 0;
    /** Until when it gets no work because its runs fail or stand still. */
    MonotonicTime avoidedUntil;
};

/**
 * The workers of all pools with the capacity that runs take. Thread safety: not thread safe.
 */
class WorkerBook
{
public:
    std::map<WorkerId, Worker> &all()
    {
        return m_workers;
    }
    const std::map<WorkerId, Worker> &all() const
    {
        return m_workers;
    }

    Worker *find(const WorkerId &id);

    /** Adds a run and takes its capacity. Precondition: no run with the same key is there. */
    Run &addRun(Worker &worker, Run run);

    /** Removes a run and frees its capacity; returns whether it was there. */
    bool removeRun(Worker &worker, const RunKey &key);

    /** What a worker's free capacity is. */
    static decision::Resources freeOf(const Worker &worker);

private:
    std::map<WorkerId, Worker> m_workers;
};

/** Component-wise arithmetic and comparison. */
decision::Resources plus(const decision::Resources &left, const decision::Resources &right);
decision::Resources minus(const decision::Resources &left, const decision::Resources &right);
bool fitsInto(const decision::Resources &need, const decision::Resources &room);

/** The worker's clock at @p now at the earliest, given that it may run slow. */
WorkerClockMs earliestClock(const ClockSample &sample, MonotonicTime now);

/** Whether all leases that this term gave to the worker have surely ended. */
bool leaseSurelyEnded(const Worker &worker, MonotonicTime now);

} // namespace coriander::workflow
