#pragma once

#include "corianderscale/Decision/FairShare.h"
#include "corianderscale/Decision/GuaranteeTable.h"
#include "corianderscale/Decision/JobEstimator.h"
#include "corianderscale/Decision/JobQueue.h"
#include "corianderscale/Decision/Quarantine.h"
#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/Decision/Victims.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace coriander::decision {

/** Longest grace period for storing a checkpoint after a stop order (section 11 of the design). */
inline constexpr Duration MaximumCheckpointGrace = std::chrono::seconds(30);
/** Grace period of work preempted by urgent jobs, so that these start within 1.1 s (section 9 of the design). */
inline constexpr Duration UrgentGrace = std::chrono::milliseconds(500);
/** Time between two calls of runMaintenance(). */
inline constexpr Duration MaintenancePeriod = std::chrono::seconds(5);

/** The workers reserved for the first waiting job that does not fit. */
struct Reservation {
    const Job *holder = nullptr;
    /** Non-zero for reserved workers; by worker index. */
    std::vector<char> workers;
    /** When the workers are expected to be free. */
    MonotonicTime expectedFreeAt = NeverDue;
    MonotonicTime computedAt{};
};

/** State of one data centre and the handlers of its events. See Scheduler. */
class Scheduler::Implementation
{
public:
    explicit Implementation(Policy policy);

    std::vector<Decision> handle(const Event &event, MonotonicTime now);
    std::optional<Explanation> explain(const JobId &id, MonotonicTime now) const;
    std::vector<PlacementView> placements() const;
    MonotonicTime nextTick() const;

private:
    /** @name Events of workers and organisations (FleetEvents.cpp) */
    ///@{
    void on(const WorkerJoined &event);
    void on(const WorkerLost &event);
    void on(const WorkerDraining &event);
    void on(const OrganisationsChanged &event);
    void applyFleetChange();
    void revokeGuaranteesOn(OrganisationIndex organisation, WorkerIndex worker);
    void revokeGuarantee(Job &job);
    void reportImpairedGuarantees();
    void refuseUnplaceableJobs();
    void quarantineIfSuspect(WorkerIndex worker);
    ///@}

    /** @name Events of jobs (JobEvents.cpp) */
    ///@{
    void on(const JobSubmitted &event);
    void on(const JobAdopted &event);
    void on(const JobCancelled &event);
    void on(const GangStarted &event);
    void on(const GangStartFailed &event);
    void on(const GangStopped &event);
    void on(const GangCheckpointed &event);
    void on(const GangEnded &event);
    void on(const UsageObserved &event);
    void on(const Tick &event);
    Job &createJob(const JobRequest &request);
    bool canNeverRun(const Job &job, std::string &code, std::string &reason) const;
    void enforceQueueLimits(const Job &newest);
    void enqueue(Job &job);
    void dequeue(Job &job);
    void release(Job &job);
    void requeue(Job &job, Duration delay);
    void refuse(Job &job, std::string code, std::string reason);
    void erase(Job &job);
    void stop(Job &job, StopReason reason, Duration grace);
    void handleGangFailure(Job &job, const WorkerId &failedOn);
    Job *findAttempt(const JobId &id, std::int64_t attempt);
    ///@}

    /** @name Placing (SchedulingPass.cpp, Claims.cpp) */
    ///@{
    void schedule();
    void startAssigned();
    void placeClaimants();
    bool tryClaim(Job &job);
    std::optional<VictimChoice> findCheapestClaim(const Job &job, const Resources &size);
    /** Moves a pin to a worker where the claim costs less than @p presentCost. */
    bool movePinForClaim(const Job &job, const Resources &size, double presentCost);
    bool placeQueuedJobs();
    bool tryPlace(Job &job);
    bool tryProbe(Job &job);
    bool tryPreempt(Job &job);
    void assignWorkers(
        Job &job, const Resources &size, GangParts parts, bool guaranteed, const std::vector<Job *> &victims);
    void startGang(Job &job);
    void preemptVictims(Job &claimant, const std::vector<Job *> &victims, Duration grace);
    bool physicallyFits(const Job &job) const;
    void reserveWorkers(const Job &job, const Resources &size);
    PlacementRequest makePlacementRequest(const Job &job, const Resources &size) const;
    /** Usable workers that are not in the sorted list @p avoidedWorkers. */
    std::vector<const FleetWorker *> usableWorkers(const std::vector<WorkerIndex> &avoidedWorkers) const;
    /** Cost of stopping @p victim for the preempting job @p claimant, in accelerator-seconds; NotPreemptible if it must
     * not be stopped. @p claim tells whether the claimant claims its guarantee. */
    double victimCost(const Job &victim, const Job &claimant, bool claim) const;
    bool mayBorrow(const Job &job) const;
    bool canClaim(const Job &job) const;
    /** Whether the job's organisation and caller hold less than their fair shares now. */
    bool isBelowFairShare(const Job &job) const;
    /** Whether the job must not be placed, because it would use accelerators that are kept free for callers below their
     * fair share. */
    bool cutsIntoHeadroom(const Job &job) const;
    ///@}

    /** @name Periodic work (Maintenance.cpp, Compaction.cpp) */
    ///@{
    void runMaintenance();
    void checkDeadlines();
    void requestPeriodicCheckpoints();
    void expireAssignments();
    void compact();
    bool tryEmptyWorker(WorkerIndex from);
    ///@}

    /** @name Estimates (Maintenance.cpp) */
    ///@{
    Resources taskSize(const Job &job) const;
    Duration remainingRun(const Job &job) const;
    MonotonicTime expectedEnd(const Job &job) const;
    double queueScore(const Job &job) const;
    ///@}

    Policy m_policy;
    MonotonicTime m_now{};
    std::vector<Decision> m_decisions;
    Fleet m_fleet;
    ShareTable m_shares;
    JobQueue m_queue;
    JobEstimator m_estimator;
    GuaranteeTable m_guaranteeTable;
    Quarantine m_quarantine;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    /** Waiting jobs that claim their organisation's guarantee, by class, rank and arrival. */
    std::map<OrganisationIndex, std::set<std::tuple<JobClass, double, std::uint64_t, Job *>>> m_claimants;
    /** Jobs that hold capacity, by arrival. */
    std::map<std::uint64_t, Job *> m_active;
    std::map<std::uint64_t, Job *> m_assigned;
    /** Time of the next deadline check of each job with a deadline. */
    std::set<std::tuple<MonotonicTime, std::uint64_t, JobId>> m_deadlines;
    struct Impairment {
        std::string reason;
        MonotonicTime since{};
    };
    std::map<OrganisationIndex, Impairment> m_impaired;
    Reservation m_reservation;
    std::uint64_t m_nextSequence = 0;
    /** Mean weighted service of all organisations, computed once per event. */
    double m_meanWeightedService = 0;
    bool m_passNeeded = false;
    bool m_fleetChanged = false;
    bool m_anyWorkerKnown = false;
    /** The job submitted by this event; placement is tried even when no capacity was freed. */
    Job *m_submittedJob = nullptr;
    MonotonicTime m_nextMaintenance{};
    MonotonicTime m_nextCompaction{};
    /** Accelerator-seconds that non-urgent preemption and compaction may cost now. */
    double m_disruptionBudget = 0;
    double m_maximumDisruptionBudget = 0;
    /** When a caller below its fair share last submitted a job. */
    std::optional<MonotonicTime> m_lastUnderServedSubmission;
    MonotonicTime m_disruptionBudgetUpdatedAt{};
    MonotonicTime m_nextRetry = NeverDue;
};

} // namespace coriander::decision
