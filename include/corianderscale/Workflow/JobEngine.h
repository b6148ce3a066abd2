#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/AdviceBook.h"
#include "corianderscale/Workflow/Catalogue.h"
#include "corianderscale/Workflow/DataCentreWatch.h"
#include "corianderscale/Workflow/JobTable.h"
#include "corianderscale/Workflow/Placement.h"
#include "corianderscale/Workflow/Reclaim.h"
#include "corianderscale/Workflow/RowStore.h"
#include "corianderscale/Workflow/UrgentReserve.h"
#include "corianderscale/Workflow/WorkerBook.h"

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

/** Times of the engine; the defaults that depend on a deployment are replaced by its settings. */
struct EngineTimes {
    /** Lease of the runs on a worker; under the deployment's longest lease and over a change of owner. */
    Duration lease = std::chrono::seconds(8);
    /** Longest lease that a worker grants, whatever an order says; the deployment's. */
    Duration longestLease = std::chrono::seconds(10);
    /** Addition to leases whose end is not known from the worker's clock, for clocks that run slow by 2%. */
    Duration leaseRounding = std::chrono::milliseconds(500);
    /** How long a hold waits for an end; a few a lease, so that one lost answer does no harm. */
    Duration holdWait = std::chrono::milliseconds(1500);
    /** The same where urgent runs are watched for standing still. */
    Duration urgentHoldWait = std::chrono::milliseconds(600);
    /** A worker whose lists are older may have started again under its id; below the time that a start takes. */
    Duration sameLifeTime = std::chrono::milliseconds(200);
    /** How long an order may go without an answer; an order that is not delayed takes a few ms. */
    Duration orderLimit = std::chrono::milliseconds(1000);
    /** Pause after an order without an answer. */
    Duration retryAfter = std::chrono::milliseconds(300);
    /** How long an unanswered start may stay unlisted before the run is stopped; leaves a gang time to try again. */
    Duration unclearTime = std::chrono::milliseconds(800);
    /** Pause before the next hold while ends wait to be stored; keeps leases alive when the store is away. */
    Duration storeWait = std::chrono::milliseconds(1000);
    /** Time between two passes over the waiting tasks without an event; sees times that have come due. */
    Duration planEvery = std::chrono::milliseconds(200);
    /** Leases are given this long after the store last confirmed the term; a new owner waits as long for old leases. */
    Duration grantTime = std::chrono::seconds(4);
    /** How long room is kept for the step that it was made for; above the time that a stop takes. */
    Duration claimTime = std::chrono::milliseconds(2500);
    /** How long a worker whose runs fail is avoided; several task lengths. */
    Duration avoidTime = std::chrono::seconds(10);
    /** How long an ended job is remembered; above the time for which the platform keeps its feeds. */
    Duration endedTime = std::chrono::seconds(60);
    /** How long a worker that says that it is unhealthy is avoided. */
    Duration unhealthyTime = std::chrono::seconds(2);
};

/** What happened in a term. */
struct EngineCounts {
    std::size_t startsSent = 0;
    std::size_t preempted = 0;
    std::size_t moved = 0;
    std::map<EndKind, std::size_t> ended;
};

/** Rows to store together, and what follows when they are. */
struct EngineBatch {
    std::vector<Row> written;
    std::vector<RowName> removed;
    /** Runs whose start order may be sent. */
    std::vector<std::pair<WorkerId, RunKey>> starts;
    /** Ends up to a number that a worker may forget, in the life that counted them. */
    std::map<WorkerId, std::pair<Incarnation, std::int64_t>> recorded;

    bool empty() const
    {
        return written.empty() && removed.empty() && recorded.empty();
    }
};

/**
 * The owner's mind: which jobs wait, what runs where, what is next. Decides and sends orders; it never sends a start
 * before the intent is stored, and never lets a worker forget an end before its effect is.
 *
 * A run counts as existing until the worker lists its end, or confirms a stop and then lists it no more, or is gone, or
 * all its leases have surely ended. Only then may the task run again.
 *
 * Thread safety: only on the thread of the event loop. Completions of orders that come after destruction are dropped.
 */
class JobEngine
{
public:
    /** @p wantsStorage is called when there are new changes to store. @p orders must outlive the engine. */
    JobEngine(EngineTimes times, Clock clock, Epoch epoch, WorkerOrders &orders, std::function<void()> wantsStorage);
    ~JobEngine();
    JobEngine(const JobEngine &) = delete;
    JobEngine &operator=(const JobEngine &) = delete;

    /** Without one, steps of queues that need advice wait. @p advisor must outlive the engine. */
    void setAdvisor(Advisor *advisor);

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue);

    /** @name Jobs */
    ///@{
    /** Takes over a job with what an earlier owner stored of its occurrences. */
    void restoreJob(JobSpec spec, const std::map<std::size_t, OccurrenceRecord> &progress);
    /** Takes a new job; one that is known is ignored. */
    void addJob(JobSpec spec);
    /** Stops a job's runs and starts no more; an unknown job is ignored. */
    void cancelJob(const JobId &id);
    ///@}

    /** @name Workers */
    ///@{
    void reportWorker(const WorkerReport &report);
    /** Discovery lists the worker no more. It gets no new work; its runs count until their leases end. */
    void unlistWorker(const WorkerId &id);
    ///@}

    /** Sends what is due. Call after events and several times a second. */
    void step();

    /** The store confirmed at @p sentAt or later that this instance owns the term. */
    void termConfirmed(MonotonicTime sentAt);

    /** Whether a worker has seen a higher epoch: another instance owns the term. */
    bool superseded() const;

    /** @name Storage; one batch at a time */
    ///@{
    EngineBatch takeBatch(std::size_t mostRows);
    void batchStored(const EngineBatch &batch);
    ///@}

    /** @name For tests and metrics */
    ///@{
    const WorkerBook &workers() const;
    const Job *job(const JobId &id) const;
    std::size_t jobCount() const;
    const EngineCounts &counts() const;
    ///@}

private:
    /** Tasks that are placed together, or one after the other, and their place in the queue. */
    struct Candidate {
        Job *job = nullptr;
        std::size_t occurrence = 0;
        std::size_t step = 0;
        const QueueSpec *queue = nullptr;
        MonotonicTime objective;
        bool late = false;
        /** Whether the organisation's guarantee covers the job. */
        bool guaranteed = false;
    };

    /** Room that was made for a step by stopping others, until the step takes it. */
    struct Claim {
        /** One for each task. */
        std::vector<WorkerId> workers;
        decision::Resources perTask;
        MonotonicTime madeAt;
    };
    /** Job, occurrence and step. */
    using ClaimKey = std::tuple<JobId, std::size_t, std::size_t>;

    // JobEngine.cpp
    void markDirty(const TaskKey &key);
    void markState(Job &job, JobState state);
    void finishIfDone(Job &job);
    void failJob(Job &job, const TaskKey &task);
    void stopJob(Job &job);
    void addRowsOf(Job &job, EngineBatch &batch);
    void forgetEndedJobs(MonotonicTime now);
    Job *findJob(const JobId &id);
    int mostAttempts(const Job &job) const;

    // JobEngineRuns.cpp
    void runEnded(Worker &worker, const RunKey &key, EndKind kind, const std::string &checkpoint);
    void runGone(Worker &worker, const RunKey &key, const char *cause);
    void taskEnded(Job &job, const TaskKey &key, EndKind kind, const std::string &checkpoint, const WorkerId &worker);
    void countFailure(Job &job, const TaskKey &key, const WorkerId &worker);
    void stopGang(Job &job, const TaskKey &key, std::int64_t run);
    void stopRun(const WorkerId &worker, const RunKey &key);
    void workerLost(Worker &worker, const char *cause);
    void workerRestarted(Worker &worker, Incarnation incarnation);

    // JobEngineOrders.cpp
    void sendStart(Worker &worker, Run &run);
    /** The worker in the life that an order went to; answers of an earlier life say nothing of the present one. */
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
    bool holdDue(const Worker &worker, MonotonicTime now) const;
    void holdAnswered(const Addressee &to, std::int64_t recorded, const HoldAnswer &answer);
    void takeEnds(Worker &worker, const std::vector<EndedTask> &ends);
    /** A later run of a waiting task gets a higher number than @p run. */
    void noteRunNumber(const TaskKey &key, std::int64_t run);
    void takeRunning(Worker &worker, const std::vector<RunningTask> &running);
    void checkUnlisted(Worker &worker, const HoldAnswer &answer);
    bool noteAnswer(Worker &worker, const OrderAnswer &answer);
    Duration holdWait(const Worker &worker) const;
    std::optional<WorkerClockMs> nextLease(Worker &worker);
    OrderTarget targetOf(const Worker &worker) const;
    void expireLeases(MonotonicTime now);

    // JobEnginePlan.cpp
    void plan(MonotonicTime now);
    std::vector<Candidate> candidates(MonotonicTime now);
    /** When an occurrence is late, given the time of its longest chain of steps. */
    MonotonicTime objectiveOf(const Job &job, const QueueSpec &queue, std::size_t occurrence, Duration chain) const;
    void addCandidates(Job &job, const QueueSpec &queue, MonotonicTime now, std::vector<Candidate> &into);
    PlacementNeed needOf(const Candidate &candidate, const std::vector<std::size_t> &tasks) const;
    std::vector<std::size_t> waitingTasks(const Candidate &candidate) const;
    static StepKey stepKey(const Candidate &candidate);
    bool hasFailed(const Candidate &candidate, const std::vector<std::size_t> &tasks) const;
    /** Keeps later candidates of this pass from workers where a gang will soon fit. */
    static void hold(const PlacementNeed &need, PlacementBoard &board);
    void place(const Candidate &candidate, PlacementBoard &board, MonotonicTime now);
    void assign(const Candidate &candidate,
                const std::vector<std::size_t> &tasks,
                const std::vector<WorkerId> &workers,
                MonotonicTime now);

    // JobEngineReclaim.cpp
    /** The jobs of priority 0 that their organisation's guarantee covers, older jobs first. */
    std::set<JobId> guaranteedJobs() const;
    UrgentReserve::Demand urgentDemand() const;
    bool worthPreempting(const Candidate &candidate, const ReclaimPlan &plan, const PlacementBoard &board) const;
    void reclaim(const Candidate &candidate, const PlacementNeed &need, PlacementBoard &board, MonotonicTime now);
    std::optional<double> victimCost(const Run &run, int claimantPriority, MonotonicTime now) const;
    /** Takes the claimed room from the board, or gives it back. */
    void reserve(const Claim &claim, PlacementBoard &board, bool taken);
    /** The entries of the claim when all have become free; takes their room. */
    std::vector<std::size_t> takeClaimed(const Claim &claim, PlacementBoard &board);
    void dropOldClaims(MonotonicTime now);

    // JobEngineWatch.cpp
    struct WatchedRun {
        Worker *worker = nullptr;
        Run *run = nullptr;
    };
    /** Finds workers that are slow or stand still, and moves work from them that would be late there only. */
    void watch(MonotonicTime now);
    std::vector<WatchedRun> watchedRuns(const Job &job, std::size_t occurrence, std::size_t step);
    void watchStep(Job &job, const QueueSpec &queue, std::size_t occurrence, std::size_t step, MonotonicTime now);
    void noteSlow(Worker &worker, const Run &run, double reference, MonotonicTime now);
    bool worthMoving(const Job &job,
                     const QueueSpec &queue,
                     const Run &run,
                     double reference,
                     bool stalled,
                     MonotonicTime now) const;
    void moveRun(Job &job, const Run &run);

    EngineTimes m_times;
    Clock m_clock;
    Epoch m_epoch;
    WorkerOrders &m_orders;
    std::function<void()> m_wantsStorage;
    AdviceBook m_advice;
    std::shared_ptr<const Catalogue> m_catalogue;
    std::map<JobId, Job> m_jobs;
    WorkerBook m_workers;
    std::map<ClaimKey, Claim> m_claims;
    UrgentReserve m_urgentReserve;
    DataCentreWatch m_dataCentreWatch;
    /** Jobs with rows to store, oldest change first. */
    std::set<JobId> m_dirtyJobs;
    /** Jobs that ended lately, and when; a late feed may still show them. */
    std::map<JobId, MonotonicTime> m_ended;
    std::set<WorkerId> m_workersWithEnds;
    MonotonicTime m_startedAt;
    MonotonicTime m_termConfirmedAt;
    MonotonicTime m_nextPlanAt;
    MonotonicTime m_nextWatchAt;
    MonotonicTime m_nextForgetAt;
    bool m_planWanted = true;
    EngineCounts m_counts;
    bool m_superseded = false;
    /** Expires with the engine; completions of orders hold a weak reference. */
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
