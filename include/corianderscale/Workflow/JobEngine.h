#pragma once

#include "corianderscale/Decision/FailureWave.h"
#include "corianderscale/Decision/JobBacklog.h"
#include "corianderscale/Decision/PlanningBudget.h"
#include "corianderscale/Decision/PoolCapacity.h"
#include "corianderscale/Decision/RunLimits.h"
#include "corianderscale/Decision/WorkerSpeed.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/AdviceCache.h"
#include "corianderscale/Workflow/Catalogue.h"
#include "corianderscale/Workflow/DataCentreWatch.h"
#include "corianderscale/Workflow/JobTable.h"
#include "corianderscale/Workflow/Placement.h"
#include "corianderscale/Workflow/Reclaim.h"
#include "corianderscale/Workflow/RowStore.h"
#include "corianderscale/Workflow/UrgentReserve.h"
#include "corianderscale/Workflow/WaitingSteps.h"
#include "corianderscale/Workflow/WorkerTable.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace coriander::workflow {

/** Timeouts, intervals and limits of the engine; the deployment's settings replace the defaults of @c lease and @c
 * longestLease. */
struct EngineTimes {
    /** Length of the lease that orders give to a worker's runs. Shorter than the deployment's longest lease, longer
     * than the election of a new owner. */
    Duration lease = std::chrono::seconds(8);
    /** Upper limit that workers apply to every lease; set by the deployment. */
    Duration longestLease = std::chrono::seconds(10);
    /** Added to the end of a lease when that end is computed on this instance's clock instead of read from the worker's
     * clock, which may run 2% slow. */
    Duration leaseMargin = std::chrono::milliseconds(500);
    /** Maximum time for which a worker delays the answer to a hold (an order that extends the lease and asks for the
     * worker's runs); the end of a run is answered at once. Several holds fit into a lease, so the loss of one answer
     * does not end the lease. */
    Duration holdWait = std::chrono::milliseconds(1500);
    /** The same for workers with urgent runs, so that a stalled run is noticed sooner. */
    Duration urgentHoldWait = std::chrono::milliseconds(600);
    /** A worker is assumed to be the same incarnation for this long after its last hold answer. Shorter than the start
     * of a worker process. */
    Duration sameIncarnationWindow = std::chrono::milliseconds(200);
    /** Timeout of an order; an answer normally takes a few ms. */
    Duration orderTimeout = std::chrono::milliseconds(1000);
    /** Pause before an unanswered stop or hold is sent again. */
    Duration retryAfter = std::chrono::milliseconds(300);
    /** A run whose start was not answered is stopped when the worker does not list it for this long. Short, because a
     * gang that lacks one run has to be started again as a whole. */
    Duration unclearStartTimeout = std::chrono::milliseconds(800);
    /** Pause before the next hold while reported ends of runs wait to be stored; holds go on so that leases do not
     * lapse while the store is unreachable. */
    Duration unstoredRunEndsPause = std::chrono::milliseconds(1000);
    /** Maximum time between two planning passes when no event triggers one; picks up occurrences that became due. */
    Duration planInterval = std::chrono::milliseconds(200);
    /** Leases are granted only for this long after the store last confirmed the term. A new owner adds the same time
     * when it waits for earlier leases to end. */
    Duration leaseGrantWindow = std::chrono::seconds(4);
    /** How long room freed by preemption stays claimed for the step that preempted; longer than a stop takes. */
    Duration claimTimeout = std::chrono::milliseconds(2500);
    /** How long a task that lasts waits for room before it preempts work of lower priority. */
    Duration lastingWait = std::chrono::seconds(2);
    /** How long a worker gets no new work after several failed runs in a row; several times the run time of a typical
     * task. */
    Duration failureAvoidTime = std::chrono::seconds(10);
    /** How long an ended job is remembered, so that a delayed change feed of the jobs table does not add it again;
     * longer than the platform keeps the changes of its feeds. */
    Duration endedJobRetention = std::chrono::seconds(60);
    /** Nothing is started while the reports of the workers are older. Shorter than the time after which a worker that
     * drains must get no new work, 2 s. */
    Duration maximumDiscoveryAge = std::chrono::milliseconds(1500);
    /** Typical age of a worker's report when it is read. */
    Duration reportAge = std::chrono::milliseconds(400);
    /** Nothing is started while the last successful read of the evacuated data centres began longer ago than this. With
     * orderTimeout it is less than the 5 s after which no task may be started in an evacuated data centre. It spans
     * two calls that wait for a change, or one of them and one lost answer. */
    Duration maximumEvacuationsAge = std::chrono::milliseconds(3000);
    /** How long a worker gets no new work after it refused a start. */
    Duration refusalAvoidTime = std::chrono::seconds(2);
    /** Work of one part of a planning pass, see decision::PlanningBudget; and the pause after it, in which the event
     * loop does other work. */
    std::size_t planningWork = decision::PlanningBudget::MaximumWork;
    Duration planningPause = std::chrono::milliseconds(40);
    /** Memory of open jobs from which on entry VMs refuse further ones, see decision::JobBacklog. */
    std::size_t backlogBytes = decision::JobBacklog::MaximumBytes;
};

/** Counts of events since the term began. */
struct EngineCounts {
    std::size_t startsSent = 0;
    /** Runs of this term that are known to have begun. */
    std::size_t runsBegun = 0;
    std::size_t preempted = 0;
    std::size_t moved = 0;
    /** Runs stopped because their worker was about to leave. */
    std::size_t evacuated = 0;
    std::map<EndKind, std::size_t> ended;
    /** Completed runs that had been given up before their end was listed. */
    std::size_t completedAfterGivenUp = 0;
    /** How often a planning pass stopped because its budget was spent, and was continued later. */
    std::size_t planningContinued = 0;
};

/** Rows to store in one transaction, and the actions that follow once they are stored. */
struct EngineBatch {
    std::vector<Row> written;
    std::vector<RowName> removed;
    /** Runs whose start order may be sent. */
    std::vector<std::pair<WorkerId, RunKey>> starts;
    /** For each worker, the incarnation and the highest number of an end whose effect is stored once this batch is; the
     * worker may then forget the ends up to this number. */
    std::map<WorkerId, std::pair<Incarnation, std::int64_t>> processedEnds;
    /** Bytes of the written values. */
    std::size_t valueBytes = 0;

    void write(Row row)
    {
        valueBytes += row.value.size();
        written.push_back(std::move(row));
    }

    /** Whether @p rows more rows with values of @p bytes in all stay within the limits. */
    bool hasRoom(const ChangeLimits &limits, std::size_t rows, std::size_t bytes) const
    {
        return written.size() + removed.size() + rows <= limits.entries && valueBytes + bytes <= limits.valueBytes;
    }

    bool empty() const
    {
        return written.empty() && removed.empty() && processedEnds.empty();
    }
};

/**
 * Schedules the jobs of one term: keeps track of waiting jobs and of runs on workers, places tasks and sends orders.
 * A start is sent only after the assignment is stored. A worker may forget an end only after its effect is stored.
 *
 * A run is treated as existing until one of these holds: the worker lists its end; the worker confirmed a stop and
 * lists neither the run nor its end, and all its ends; the worker's incarnation is gone; all leases of the worker have
 * certainly ended. Only then may the task run again. The completion of any of its runs completes a task, also when the
 * run was taken for ended before; the task's latest run is then stopped, which its job's end does not wait for.
 *
 * Thread safety: only on the thread of the event loop. Completions of orders that arrive after destruction are
 * ignored.
 */
class JobEngine
{
public:
    /** @p requestStorage is called when there are changes to store. @p orders must outlive the engine. */
    JobEngine(EngineTimes times, Clock clock, Epoch epoch, WorkerOrders &orders, std::function<void()> requestStorage);
    ~JobEngine();
    JobEngine(const JobEngine &) = delete;
    JobEngine &operator=(const JobEngine &) = delete;

    /** The advisor decides which workers a step may use, for queues that require this. Without an advisor the steps of
     * these queues wait. @p advisor must outlive the engine. */
    void setAdvisor(Advisor *advisor);

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue);

    /** @name Jobs */
    ///@{
    /** Adds a job; a job that is already known or ended recently is ignored. */
    void addJob(JobSpec spec);
    /** Restores the progress that an earlier owner stored for an occurrence of a job that was added; returns false if
     * the job is not known. Call for all stored rows before finishRestore(). */
    bool restoreProgress(const JobId &id, std::size_t occurrence, const OccurrenceRecord &record);
    /** Restores the states and the runs of all jobs from their progress. Call once, before the first step(). */
    void finishRestore();
    /** Removes stored progress of a job that has ended; an earlier owner had not removed all of it. */
    void removeProgress(const JobId &id, const std::set<std::size_t> &occurrences);
    /** Cancels a job: stops its runs and starts no new ones. An unknown job is ignored. */
    void cancelJob(const JobId &id);
    ///@}

    /** @name Workers */
    ///@{
    /** Adds or updates a worker that discovery lists. */
    void handleWorkerReport(const WorkerReport &report);
    /** Called when discovery no longer lists the worker. The worker gets no new work; its runs are kept until their
     * leases end. */
    void handleWorkerUnlisted(const WorkerId &id);
    /** Called when all reports that discovery had are handled. The engine starts nothing while this was longer ago than
     * EngineTimes::maximumDiscoveryAge, because a worker may have announced since that it leaves. */
    void discoveryRead();
    ///@}

    /** @name Evacuated data centres: the operator wants no new work there; not to be confused with draining workers */
    ///@{
    /** Sets the data centres that get no new work; replaces the earlier set. Runs there continue. Starts there that are
     * not sent yet are abandoned: their tasks wait again, and a gang with such a member is stopped as a whole. */
    void setEvacuatedDataCentres(std::set<DataCentreId> evacuated);
    /** Called when the set is known to be complete as of @p asOf. The engine starts nothing before the first call and
     * while the latest @p asOf is longer ago than EngineTimes::maximumEvacuationsAge. */
    void evacuationsRead(MonotonicTime asOf);
    const std::set<DataCentreId> &evacuatedDataCentres() const;
    /** Number of runs in the data centre that exist or may exist. */
    std::size_t runsIn(const DataCentreId &dataCentre) const;
    ///@}

    /** Places no work until @p until, because the owner is late with the work that runs already. */
    void pausePlacing(MonotonicTime until);

    /** Plans and sends the orders that are due. Call after events and several times a second. */
    void step();

    /** Handles a write that was sent at @p sentAt and confirmed that this instance owns the term. */
    void termConfirmed(MonotonicTime sentAt);

    /** Whether a worker has seen a higher epoch, that is, another instance owns the term. */
    bool superseded() const;

    /** @name Storage; one batch at a time */
    ///@{
    /** Returns the changes to store, as many as @p limits allow; the rest follows in the next batches. Within a batch
     * the state of a job is stored with at least one of its changed occurrences, or with the removal of the job. */
    EngineBatch takeBatch(const ChangeLimits &limits);
    void batchStored(const EngineBatch &batch);
    ///@}

    /** @name For tests and metrics */
    ///@{
    const WorkerTable &workers() const;
    const Job *job(const JobId &id) const;
    std::size_t jobCount() const;
    const decision::JobBacklog &backlog() const
    {
        return m_backlog;
    }
    const EngineCounts &counts() const;
    /** Number of workers whose learned speed is below decision::SlowSpeed. */
    std::size_t slowWorkers() const;
    ///@}

private:
    /** Work of a lower rank is urgent, covered by a guarantee or lasts; where a pass is done in several parts, each
     * part begins with it. */
    static constexpr double UrgentRank = 1;

    /** The waiting tasks of one step of an occurrence. */
    struct Candidate {
        Job *job = nullptr;
        std::size_t occurrence = 0;
        std::size_t step = 0;
        const QueuePolicy *policy = nullptr;
        /** When the occurrence was submitted or due. */
        MonotonicTime since;
        /** Time after which the occurrence is late. */
        MonotonicTime objective;
        /** Whether the step would end after the objective even if it started now. */
        bool late = false;
        /** Whether the organisation's guarantee covers the job. */
        bool guaranteed = false;
        /** See decision::waitingRank(). */
        double rank = 0;
        /** How many of the tasks may be assigned. */
        decision::RunAllowance allowance;
    };

    /** Room that was freed for a step by preemption and is not used by the step yet. */
    struct Claim {
        /** One worker for each task. */
        std::vector<WorkerId> workers;
        decision::Resources perTask;
        MonotonicTime madeAt;
    };
    /** Job, occurrence and step. */
    using ClaimKey = std::tuple<JobId, std::size_t, std::size_t>;

    // JobEngine.cpp
    void markDirty(const TaskKey &key);
    void markState(Job &job, JobState state);
    /** Called when a run is known to have begun; @p evidence says how, for the log. A job that was not known to have
     * begun is then shown as running. */
    void markBegun(const RunKey &key, const char *evidence);
    void completeIfDone(Job &job);
    void failJob(Job &job, const TaskKey &task);
    void stopJob(const Job &job);
    /** Adds the run that an earlier owner assigned. */
    void restoreRun(const Job &job, const TaskKey &key, const Task &task);
    /** Adds the changed rows of a job to the batch; returns false if some did not fit. */
    static bool addRowsOf(Job &job, const ChangeLimits &limits, EngineBatch &batch, WallTime now);
    /** Adds the end of a job to the batch and forgets the job; returns false, without a change, if it did not fit. */
    bool addEndOf(Job &job, const ChangeLimits &limits, EngineBatch &batch);
    /** Adds rows of changed jobs, and rows of jobs with a new policy; return false if some did not fit. */
    bool addDirtyJobs(const ChangeLimits &limits, EngineBatch &batch);
    bool addPolicies(const ChangeLimits &limits, EngineBatch &batch);
    void removeLeftoverProgress(const ChangeLimits &limits, EngineBatch &batch);
    void forgetEndedJobs(MonotonicTime now);
    Job *findJob(const JobId &id);
    /** The job of a task; null if it is not known or has no such task, which a worker's list may name. */
    Job *findJobOf(const TaskKey &key);
    const Job *findJobOf(const TaskKey &key) const;
    /** Number of failed runs of a task after which its job fails; no value while no policy of its queue is known. */
    static std::optional<int> maximumAttempts(const Job &job);
    /** Takes over the policy that the configuration has for the job's queue; keeps the last one if it has none. */
    void updatePolicy(Job &job);
    /** Adds the memory of a job to the backlog, or takes it off; logs when the backlog becomes full or no longer is. */
    void countInBacklog(const Job &job, bool added);
    /** Logs the queues of open jobs that are not configured. */
    void logMissingQueues() const;
    /** Fails the job if a task that waits has no attempts left, which may become known only when its queue is back. */
    void failIfOutOfAttempts(Job &job);

    // JobEngineRuns.cpp
    /** What an end that a worker lists means for its task. */
    enum class EndEffect {
        /** The task's latest run has ended. */
        Counted,
        /** A run that had been given up has completed the task. */
        CompletesTask,
        /** The run had been given up and did not complete the task, or the task or its job needs no end any more. */
        Ignored,
        /** The job is not known, or has no such task. */
        TaskUnknown,
    };
    static const char *endEffectName(EndEffect effect);
    EndEffect effectOf(const Worker &worker, const RunKey &key, EndKind kind) const;
    void runEnded(
        Worker &worker, const RunKey &key, EndKind kind, EndEffect effect, const std::string &checkpoint = {});
    /** Called when the worker accepted the start of a run, or lists the run. */
    void runPresent(Worker &worker, const RunKey &key, const char *evidence);
    /** Called when a run is known to have begun; the worker may no longer have it. */
    void runBegun(Worker &worker, const RunKey &key, const char *evidence);
    /** Whether the end of a run shows that it had begun. */
    static bool provesBegin(const StepSpec &step, const EndedTask &end);
    void runGone(Worker &worker, const RunKey &key, const char *cause);
    void taskEnded(Job &job, const TaskKey &key, EndKind kind, const std::string &checkpoint, const WorkerId &worker);
    /** Marks the task done, or all tasks of its step if that is a gang, and stops their runs other than @p run. */
    void completeTask(Job &job, const TaskKey &key, std::int64_t run);
    void countFailure(Job &job, const TaskKey &key, const WorkerId &worker);
    void stopGang(const Job &job, const TaskKey &key, std::int64_t run);
    void stopRun(const WorkerId &worker, const RunKey &key);
    void workerLost(Worker &worker, const char *cause);
    void workerRestarted(Worker &worker, Incarnation incarnation);

    // JobEngineOrders.cpp
    void sendStart(Worker &worker, Run &run);
    /** The worker and the incarnation that an order was sent to; answers from an earlier incarnation are ignored. */
    struct Addressee {
        WorkerId worker;
        Incarnation incarnation;
    };
    static Addressee addresseeOf(const Worker &worker);
    Worker *findAddressee(const Addressee &to);
    void startAnswered(const Addressee &to, const RunKey &key, const OrderAnswer &answer);
    void sendDueStops(Worker &worker, MonotonicTime now);
    void stopAnswered(const Addressee &to, const RunKey &key, const OrderAnswer &answer);
    void sendDueHold(Worker &worker, MonotonicTime now);
    bool isHoldDue(const Worker &worker, MonotonicTime now) const;
    /** A hold that was sent; its worker may have been forgotten and listed again since, and have a later hold. */
    struct SentHold {
        Addressee to;
        MonotonicTime sentAt;
        /** Highest number of an end that the hold told the worker to forget. */
        std::int64_t acknowledged = 0;
    };
    void holdAnswered(const SentHold &hold, const HoldAnswer &answer);
    /** Records what the end of a run shows about its worker. */
    void recordHealth(Worker &worker, const EndedTask &end);
    /** Counts a failed run, and gives the worker no new work for a while if it is to blame. */
    void recordFailure(Worker &worker, const TaskKey &task);
    void processEnds(Worker &worker, const std::vector<EndedTask> &ends);
    /** Makes sure that the next run of a waiting task gets a higher number than @p run. */
    void raiseRunNumber(const TaskKey &key, std::int64_t run);
    void processRunning(Worker &worker, const std::vector<RunningTask> &running);
    /** Deals with runs that the answer to a hold sent at @p sentAt does not list. */
    void checkUnlistedRuns(Worker &worker, MonotonicTime sentAt, const HoldAnswer &answer);
    /** Records an answer, or that none arrived. Returns false if none arrived, another worker answered at the address,
     * or the worker has seen a higher epoch. */
    bool recordAnswer(Worker &worker, const OrderAnswer &answer);
    Duration holdWait(const Worker &worker) const;
    std::optional<WorkerClockMs> grantLease(Worker &worker);
    OrderTarget targetOf(const Worker &worker) const;
    void expireLeases(MonotonicTime now);

    // JobEnginePlan.cpp
    /** Whether nothing may be placed now: the reports of the workers or the evacuated data centres were read too long
     * ago, or the owner is late. Logs when this changes. */
    bool isPlacingPaused(MonotonicTime now);
    void plan(MonotonicTime now);
    /** Places waiting steps until the budget is spent; the next pass continues from there. */
    void placeWaiting(WaitingSteps &waiting, PlacementBoard &board, MonotonicTime now);
    /** Whether a later occurrence of the step may find room where this one finds none. */
    bool mayDifferFromLaterOccurrences(const Candidate &candidate) const;
    /** Sets the speeds of the board's workers, if the pool is uneven. */
    void markSpeeds(PlacementBoard &board) const;
    /** Learned speeds of the workers of a service; null while it has no slow workers. */
    const decision::WorkerSpeeds *unevenSpeeds(const ServiceName &service) const;
    /** Lowest learned speed of these workers; 0 if none is known. */
    double slowestSpeed(const std::vector<WorkerId> &workers) const;
    /** Whether slow workers are fast enough for the candidate's step. */
    bool canRunOnSlowWorkers(const Candidate &candidate, MonotonicTime now) const;
    /** Lowest speed of a worker for the candidate's step; 0 for any. */
    double minimumSpeed(const Candidate &candidate, MonotonicTime now) const;
    PlacementNeed needOf(const Candidate &candidate, const std::vector<std::size_t> &tasks, MonotonicTime now);
    /** See decision::endsPreferences(). */
    bool endsPreferences(const Candidate &candidate, MonotonicTime now);
    /** Share of the capacity of a pool that is in use, from 0 to 1, as known at the beginning of the planning pass. */
    double usedShare(const ServiceName &service, bool accelerators);
    static std::vector<std::size_t> waitingTasks(const Candidate &candidate);
    static StepKey stepKey(const Candidate &candidate);
    /** Since when tasks of the candidate's step wait for room; no value if no planning pass has come to the step. */
    static std::optional<MonotonicTime> waitingSince(const Candidate &candidate);
    /** Whether a run of one of these tasks has failed. */
    static bool hasFailed(const Candidate &candidate, const std::vector<std::size_t> &tasks);
    /** Reserves workers where a gang will soon fit, so that later candidates of this pass do not use them. */
    void reserveForGang(const PlacementNeed &need, PlacementBoard &board);
    enum class PlaceOutcome {
        Placed,
        /** Runs are being stopped to make room. */
        Reclaimed,
        NoRoom,
    };
    /** Places waiting tasks of the step, as many as the limits of runs allow. */
    PlaceOutcome place(Candidate candidate, PlacementBoard &board, MonotonicTime now);
    PlaceOutcome placeWithinAllowance(const Candidate &candidate, PlacementBoard &board, MonotonicTime now);
    /** Places tasks as @p need says: all together if the step is a gang. */
    std::vector<std::size_t> findRoom(const PlacementNeed &need, bool gang, PlacementBoard &board);
    /** Marks the workers that proved themselves since a wave of failures began or may have begun. */
    void markProvenWorkers(PlacementBoard &board, MonotonicTime now);
    /** Whether the task waits for a proven worker, because one more failure would fail its job. */
    bool waitsForProof(const Job &job, const Task &task, MonotonicTime now) const;
    /** Places waiting tasks on proven workers, and removes from @p tasks those that were placed and those that have to
     * wait for a proven worker. */
    void placeOnProvenWorkers(const Candidate &candidate,
                              std::vector<std::size_t> &tasks,
                              PlacementBoard &board,
                              MonotonicTime now);
    void assignTo(const Candidate &candidate,
                  const std::vector<std::size_t> &tasks,
                  const std::vector<std::size_t> &entries,
                  const PlacementBoard &board,
                  MonotonicTime now);
    void assign(const Candidate &candidate,
                const std::vector<std::size_t> &tasks,
                const std::vector<WorkerId> &workers,
                MonotonicTime now);

    // JobEngineAdvice.cpp
    /** Whether the step may preempt runs when it finds no room. */
    bool mayPreempt(const Candidate &candidate, MonotonicTime now) const;
    /** Proposes to ask the advisor about the step, of which @p missing tasks found no approved worker with room; @p
     * need is what they were placed with. */
    void proposeQuestion(const Candidate &candidate,
                         const PlacementNeed &need,
                         std::size_t missing,
                         PlacementBoard &board,
                         MonotonicTime now);
    /** Sends the question that comes first among those proposed in this part of the pass. */
    void askAdvisor(const PlacementBoard &board, MonotonicTime now);

    // JobEngineWaiting.cpp
    /** The waiting steps that the workers could run if they were empty, in the order in which they are placed. */
    WaitingSteps waitingSteps(MonotonicTime now);
    void addWaitingStep(Job &job,
                        const QueuePolicy &policy,
                        std::size_t step,
                        std::size_t due,
                        MonotonicTime now,
                        WaitingSteps &into) const;
    /** Whether the listed workers could run the step if they were empty. */
    bool canEverRun(const StepSpec &step, const ServiceName &service) const;
    void updatePools();
    /** When an occurrence was submitted or due. */
    MonotonicTime countedSince(const Job &job, std::size_t occurrence) const;
    /** Time after which an occurrence is late; @p chain is the expected time of its longest chain of steps. */
    MonotonicTime objectiveOf(const Job &job, const QueuePolicy &policy, std::size_t occurrence, Duration chain) const;

    // JobEngineReclaim.cpp
    /** The jobs of priority 0 that their organisation's guarantee covers; older jobs are covered first. */
    std::set<JobId> guaranteedJobs() const;
    UrgentReserve::Demand urgentDemand() const;
    bool isWorthPreempting(const Candidate &candidate, const ReclaimPlan &plan, const PlacementBoard &board) const;
    /** The cheapest runs to stop for the candidate's step, if that is worth it. */
    std::optional<ReclaimPlan> findReclaim(const Candidate &candidate,
                                           const PlacementNeed &need,
                                           const PlacementBoard &board,
                                           MonotonicTime now);
    /** Stops runs that make room for the candidate's step; returns whether it did. */
    bool reclaim(const Candidate &candidate, const PlacementNeed &need, PlacementBoard &board, MonotonicTime now);
    /** Cost of stopping the run, in core equivalents times seconds of lost run time; no value if the run must not be
     * stopped for the claimant: it gives way to a higher priority, or, if no guarantee covers its job, to a guarantee.
     */
    std::optional<double> victimCost(const Run &run, const Candidate &claimant, MonotonicTime now) const;
    /** Subtracts the claimed room from the board if @p taken, else adds it back. */
    void applyClaim(const Claim &claim, PlacementBoard &board, bool taken);
    /** Takes the claimed room and returns the entries of the claimed workers, one for each task. Returns none and takes
     * no room while one of the workers has too little. */
    std::vector<std::size_t> placeOnClaim(const Claim &claim, PlacementBoard &board);
    void dropExpiredClaims(MonotonicTime now);

    // JobEngineDrain.cpp
    /** Expected time until a run ends, from its measured progress or, without that, from the estimate of its step. */
    Duration timeToEnd(const Worker &worker, const Run &run, MonotonicTime now) const;
    /** Stops runs on draining workers that would not end before their worker leaves. */
    void evacuateDrainingWorkers(MonotonicTime now);
    void evacuateRun(const Worker &worker, const RunKey &key, MonotonicTime now);

    // JobEngineDataCentres.cpp
    bool isEvacuated(const Worker &worker) const;
    std::size_t workersIn(const DataCentreId &dataCentre) const;
    /** Whether the evacuated data centres were read in this term, and recently enough to start work. */
    bool knowsEvacuations(MonotonicTime now) const;
    /** Stops the runs in the data centre whose start was not sent, and their gangs; returns their number. */
    std::size_t abandonUnsentStarts(const DataCentreId &dataCentre);
    /** Drops the claims that include a worker of an evacuated data centre. */
    void dropEvacuatedClaims();
    /** Logs once for each evacuated data centre that no run is left there. */
    void logEmptyDataCentres();

    // JobEngineMonitor.cpp
    struct MonitoredRun {
        Worker *worker = nullptr;
        Run *run = nullptr;
    };
    /** Finds slow and stalled workers and moves tasks that would miss their objective there but not elsewhere. */
    void monitorRuns(MonotonicTime now);
    /** Learns the speeds of workers from the runs of one step. */
    void observeSpeeds(const Job &job,
                       const QueuePolicy &policy,
                       const StepKey &step,
                       const std::vector<MonitoredRun> &runs);
    /** Estimates the speeds of workers from all observations; logs when the pool becomes uneven or even. */
    void updateSpeeds();
    /** Precondition: the step is open. */
    std::vector<MonitoredRun> monitoredRuns(const Job &job, const StepIndex &step);
    void monitorStep(Job &job, const QueuePolicy &policy, const StepIndex &step, MonotonicTime now);
    /** @p reference is the typical progress of the step's runs, in percent per second; 0 if no run progresses. */
    void markWorkerSlow(Worker &worker, const Run &run, double reference, MonotonicTime now);
    /** @p reference as for markWorkerSlow(). */
    bool isWorthMoving(const Job &job,
                       const QueuePolicy &policy,
                       const Run &run,
                       double reference,
                       bool stalled,
                       MonotonicTime now) const;
    void moveRun(Job &job, const Run &run);

    EngineTimes m_times;
    Clock m_clock;
    Epoch m_epoch;
    WorkerOrders &m_orders;
    std::function<void()> m_requestStorage;
    decision::JobBacklog m_backlog;
    AdviceCache m_advice;
    std::shared_ptr<const Catalogue> m_catalogue;
    std::map<JobId, Job> m_jobs;
    WorkerTable m_workers;
    std::map<ClaimKey, Claim> m_claims;
    /** The jobs that a guarantee covers in the present planning pass. */
    std::set<JobId> m_coveredJobs;
    UrgentReserve m_urgentReserve;
    decision::FailureWave m_failureWave;
    /** By service, because no step runs on workers of two services. */
    std::map<ServiceName, decision::WorkerSpeeds> m_workerSpeeds;
    /** Whether there is a wave of failures in the present planning pass, and whether workers are marked as proven. */
    bool m_waveInPass = false;
    bool m_provenMarked = false;
    /** Used and total capacity of each pool in the present planning pass; filled when first asked for. */
    std::map<ServiceName, std::pair<decision::Resources, decision::Resources>> m_poolUse;
    /** What the listed workers of each pool could hold, and whether it has to be computed again. */
    std::map<ServiceName, decision::PoolCapacity> m_pools;
    bool m_poolsOutdated = true;
    /** What decides whether a need finds any room, apart from the state of the board. */
    using NeedKey = std::tuple<ServiceName,
                               std::string,
                               RackId,
                               decision::Resources,
                               std::size_t,
                               std::size_t,
                               std::size_t,
                               double,
                               std::array<bool, 7>>;
    /** Needs that found no room in the present planning pass. */
    std::set<NeedKey> m_fullNeeds;
    decision::PlanningBudget m_planningBudget;
    /** Where the last planning pass stopped because its budget was spent. */
    std::optional<PlanningPosition> m_planContinuesAfter;
    /** Share of the accelerators in use; valid while workers are marked as proven. */
    double m_usedShare = 0;
    DataCentreWatch m_dataCentreWatch;
    /** Jobs with rows to store, in order of the job id; and the last one whose rows were taken. */
    std::set<JobId> m_dirtyJobs;
    JobId m_lastStoredJob;
    /** Jobs whose row has an older policy of their queue. */
    std::set<JobId> m_jobsWithNewPolicy;
    /** Keys of progress rows of ended jobs that are still to be removed. */
    std::vector<std::string> m_leftoverProgress;
    /** Jobs that ended recently, with the time; a delayed feed may still show them. */
    std::map<JobId, MonotonicTime> m_endedJobs;
    /** Workers with ends of runs that were processed but are in no batch yet. */
    std::set<WorkerId> m_workersWithUnstoredEnds;
    MonotonicTime m_startedAt;
    MonotonicTime m_termConfirmedAt;
    MonotonicTime m_nextPlanAt;
    MonotonicTime m_nextMonitorAt;
    MonotonicTime m_nextDrainCheckAt;
    MonotonicTime m_discoveryReadAt;
    std::set<DataCentreId> m_evacuatedDataCentres;
    /** The evacuated data centres that were logged as empty and still are. */
    std::set<DataCentreId> m_emptyDataCentres;
    /** When the last successful read of the evacuated data centres began; no value before the first one. */
    std::optional<MonotonicTime> m_evacuationsReadAt;
    MonotonicTime m_placingPausedUntil;
    bool m_placingPaused = false;
    MonotonicTime m_nextForgetAt;
    bool m_planWanted = true;
    EngineCounts m_counts;
    bool m_superseded = false;
    /** Expires with the engine; completions of orders check it through a weak reference. */
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
