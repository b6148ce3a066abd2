#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Scheduler/GangRun.h"
#include "corianderscale/Scheduler/JobBook.h"
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

/** The decision library as the core sees it. Precondition: both hooks are set. */
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
    /** Least time between two writes of a worker's usage that nothing waits for. */
    Duration usageInterval = std::chrono::seconds(60);
};

/** One decision or change, for the log. */
struct CoreEvent {
    std::string event;
    JobId job;
    std::int64_t attempt = 0;
    WorkerId worker;
    std::string reason;
};

/** A request to send to a worker; exactly one answer is expected for each. */
struct WorkerRequest {
    std::int64_t id = 0;
    WorkerId worker;
    std::string address;
    WorkerOrders orders;
    MonotonicTime deadline{};
};

/** What a new owner has read. */
struct Takeover {
    Epoch epoch;
    std::vector<std::pair<JobRecord, RowVersion>> jobs;
    /** Usage rows of today and the two days before. */
    std::vector<std::pair<UsageRecord, RowVersion>> usage;
    std::optional<Snapshot> snapshot;
    std::vector<decision::OrganisationPolicy> organisations;
};

/**
 * The owner of a data centre without threads, sockets and clocks: it turns events into decisions by the decision
 * library, carries them out through requests to workers, and records what happened through writes.
 *
 * Inputs are methods; outputs are taken after each input. Precondition: times never go backwards. Thread safety: not
 * thread safe.
 */
class SchedulerCore
{
public:
    enum class Phase {
        /** Does not own the data centre. */
        Idle,
        /** Asks every worker what runs. */
        Asking,
        Active,
    };

    using Log = std::function<void(const CoreEvent &event)>;

    /** @p makeHooks returns a fresh decision library for each takeover. */
    SchedulerCore(CoreSettings settings, std::function<DecisionHooks()> makeHooks, Log log);

    /** @name Ownership */
    ///@{
    void takeOver(Takeover state, Instant at);
    /** Every worker of the platform's list has been looked up: those that are missing are not reachable. */
    void workersListed(Instant at);
    /** The epoch of the present ownership, or of the last one. */
    Epoch epoch() const
    {
        return m_epoch;
    }
    /** Days of the totals follow this time zone from now on. */
    void setDays(const CivilDays &days);
    /** Ownership has ended; all state but the list of workers is dropped. */
    void relinquish();
    /** Starts nothing new from now on. */
    void drain()
    {
        m_draining = true;
    }
    /** Whether every gang either runs or is over and everything is recorded. */
    bool isSettled() const;
    /** Another owner was noticed: why ownership has to be given up, or empty text. */
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
    /** The platform's list no longer has the worker. */
    void workerUnlisted(const WorkerId &worker);
    /** A row of the table, from a scan, a hint or a read back. */
    void jobSeen(const JobRecord &row, RowVersion version, Instant at);
    /** The answer to a request. Without a report, @p notSent says that the request provably never arrived. */
    void workerAnswered(const WorkerId &worker,
                        std::int64_t request,
                        const std::optional<WorkerReport> &report,
                        bool notSent,
                        Instant at);
    /** A report that a worker sent by itself. */
    void reportReceived(const WorkerReport &report, Instant at);
    void writeDone(
        StoreWrite::Kind kind, const std::string &unit, WriteOutcome outcome, RowVersion version, Instant at);
    void tick(Instant at);
    ///@}

    /** @name Outputs */
    ///@{
    std::vector<WorkerRequest> takeRequests(Instant at);
    std::vector<StoreWrite> takeWrites(Instant at);
    /** Jobs whose rows must be read and passed to jobSeen(). */
    std::vector<JobId> takeReads();
    /** The present placements; sequence and time are the caller's. */
    Snapshot snapshot() const;
    /** Grows with each change that a snapshot shows. */
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
        return m_impaired;
    }
    ///@}

private:
    struct Gang {
        GangRun run;
        /** The row at this revision names the attempt. */
        std::int64_t recordRevision = 0;
        /** The row at this revision shows the end; 0 while the gang is not over. */
        std::int64_t overRevision = 0;
        /** Whether the decision library knows the gang. */
        bool known = true;
        /**
         * Tasks that were asked for a checkpoint, with the sequence of the report that came with the answer; a later
         * report shows whether it is stored. -1 while there is no answer.
         */
        std::map<TaskId, std::int64_t> checkpointing;
    };

    // Decisions (SchedulerCoreDecisions.cpp)
    void emit(decision::Event event);
    void settle(Instant at);
    void apply(const decision::Decision &decision, Instant at);
    void startGang(const decision::StartGang &start, Instant at);
    void stopGang(const decision::StopGang &stop, Instant at);
    void checkpointGang(const decision::CheckpointGang &checkpoint);
    void throttleTask(const decision::ThrottleTask &throttle);
    void endJob(const JobId &job, JobState state, const std::string &code, const std::string &reason, Instant at);
    void submit(JobEntry &entry, Instant at);
    decision::JobRequest requestOf(const JobRecord &record, Instant at) const;
    GangPlan planOf(const JobRecord &record, std::vector<WorkerId> workers, bool resume) const;

    // Takeover (SchedulerCoreTakeover.cpp)
    void adoptWhenAnswered(Instant at);
    void adoptAll(Instant at);
    void adoptJob(JobEntry &entry, Instant at);
    GangMember adoptMember(const TaskPlacement &placement, Instant at) const;
    const TaskReport *answeredTask(const WorkerEntry &worker, const TaskId &task) const;

    // Gangs (SchedulerCoreGangs.cpp)
    void pump(const GangKey &key, Instant at);
    void handle(const GangKey &key, const GangOutcome &outcome, Instant at);
    void finish(const GangKey &key, const GangOutcome &outcome, Instant at);
    void resubmit(const GangKey &key, const GangOutcome &outcome, Instant at);
    void addUsage(Gang &gang, JobEntry &entry, Instant at);
    void releaseRecorded(const JobId &job, Instant at);
    void releaseMembers(const Gang &gang);
    void addGang(const GangKey &key, Gang gang);
    void eraseGang(const GangKey &key);
    void attend(const Gang &gang);
    Gang *findGang(const GangKey &key);
    WorkerEntry &workerOf(const WorkerId &id);

    // Workers (SchedulerCoreWorkers.cpp)
    std::vector<WorkerOrder> dueOrders(WorkerEntry &worker, PendingRequest &request, Instant at);
    void addPlainOrders(WorkerEntry &worker, PendingRequest &request, std::vector<WorkerOrder> &orders, Instant at);
    WorkerOrder renewal(const WorkerEntry &worker, Instant at);
    bool mayRenew(const GangRun &run) const;
    void heardAgain(WorkerEntry &worker, Instant at);
    void takeAnswer(WorkerEntry &worker, const PendingRequest &request, const WorkerReport &report, Instant at);
    void takeSilence(WorkerEntry &worker, const PendingRequest &request, bool notSent, Instant at);
    void takeTasks(WorkerEntry &worker, const WorkerReport &report, Instant at);
    void takeTask(WorkerEntry &worker, const WorkerReport &report, const TaskReport &task, Instant at);
    void takeStray(WorkerEntry &worker, const TaskReport &task);
    void takeCheckpointAnswer(const TaskId &task, const OrderResult &result, const WorkerReport &report);
    void noteCheckpoint(const GangKey &key, Gang &gang, const TaskReport &task);
    void takeAbsent(WorkerEntry &worker, const WorkerReport &report);
    void restarted(WorkerEntry &worker, const InstanceId &incarnation, Instant at);
    void lose(WorkerEntry &worker, Instant at);
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
    MonotonicTime m_askUntil{};
    bool m_listed = false;
    std::vector<decision::OrganisationPolicy> m_organisations;
    std::map<WorkerId, WorkerEntry> m_workers;
    JobBook m_jobs;
    UsageLedger m_ledger;
    std::map<GangKey, Gang> m_gangs;
    /** Gangs that time may change: all but those that run and those that are over. */
    std::set<GangKey> m_transient;
    std::deque<decision::Event> m_events;
    std::map<OrganisationId, std::string> m_impaired;
    std::int64_t m_nextRequest = 1;
    std::int64_t m_placementRevision = 0;
};

} // namespace coriander
