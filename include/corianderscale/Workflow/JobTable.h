#pragma once

#include "corianderscale/Workflow/Records.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coriander::workflow {

/** A task with the state that the owner does not store. */
struct Task : TaskRecord {
    /** Workers on which a run of the task failed or was too slow; other workers are tried first. */
    std::set<WorkerId> failedOn;
    /** Percent of the work that the checkpoint covers, 0 to 100; 0 if unknown. */
    int checkpointPercent = 0;
    /** How often the task was moved off a slow worker. */
    int moves = 0;
    /** When its last run failed in this term. */
    std::optional<MonotonicTime> lastFailureAt;
};

struct Occurrence {
    std::vector<std::vector<Task>> steps;
    /** By step: since when tasks of the step wait for room; no value if none do. */
    std::vector<std::optional<MonotonicTime>> waitingSince;
    /** Whether the occurrence changed since its row was stored. */
    bool dirty = false;
    /** Whether the store has, or is about to get, a row of the occurrence. */
    bool stored = false;
    /** Runs whose start order is sent once the row is stored. */
    std::vector<std::pair<WorkerId, RunKey>> pendingStarts;
};

/** The owner's in-memory state of a job that has not ended. */
struct Job {
    JobSpec spec;
    std::vector<Occurrence> occurrences;
    JobState state = JobState::Queued;
    /** Workers on which a run of the job failed in this term. */
    std::set<WorkerId> failedOn;
    /** Whether a run was placed; the job then no longer counts as waiting, unless the run turned out not to exist. */
    bool started = false;
    /** Whether a run is known to have begun. */
    bool begun = false;
    /** Whether a start was given up before any run had begun; the job then counts as waiting until one has. */
    bool startGivenUp = false;
    bool stateDirty = false;
    /** When this owner learnt of the job, which is after the job was accepted. */
    MonotonicTime learntAt;

    /** The stored form of one occurrence. */
    OccurrenceRecord record(std::size_t occurrence) const;
    /** Whether the job has the task. */
    bool has(const TaskKey &key) const;
    /** Precondition: the job has the task. */
    Task &task(const TaskKey &key);
    const Task &task(const TaskKey &key) const;
    /** Precondition: the job has the step. */
    const StepSpec &step(const TaskKey &key) const;
    /** Whether all tasks of a step are done. */
    bool stepDone(std::size_t occurrence, std::size_t step) const;
    /** Whether all steps that @p step depends on are done. */
    bool stepReady(std::size_t occurrence, std::size_t step) const;
    /** Whether any task has a run that may still exist. */
    bool anyAssigned() const;
    /** Whether any task is done. */
    bool anyDone() const;
};

/** Makes a job whose tasks have not been started. */
Job makeJob(JobSpec spec, MonotonicTime now);

/** Restores the stored progress of an occurrence. Returns false, without a change of its tasks, if the number of steps
 * or tasks does not match the job. */
bool restoreOccurrence(Job &job, std::size_t occurrence, const OccurrenceRecord &record);

} // namespace coriander::workflow
