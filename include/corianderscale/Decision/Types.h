#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Support/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The pure decision library: no threads, sockets, logs or clocks. */
namespace coriander::decision {

/** Resources of a worker or of one task. */
struct Resources {
    MilliCores cores;
    MemoryMib memory;
    Accelerators accelerators;

    auto operator<=>(const Resources &) const = default;
};

enum class JobClass {
    Urgent,
    Normal,
    Background,
};

/** How close together the accelerators of a gang or guarantee must be. */
enum class Closeness {
    None,
    Rack,
    Worker,
};

/** A worker as the scheduler sees it. */
struct WorkerSpec {
    WorkerId id;
    RackId rack;
    /** Place in the rack; neighbours differ by one. */
    std::int64_t position = 0;
    Resources capacity;
};

/** Guarantees an organisation @c count instances of one shape in one data centre. */
struct Guarantee {
    DataCentreId dataCentre;
    /** Accelerators of one instance of the shape. */
    Accelerators accelerators;
    Closeness closeness = Closeness::Rack;
    std::int64_t count = 1;
};

/** Weight, quota and guarantees of an organisation in this data centre. */
struct OrganisationPolicy {
    OrganisationId id;
    std::int64_t weight = 1;
    /** Maximum number of accelerators in use at once; 0 means no limit. */
    Accelerators quota;
    std::vector<Guarantee> guarantees;
};

/** A job as submitted. */
struct JobRequest {
    JobId id;
    OrganisationId organisation;
    CallerId caller;
    /** Groups jobs of one caller that are expected to have similar run times and resource use. */
    std::string kind;
    std::int64_t tasks = 1;
    /** Declared resources of one task. */
    Resources perTask;
    Closeness closeness = Closeness::None;
    JobClass jobClass = JobClass::Normal;
    /** Declared run time; zero when unknown. Often wrong by a large factor. */
    Duration declaredRun{};
    /** When the job must have finished; NeverDue for no deadline. */
    MonotonicTime deadline = NeverDue;
    bool canCheckpoint = false;
    /** Whether the job may claim its organisation's guarantee; otherwise it runs on lent capacity only. */
    bool useGuarantee = false;
    MonotonicTime submittedAt{};
};

/** Where the tasks of a gang run: element i is the worker of task i. */
using GangPlacement = std::vector<WorkerId>;

/** @name Events */
///@{
struct WorkerJoined {
    WorkerSpec worker;
};
/** The worker is gone or unreachable; its tasks no longer run, or stop when their leases expire. */
struct WorkerLost {
    WorkerId worker;
};
/** The worker accepts no new tasks; running tasks may finish. */
struct WorkerDraining {
    WorkerId worker;
};
struct OrganisationsChanged {
    std::vector<OrganisationPolicy> organisations;
};
struct JobSubmitted {
    JobRequest job;
};
/** A job that was already running when a new owner took over; it keeps its placement. */
struct JobAdopted {
    JobRequest job;
    GangPlacement placement;
    MonotonicTime startedAt{};
    bool guaranteed = false;
    std::int64_t attempt = 1;
};
struct JobCancelled {
    JobId job;
};
/** All members of the gang have started. */
struct GangStarted {
    JobId job;
    std::int64_t attempt = 0;
};
/** A member refused or did not answer; the others were released and no member runs. */
struct GangStartFailed {
    JobId job;
    std::int64_t attempt = 0;
    std::vector<WorkerId> refusedBy;
};
/** All members have ended, or their leases have expired, after a StopGang or a lost member. */
struct GangStopped {
    JobId job;
    std::int64_t attempt = 0;
    /** Whether the work done so far is kept. */
    bool checkpointed = false;
};
/** All members have stored a checkpoint and keep running; answers CheckpointGang. */
struct GangCheckpointed {
    JobId job;
    std::int64_t attempt = 0;
};
/** The gang ended without having been stopped. */
struct GangEnded {
    JobId job;
    std::int64_t attempt = 0;
    bool succeeded = false;
    /** On failure, the worker whose task failed first. */
    WorkerId failedOn;
};
/** Current resource use of one task; may be several seconds old. */
struct UsageObserved {
    JobId job;
    WorkerId worker;
    Resources used;
};
/** Lets the library act on deadlines, retries and other timed work when no other event arrives. */
struct Tick {
};
using Event = std::variant<WorkerJoined,
                           WorkerLost,
                           WorkerDraining,
                           OrganisationsChanged,
                           JobSubmitted,
                           JobAdopted,
                           JobCancelled,
                           GangStarted,
                           GangStartFailed,
                           GangStopped,
                           GangCheckpointed,
                           GangEnded,
                           UsageObserved,
                           Tick>;
///@}

enum class StopReason {
    Preempted,
    Cancelled,
    MemberLost,
    OverSize,
    Compaction,
    Drain,
};

/** @name Decisions */
///@{
/** Reserve on all workers, then start all tasks; answered by GangStarted or GangStartFailed. */
struct StartGang {
    JobId job;
    std::int64_t attempt = 0;
    GangPlacement placement;
    /** Whether the gang runs on its organisation's guarantee; otherwise it runs on lent capacity. */
    bool guaranteed = false;
    /** Whether to resume from a checkpoint. */
    bool resume = false;
};
/** Stop all members; answered by GangStopped. */
struct StopGang {
    JobId job;
    std::int64_t attempt = 0;
    StopReason reason = StopReason::Preempted;
    bool checkpoint = false;
    /** Members that still run at this time are stopped without a checkpoint. */
    MonotonicTime stopBy{};
};
/** Store a checkpoint and keep running; answered by GangCheckpointed, or not answered at all. */
struct CheckpointGang {
    JobId job;
    std::int64_t attempt = 0;
};
struct ThrottleTask {
    JobId job;
    WorkerId worker;
    MilliCores cores;
};
/** Terminal: the job is not run. */
struct RefuseJob {
    JobId job;
    /** `can-never-run`, `over-quota`, `overloaded` or `too-late`. */
    std::string code;
    std::string reason;
};
/** Terminal: the job ran and is not retried after its failure. */
struct FailJob {
    JobId job;
    std::string reason;
};
/** Terminal. */
struct FinishJob {
    JobId job;
};
/** Terminal: no member runs any more. */
struct CancelJob {
    JobId job;
};
/** The worker gets no gangs until ReleaseWorker, except for the probes that the library places on it. */
struct QuarantineWorker {
    WorkerId worker;
    std::string reason;
};
struct ReleaseWorker {
    WorkerId worker;
};
struct GuaranteeImpaired {
    OrganisationId organisation;
    std::string reason;
    MonotonicTime since{};
};
struct GuaranteeRestored {
    OrganisationId organisation;
};
/** The job will probably miss its deadline; reported before the deadline passes. */
struct DeadlineAtRisk {
    JobId job;
    std::string reason;
};
using Decision = std::variant<StartGang,
                              StopGang,
                              CheckpointGang,
                              ThrottleTask,
                              RefuseJob,
                              FailJob,
                              FinishJob,
                              CancelJob,
                              QuarantineWorker,
                              ReleaseWorker,
                              GuaranteeImpaired,
                              GuaranteeRestored,
                              DeadlineAtRisk>;
///@}

/** Explains the state of a job to a human reader. */
struct Explanation {
    std::string state;
    std::string reason;
    /** What would have to change for it to start. */
    std::string remedy;
};

/** A gang that holds capacity, as the scheduler sees it; for snapshots, status pages and checks. */
struct PlacementView {
    JobId job;
    OrganisationId organisation;
    std::int64_t attempt = 0;
    GangPlacement placement;
    /** Whether it runs on its guarantee and so is never preempted; cleared when the guarantee is moved elsewhere. */
    bool guaranteed = false;
    bool stopping = false;
};

} // namespace coriander::decision
