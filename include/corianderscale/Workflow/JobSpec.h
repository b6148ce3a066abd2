#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/** Jobs of several steps: how they are accepted, stored, placed, run and shown. */
namespace coriander::workflow {

using QueueName = StrongId<struct QueueTag>;
/** Name of the program that the tasks of a step run; tasks of one image behave alike. */
using ImageName = StrongId<struct ImageTag>;

/** A group of equal tasks of a job that become ready together. */
struct StepSpec {
    std::size_t tasks = 1;
    decision::Resources perTask;
    /** The submitter's estimate of the run time of one task; often wrong. */
    Duration estimate{};
    /** Indices of earlier steps; all their tasks must be done before this step starts. Ascending, each listed once, so
     * that a step takes no more memory than its job has steps; see distinctSteps(). */
    std::vector<std::size_t> after;
    /** Whether the tasks write checkpoints. */
    bool checkpoints = false;
    /** Whether the tasks must run at the same time, as a gang. */
    bool gang = false;
    /** Whether the tasks of a gang run several times slower when they span racks. */
    bool sameRack = false;
    /** Label that a worker must have; empty for any worker. */
    std::string requiredLabel;
    /** Rack of the input data; in other racks the tasks run several times slower. Empty for none. */
    RackId dataRack;
    /** Maximum number of tasks of one occurrence of the step on one worker; 0 for no limit. */
    std::size_t maximumPerWorker = 0;
    /** Whether the tasks run until the job is cancelled; they are restarted however they end. */
    bool longRunning = false;
    /** Whether the tasks use only idle processor time; no cores are reserved for them. */
    bool usesIdleCores = false;
    ImageName image;

    /** What a run of a task takes of the capacity of its worker. */
    decision::Resources reservedResources() const;
};

/** The part of a queue's configuration by which its jobs run. */
struct QueuePolicy {
    /** Pool of workers that run the tasks. */
    ServiceName service;
    /** Jobs of a lower number are placed first; jobs of priority 0 are urgent and may preempt others. */
    int priority = 0;
    /** Number of failed runs of a task after which its job fails. */
    int maximumAttempts = 1;
    /** Factor in the latency objective by which the expected time of the longest chain of steps is multiplied. */
    double stretch = 1;
    /** Fixed time that is added in the latency objective. */
    Duration objectiveSlack{};
    /** Whether tasks may run only on workers that the advisor approved. */
    bool needsAdvice = false;

    bool operator==(const QueuePolicy &) const = default;
};

/** A job as accepted. */
struct JobSpec {
    JobId id;
    QueueName queue;
    /** The newest policy of the queue that was known; the job runs by it when the queue is not configured any more. No
     * value in rows of earlier versions. */
    std::optional<QueuePolicy> policy;
    OrganisationId organisation;
    /** Opaque text handed to each task. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Number of times that the steps run, each at its due time; 0 for a single run that starts at once. */
    std::size_t occurrences = 0;
    /** When the first occurrence is due. */
    WallTime firstDue;
    /** Time between the due times of two occurrences. */
    Duration interval{};
    WallTime acceptedAt;
};

/** The indices in ascending order, each listed once. */
std::vector<std::size_t> distinctSteps(std::vector<std::size_t> indices);

/** State of a job as shown to its submitter. */
enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** Whether a job in this state has ended and keeps the state. */
constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/** The name of a state in logs, stored rows and answers to callers. */
const char *jobStateName(JobState state);
/** Precondition: @p name is the name of a state; else throws std::out_of_range. */
JobState jobStateFromName(const std::string &name);

/** Names one task of one occurrence of a job. */
struct TaskKey {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/** Names a step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;

    auto operator<=>(const StepKey &) const = default;
};

/** A task and the number of one of its runs. */
using RunKey = std::pair<TaskKey, std::int64_t>;

/** Text of a task key for logs: `job.occurrence.step.index`. */
std::string toString(const TaskKey &key);

} // namespace coriander::workflow
