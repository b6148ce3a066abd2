#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Scheduler/GangRun.h"
#include "corianderscale/Scheduler/OpenJobs.h"
#include "corianderscale/Scheduler/Snapshot.h"
#include "corianderscale/Scheduler/UsageLedger.h"
#include "corianderscale/Scheduler/WorkerEntry.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/** One reading of both clocks. */
struct Instant {
    MonotonicTime now;
    WallTime wallNow;
};

/** Calls of the core into the decision library. Precondition: both hooks are set. */
struct DecisionHooks {
    std::function<std::vector<decision::Decision>(const decision::Event &event, MonotonicTime now)> handle;
    std::function<MonotonicTime()> nextTick;
};

struct CoreSettings {
    DataCentreId dataCentre;
    InstanceId instance;
    /** Base address that workers send reports to. */
    std::string reportTo;
    SchedulerTiming timing;
    CivilDays days{"UTC"};
    /** Minimum interval between two writes of a worker's usage rows, unless a job row depends on the write. */
    Duration usageInterval = std::chrono::seconds(60);
};

/** One decision or state change, for log and metrics. */
struct CoreEvent {
    std::string event;
    JobId job;
    std::int64_t attempt = 0;
    WorkerId worker;
    std::string reason;
};

/** A request to a worker. The caller must pass exactly one result of it to workerAnswered(). */
struct WorkerRequest {
    std::int64_t id = 0;
    WorkerId worker;
    std::string address;
    WorkerOrders orders;
    MonotonicTime deadline{};
};

/** The stored state that a new owner starts from. */
struct TakeoverState {
    Epoch epoch;
    std::vector<std::pair<JobRecord, RowVersion>> jobs;
    /** Usage rows of today and the two days before. */
    std::vector<std::pair<UsageRecord, RowVersion>> usage;
    std::optional<Snapshot> snapshot;
    std::vector<decision::OrganisationPolicy> organisations;
};

/**
 * The logic of a data centre's owner, without threads, sockets and clocks. It passes events to the decision library,
 * carries out the decisions through requests to workers, and records the results through writes to the store.
 *
 * The caller takes the outputs after each input. Precondition: times never go backwards. Thread safety: not thread
 * safe.
 */
class SchedulerCore
{
public:
    enum class Phase {
        /** This instance does not own the data centre. */
        Idle,
        /** A new owner: waits for every worker's report of its tasks. */
        QueryingWorkers,
        Active,
    };

    using Log = std::function<void(const CoreEvent &event)>;

    /** @p makeHooks returns a fresh decision library for each takeover. */
    SchedulerCore(CoreSettings settings, std::function<DecisionHooks()> makeHooks, Log log);

    /** @name Ownership */
    ///@{
    void takeOver(TakeoverState state, Instant at);
    /** Every worker of the VM list has been looked up; workers not seen by now are unreachable. */
    void workersListed(Instant at);
    /** The epoch of the current ownership, or of the last one. */
    Epoch epoch() const
    {
        return m_epoch;
    }
    /** Sets the time zone whose civil days usage is counted by from now on. */
    void setDays(const CivilDays &days);
    /** Ownership has ended: drops all state except the list of workers. */
    void relinquish();
    /** From now on no events are passed to the decision library, so that no new gang is started. */
    void drain()
    {
        m_draining = true;
    }
    /** Whether no gang is starting or stopping and all job rows are written; also true while not active. */
    bool isSettled() const;
    /** Why ownership must be given up because another owner was detected, or empty. */
    const std::string &stepDownReason() const
    {
        return m_stepDownReason;
    }
    Phase phase() const
    {
        return m_phase;
    }
    ///@}

    /** @name Inputs */
    ///@{
    void setOrganisations(std::vector<decision::OrganisationPolicy> organisations, Instant at);
    void workerSeen(const WorkerInfo &info, const std::string &address, Instant at);
    /** The worker is no longer in the platform's VM list. */
    void workerUnlisted(const WorkerId &worker);
    /** A job row from a scan, a job hint or a read after a conflict. */
    void jobSeen(const JobRecord &row, RowVersion version, Instant at);
    /** The result of a request. Without a report, @p notSent says whether it is known never to have arrived. */
    void workerAnswered(const WorkerId &worker,
                        std::int64_t request,
                        const std::optional<WorkerReport> &report,
                        bool notSent,
                        Instant at);
    /** A report that a worker sent without a request. */
    void reportReceived(const WorkerReport &report, Instant at);
    void writeDone(
        StoreWrite::Kind kind, const std::string &subject, WriteOutcome outcome, RowVersion version, Instant at);
    void tick(Instant at);
    ///@}

    /** @name Outputs */
    ///@{
    std::vector<WorkerRequest> takeRequests(Instant at);
    std::vector<StoreWrite> takeWrites(Instant at);
    /** Jobs whose rows must be read and passed to jobSeen(). */
    std::vector<JobId> takeReads();
    /** The current placements; the caller sets sequence and time. */
    Snapshot snapshot() const;
    /** Incremented with each change that is visible in a snapshot. */
    std::int64_t placementRevision() const
    {
        return m_placementRevision;
    }
    ///@}

    /** @name For metrics and tests */
    ///@{
    std::size_t jobCount() const
    {
        return m_jobs.entries().size();
    }
    std::size_t gangCount() const
    {
        return m_gangs.size();
    }
    const std::map<WorkerId, WorkerEntry> &workers() const
    {
        return m_workers;
    }
    const std::map<OrganisationId, std::string> &impairedGuarantees() const
    {
        return m_impairedGuarantees;
    }
    ///@}

private:
    struct Gang {
        GangRun run;
        /** Revision of the job record that names the attempt. */
        std::int64_t recordRevision = 0;
        /** Revision of the job record that contains the end of the attempt; 0 while the gang is not over. */
        std::int64_t overRevision = 0;
        /** Whether the decision library knows the gang. */
        bool knownToLibrary = true;
        /**
         * Tasks that were ordered to store a checkpoint, each with the sequence number of the task report that came
         * with the answer, or -1 before the answer. Only a later report shows whether the checkpoint is stored.
         */
        std::map<TaskId, std::int64_t> checkpointing;
    };

    // Decisions (SchedulerCoreDecisions.cpp)
    void queueEvent(decision::Event event);
    void processEvents(Instant at);
    void apply(const decision::Decision &decision, Instant at);
    void startGang(const decision::StartGang &start, Instant at);
    void stopGang(const decision::StopGang &stop, Instant at);
    void checkpointGang(const decision::CheckpointGang &checkpoint);
    void throttleTask(const decision::ThrottleTask &throttle);
    void endJob(const JobId &job, JobState state, const std::string &code, const std::string &reason, Instant at);
    void submit(JobEntry &entry, Instant at);
    decision::JobRequest makeJobRequest(const JobRecord &record, Instant at) const;
    GangPlan makePlan(const JobRecord &record, std::vector<WorkerId> workers, bool resume) const;

    // Takeover (SchedulerCoreTakeover.cpp)
    void adoptIfReady(Instant at);
    void adoptJobs(Instant at);
    void adoptJob(JobEntry &entry, Instant at);
    GangMember adoptMember(const TaskPlacement &placement, Instant at) const;
    const TaskReport *findReportedTask(const WorkerEntry &worker, const TaskId &task) const;

    // Gangs (SchedulerCoreGangs.cpp)
    void advanceGang(const GangKey &key, Instant at);
    void handleOutcome(const GangKey &key, const GangOutcome &outcome, Instant at);
    void finishGang(const GangKey &key, const GangOutcome &outcome, Instant at);
    void endOrResubmit(const GangKey &key, const GangOutcome &outcome, Instant at);
    void addUsage(Gang &gang, JobEntry &entry, Instant at);
    void releaseRecorded(const JobId &job, Instant at);
    void releaseMembers(const Gang &gang);
    void addGang(const GangKey &key, Gang gang);
    void eraseGang(const GangKey &key);
    void markForOrders(const Gang &gang);
    Gang *findGang(const GangKey &key);
    WorkerEntry &findOrAddWorker(const WorkerId &id);

    // Workers (SchedulerCoreWorkers.cpp)
    std::vector<WorkerOrder> collectOrders(WorkerEntry &worker, PendingRequest &request, Instant at);
    void addTaskOrders(WorkerEntry &worker, PendingRequest &request, std::vector<WorkerOrder> &orders, Instant at);
    WorkerOrder makeRenewal(const WorkerEntry &worker, Instant at);
    bool mayRenew(const GangRun &run) const;
    void handleRecovery(WorkerEntry &worker, Instant at);
    void handleWorkerAnswer(WorkerEntry &worker, const PendingRequest &request, const WorkerReport &report, Instant at);
    void handleWorkerNoAnswer(WorkerEntry &worker, const PendingRequest &request, bool notSent, Instant at);
    void handleTaskReports(WorkerEntry &worker, const WorkerReport &report, Instant at);
    void handleTaskReport(WorkerEntry &worker, const WorkerReport &report, const TaskReport &task, Instant at);
    void handleUnknownTask(WorkerEntry &worker, const TaskReport &task);
    void handleCheckpointAnswer(const TaskId &task, const OrderResult &result, const WorkerReport &report);
    void updateCheckpoint(const GangKey &key, Gang &gang, const TaskReport &task);
    void handleMissingTasks(WorkerEntry &worker, const WorkerReport &report);
    void handleRestart(WorkerEntry &worker, const InstanceId &incarnation, Instant at);
    void markLost(WorkerEntry &worker, Instant at);
    void join(WorkerEntry &worker);
    void expireWorkers(Instant at);

    void log(const std::string &event,
             const JobId &job,
             std::int64_t attempt,
             const WorkerId &worker,
             const std::string &reason);

    CoreSettings m_settings;
    std::function<DecisionHooks()> m_makeHooks;
    Log m_log;
    DecisionHooks m_hooks;
    Phase m_phase = Phase::Idle;
    Epoch m_epoch;
    bool m_draining = false;
    std::string m_stepDownReason;
    MonotonicTime m_queryDeadline{};
    bool m_workersListed = false;
    std::vector<decision::OrganisationPolicy> m_organisations;
    std::map<WorkerId, WorkerEntry> m_workers;
    OpenJobs m_jobs;
    UsageLedger m_ledger;
    std::map<GangKey, Gang> m_gangs;
    /** Gangs that must be advanced at each tick: all but those in phase Running or Over. */
    std::set<GangKey> m_gangsInTransition;
    std::deque<decision::Event> m_events;
    std::map<OrganisationId, std::string> m_impairedGuarantees;
    std::int64_t m_nextRequest = 1;
    std::int64_t m_placementRevision = 0;
};

} // namespace coriander
