#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/** Jobs of several steps: how they are accepted, stored, placed, run and shown. */
namespace coriander::workflow {

using QueueName = StrongId<struct QueueTag>;
/** What the tasks of a step run; tasks of one image behave alike. */
using ImageName = StrongId<struct ImageTag>;

/** Some tasks of a job that become ready together. */
struct StepSpec {
    std::size_t tasks = 1;
    decision::Resources perTask;
    /** Rough run time of one task as the submitter believes it; often wrong. */
    Duration estimate{};
    /** Indices of earlier steps, all of whose tasks must be done first. */
    std::vector<std::size_t> after;
    bool checkpoints = false;
    /** Whether the tasks work only together. */
    bool gang = false;
    /** Whether the tasks of a gang run several times slower when they span racks. */
    bool sameRack = false;
    /** Label that the worker must carry; empty for any. */
    std::string requiredLabel;
    /** Rack of the input data; elsewhere the tasks run several times slower. Empty for none. */
    RackId dataRack;
    /** Most tasks of one occurrence of the step on one worker; 0 for no bound. */
    std::size_t mostPerWorker = 0;
    /** Whether tasks run until the job is cancelled and are restarted however they end. */
    bool longRunning = false;
    /** Whether the tasks use only processor time that others leave; their cores are not reserved. */
    bool fillsIdle = false;
    ImageName image;
};

/** A job as accepted. */
struct JobSpec {
    JobId id;
    QueueName queue;
    OrganisationId organisation;
    /** Opaque text handed to each task. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How often the steps run; 0 for once and at once. */
    std::size_t occurrences = 0;
    /** When the first occurrence is due. */
    WallTime firstDue;
    /** Time between the due times of two occurrences. */
    Duration interval{};
    WallTime acceptedAt;
};

/** What a submitter is shown. */
enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/** Whether a job in this state changes no more. */
constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/** The name of a state for logs and stored rows. */
const char *jobStateName(JobState state);

/** Names one task of one occurrence of a job. */
struct TaskKey {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/** A task and the number of one of its runs. */
using RunKey = std::pair<TaskKey, std::int64_t>;

/** Text of a task key for logs: `job.occurrence.step.index`. */
std::string toString(const TaskKey &key);

} // namespace coriander::workflow
