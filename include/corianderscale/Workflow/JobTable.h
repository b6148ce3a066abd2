#pragma once

#include "corianderscale/Workflow/Records.h"

#include <map>
#include <set>
#include <vector>

namespace coriander::workflow {

/** A task with what only this owner knows of it. */
struct Task : TaskRecord {
    /** Workers on which a run of it failed; others are tried first. */
    std::set<WorkerId> failedOn;
    /** Share of the work that the checkpoint holds, 0 to 100, as far as it is known. */
    int checkpointPercent = 0;
    /** How often it was moved off a slow worker. */
    int moves = 0;
};

struct Occurrence {
    std::vector<std::vector<Task>> steps;
    /** Whether the stored row is older than this. */
    bool dirty = false;
    /** Runs whose start order waits until the row is stored. */
    std::vector<std::pair<WorkerId, RunKey>> pendingStarts;
};

/** A job that has not ended, as the owner holds it. */
struct Job {
    JobSpec spec;
    std::vector<Occurrence> occurrences;
    JobState state = JobState::Queued;
    /** Whether a run was started, so that the job counts as waiting no more. */
    bool started = false;
    bool stateDirty = false;
    /** When this owner learnt of it; accepted before that. */
    MonotonicTime seenAt;

    /** The stored form of one occurrence. */
    OccurrenceRecord record(std::size_t occurrence) const;
    Task &task(const TaskKey &key);
    const StepSpec &step(const TaskKey &key) const;
    /** Whether all tasks of a step are done. */
    bool stepDone(std::size_t occurrence, std::size_t step) const;
    /** Whether all steps that @p step comes after are done. */
    bool stepReady(std::size_t occurrence, std::size_t step) const;
    /** Whether any task has a run that may exist. */
    bool anyAssigned() const;
};

/** Makes a job with fresh tasks. */
Job makeJob(JobSpec spec, MonotonicTime now);

/** Puts stored progress into a job; returns whether it matched the job's shape. */
bool restoreOccurrence(Job &job, std::size_t occurrence, const OccurrenceRecord &record);

} // namespace coriander::workflow
