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

/** Progress of the order that starts a run. */
enum class StartState {
    /** The assignment is not stored yet, or the order is not sent yet. */
    NotSent,
    Sent,
    Accepted,
    /** The order was not answered, or an earlier owner sent it. The run may exist or may still start. */
    Unclear,
};

/** A run of a task that uses, or may use, capacity of a worker. */
struct Run {
    TaskKey task;
    std::int64_t number = 0;
    decision::Resources resources;
    StartState start = StartState::NotSent;
    /** When the start order was answered or timed out; for a run that was restored, reported by the worker or affected
     * by the worker's restart, when that happened. */
    MonotonicTime startCallEndedAt;
    /** Whether an earlier owner placed the run; the worker ignores that owner's orders once it has seen this epoch. */
    bool earlierTerm = false;
    /** Whether the worker accepted the start, or listed the run. */
    bool present = false;
    /** Whether the run is known to have begun: a member of a gang begins when all members are present. */
    bool begun = false;
    /** Whether the worker has listed the run as running. */
    bool seenRunning = false;
    /** When the worker first listed the run as running. */
    MonotonicTime runningSince;
    /** Percent done when the worker first listed the run. */
    int firstPercent = 0;
    int percent = 0;
    /** When @c percent last rose. */
    MonotonicTime progressedAt;
    /** Percent per second between the last two samples; no value before the second sample. */
    std::optional<double> rate;
    int samplePercent = 0;
    MonotonicTime sampledAt;
    bool stopWanted = false;
    bool stopInFlight = false;
    /** When the worker confirmed a stop; from then on it refuses to start this run. */
    std::optional<MonotonicTime> stopConfirmedAt;
    MonotonicTime nextStopAt;
};

/** A reading of a worker's clock. */
struct ClockSample {
    WorkerClockMs clock;
    /** When the answer with the reading arrived, which is after the clock was read. */
    MonotonicTime receivedAt;
};

/** The owner's state of one worker. */
struct Worker {
    WorkerReport report;
    /** Whether discovery lists the worker. */
    bool listed = false;
    /** Whether the worker was restarted after its report: the new process may be of another kind, so it gets no new
     * work before its own report is read. */
    bool reportOutdated = false;
    /** Earliest time at which a draining worker leaves, by its reports; NeverDue if it is not known. */
    MonotonicTime leavesAt = NeverDue;
    std::map<RunKey, Run> runs;
    decision::Resources used;
    std::optional<ClockSample> clock;
    /** Latest end of a lease in the orders of this term. */
    WorkerClockMs leaseUntil;
    bool leaseGranted = false;
    /** When all leases granted in an earlier term, or to an earlier incarnation, have ended. */
    MonotonicTime earlierLeasesEndAt;
    bool holdInFlight = false;
    MonotonicTime holdSentAt;
    /** Latest time at which the worker should answer the hold in flight. */
    MonotonicTime holdDueAt;
    /** Number of start orders without an answer, and when the first of them was sent. */
    int startsInFlight = 0;
    MonotonicTime startsDueAt;
    /** When the worker last answered any order. */
    MonotonicTime lastAnswerAt;
    MonotonicTime nextHoldAt;
    /** When the last hold answer arrived; it carries the worker's incarnation and lists. */
    MonotonicTime lastHoldAt;
    /** Whether the worker answered a hold in this term, so that its runs are known. */
    bool known = false;
    /** Number of orders in a row without an answer. */
    int silentCalls = 0;
    /** Highest number of an end that was processed, and of one whose effect is stored. */
    std::int64_t lastProcessedEnd = 0;
    std::int64_t lastStoredEnd = 0;
    /** Highest number of an end that the worker was told to forget. */
    std::int64_t lastAcknowledgedEnd = 0;
    /** Number of runs that were completed in this term. */
    std::size_t runsDone = 0;
    /** When the start of its latest completed run was answered. */
    std::optional<MonotonicTime> lastCompletedStartAt;
    /** Number of failed runs since the last completed one. */
    int failuresInRow = 0;
    /** The jobs of these runs. */
    std::set<JobId> jobsOfFailures;
    /** Until when the worker gets no new work because its runs fail, are slow or stall, or it refused a start. */
    MonotonicTime avoidedUntil;
};

/**
 * The workers of all pools with their runs and the capacity that the runs use. Thread safety: not thread safe.
 */
class WorkerTable
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

    /** Adds a run and subtracts its capacity. Precondition: the worker is in the table under the id of its report, and
     * has no run with the same key. */
    Run &addRun(Worker &worker, Run run);

    /** Removes a run and frees its capacity; returns whether the worker had the run. */
    bool removeRun(Worker &worker, const RunKey &key);

    /** Number of runs of the step on each worker that has any, runs that are being stopped included. */
    std::map<WorkerId, std::size_t> countRuns(const StepKey &step) const;

    /** Number of runs on all workers. */
    std::size_t runCount() const
    {
        return m_runCount;
    }

    /** Capacity of a worker that no run uses; negative where runs use more than the worker reports. */
    static decision::Resources freeCapacity(const Worker &worker);

private:
    std::map<WorkerId, Worker> m_workers;
    /** Number of runs of each step on each worker that has any. */
    std::map<StepKey, std::map<WorkerId, std::size_t>> m_runsOfSteps;
    std::size_t m_runCount = 0;
};

/** Component-wise arithmetic and comparison. */
decision::Resources plus(const decision::Resources &left, const decision::Resources &right);
decision::Resources minus(const decision::Resources &left, const decision::Resources &right);
bool fitsInto(const decision::Resources &need, const decision::Resources &room);

/** Whether a run that was started after @p since shows that the worker does not fail what it starts: it was completed,
 * or goes on. A worker reports the end of a run at once, so a run is known to go on while the worker answers. */
bool isProvenSince(const Worker &worker, MonotonicTime since, MonotonicTime now);

/** Lowest possible reading of the worker's clock at @p now, given that the clock may run slow. */
WorkerClockMs earliestClock(const ClockSample &sample, MonotonicTime now);

/** Whether all leases that were granted to the worker in this term have certainly ended; false if none was granted. */
bool leasesHaveEnded(const Worker &worker, MonotonicTime now);

} // namespace coriander::workflow
