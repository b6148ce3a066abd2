#pragma once

#include "corianderscale/Decision/Types.h"

#include <cstdint>
#include <vector>

namespace coriander::decision {

/** Position of a worker in the fleet's table. */
using WorkerIndex = std::uint32_t;
/** Position of an organisation in the share table. */
using OrganisationIndex = std::uint32_t;

/** Tasks of one gang on one worker. */
struct GangPart {
    WorkerIndex worker = 0;
    std::int64_t tasks = 0;
};
using GangParts = std::vector<GangPart>;

enum class JobState {
    Waiting,
    /** Has workers, but preempted jobs on them have not stopped yet. */
    Assigned,
    Starting,
    Running,
    Stopping,
};

/** One job of the scheduler. Plain data; owned by the scheduler. */
struct Job {
    JobRequest request;
    /** Arrival number; breaks ties, so that every order of jobs is total and deterministic. */
    std::uint64_t sequence = 0;
    OrganisationIndex organisation = 0;
    std::uint32_t caller = 0;
    JobState state = JobState::Waiting;
    std::int64_t attempt = 0;
    GangParts parts;
    /** Resources of one task as placed: declared or learned. */
    Resources size;
    bool guaranteed = false;
    bool hasCheckpoint = false;
    bool cancelRequested = false;
    bool riskReported = false;
    /** The quarantined worker that this job probes. */
    std::optional<WorkerIndex> probe;
    MonotonicTime startedAt{};
    MonotonicTime checkpointedAt{};
    MonotonicTime checkpointRequestedAt{};
    /** Run time saved by checkpoints. */
    Duration checkpointedRun{};
    StopReason stopReason = StopReason::Preempted;
    /** When an assigned job gives up its workers because the preempted jobs on them have not stopped. */
    MonotonicTime assignedUntil = NeverDue;
    /** Workers on which the job failed. */
    std::vector<WorkerIndex> avoidedWorkers;
    std::int64_t failures = 0;
    std::int64_t preemptions = 0;
    bool hasStarted = false;
    /** Whether the job was stopped by compaction; it then goes before the other waiting jobs of its class. */
    bool movedByCompaction = false;
    std::int64_t overSizeObservations = 0;
    MonotonicTime notBefore{};
    MonotonicTime queuedAt{};
    /** Sort key in the caller's queue; stored so that the entry can be found when the job leaves the queue. */
    double rank = 0;
};

/** Accelerators of the whole gang. */
inline std::int64_t gangAccelerators(const Job &job)
{
    return job.request.tasks * job.request.perTask.accelerators.count();
}

/** Whether the job holds capacity of the fleet. */
inline bool holdsCapacity(const Job &job)
{
    return job.state != JobState::Waiting;
}

} // namespace coriander::decision
