#pragma once

#include "corianderscale/Workflow/Records.h"

#include <boost/dynamic_bitset.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace coriander::workflow {

/** A task that was assigned at some time and is not done, with the state that the owner does not store. */
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

/** Names a step of one occurrence within its job. */
struct StepIndex {
    std::size_t occurrence = 0;
    std::size_t step = 0;

    auto operator<=>(const StepIndex &) const = default;
};

/**
 * The tasks of one step of one occurrence. Takes memory for the tasks that were assigned at some time and are not done;
 * a bit for each task once one of them is done; and none for the others.
 *
 * Thread safety: none.
 */
class StepTasks
{
public:
    explicit StepTasks(std::size_t count);

    std::size_t count() const
    {
        return m_count;
    }
    std::size_t assigned() const
    {
        return m_assigned;
    }
    std::size_t done() const
    {
        return m_done;
    }
    std::size_t waiting() const
    {
        return m_count - m_assigned - m_done;
    }

    TaskPhase phase(std::size_t index) const;
    /** The state of a task; null if it was never assigned or is done. */
    const Task *find(std::size_t index) const;
    Task *find(std::size_t index);
    /** The state of a task that is not done; adds it if the task was never assigned. */
    Task &state(std::size_t index);
    /** Changes the phase of a task, which must not be done. */
    Task &setPhase(std::size_t index, TaskPhase phase);
    void setDone(std::size_t index);

    /** The tasks that were assigned at some time and are not done, by index. */
    const std::map<std::size_t, Task> &states() const
    {
        return m_states;
    }
    std::map<std::size_t, Task> &states()
    {
        return m_states;
    }

    /** The first @p most tasks that wait, in ascending order. */
    std::vector<std::size_t> waitingTasks(std::size_t most) const;

private:
    bool isDone(std::size_t index) const;

    std::size_t m_count;
    std::size_t m_assigned = 0;
    std::size_t m_done = 0;
    std::map<std::size_t, Task> m_states;
    /** By index; empty while no task is done. */
    boost::dynamic_bitset<> m_doneTasks;
};

/**
 * The owner's state of a job that has not ended. Occurrences take memory only while one of their steps has tasks that
 * were assigned and are not done, apart from some bits each: neither occurrences that are not due, nor those that wait,
 * nor those that are done.
 *
 * Thread safety: none.
 */
class Job
{
public:
    Job(JobSpec spec, MonotonicTime learntAt);

    JobSpec spec;
    JobState state = JobState::Queued;
    /** Workers on which a run of the job failed in this term. */
    std::set<WorkerId> failedOn;
    /** Whether a run is known to have begun; until then the job is shown as queued and counts as waiting. */
    bool begun = false;
    bool stateDirty = false;
    /** When this owner learnt of the job, which is after the job was accepted. */
    MonotonicTime learntAt;
    /** Since when tasks of a step wait for room; steps that no planning pass has come to are not listed. */
    std::map<StepIndex, MonotonicTime> waitingSince;
    /** When the advisor was last asked about a step of which tasks wait; steps that were not asked about are not
     * listed.
     */
    std::map<StepIndex, MonotonicTime> adviceAskedAt;
    /** By occurrence: runs whose start order is sent once the row of the occurrence is stored. */
    std::map<std::size_t, std::vector<std::pair<WorkerId, RunKey>>> pendingStarts;
    /** Occurrences that changed since their rows were stored. */
    std::set<std::size_t> dirtyOccurrences;

    /** Memory that the job takes while it waits, as counted for the backlog. */
    std::size_t backlogBytes() const
    {
        return m_backlogBytes;
    }

    /** @name Progress; the occurrence, step and task must be the job's, see has() */
    ///@{
    /** Number of occurrences, 1 for a job that runs once. */
    std::size_t occurrenceCount() const;
    /** Whether the job has the task. */
    bool has(const TaskKey &key) const;
    const StepSpec &step(const TaskKey &key) const;
    TaskPhase phase(const TaskKey &key) const;
    /** The state of a task; null if it was never assigned or is done. */
    const Task *task(const TaskKey &key) const;
    Task *task(const TaskKey &key);
    /** The state of a task that is not done; adds it if the task was never assigned. */
    Task &taskState(const TaskKey &key);
    /** Changes the phase of a task, which must not be done. */
    Task &setPhase(const TaskKey &key, TaskPhase phase);
    void setDone(const TaskKey &key);
    /** The tasks of a step of which one was assigned at some time and not all are done; null for other steps. */
    StepTasks *openStep(const StepIndex &index);
    const StepTasks *openStep(const StepIndex &index) const;
    const std::map<StepIndex, StepTasks> &openSteps() const
    {
        return m_openSteps;
    }
    /** Whether all tasks of a step are done. */
    bool stepDone(const StepIndex &index) const;
    /** Number of tasks of a step that wait; 0 for a gang of which any task does not. */
    std::size_t waitingCount(const StepIndex &index) const;
    /** The first @p most of these tasks, in ascending order. */
    std::vector<std::size_t> waitingTasks(const StepIndex &index, std::size_t most) const;
    /** The occurrences below @p end in which tasks of the step wait and all steps that it depends on are done. */
    boost::dynamic_bitset<> waitingOccurrences(std::size_t step, std::size_t end) const;
    /** Whether all tasks of all occurrences are done. */
    bool allDone() const;
    /** Number of tasks with a run that may still exist. */
    std::size_t assignedCount() const
    {
        return m_assigned;
    }
    /** Whether any task is done. */
    bool anyDone() const
    {
        return m_anyDone;
    }
    ///@}

    /** The stored form of one occurrence. */
    OccurrenceRecord record(std::size_t occurrence) const;
    /** Restores the stored progress of an occurrence. Returns false, without a change of its tasks, if the number of
     * steps or tasks does not match the job. */
    bool restore(std::size_t occurrence, const OccurrenceRecord &record);
    /** Notes that the store has, or is about to get, a row of the occurrence. */
    void markStored(std::size_t occurrence);
    /** The occurrences with a stored row, and their number. */
    std::vector<std::size_t> storedOccurrences() const;
    std::size_t storedCount() const
    {
        return m_stored.count();
    }

private:
    bool matches(const OccurrenceRecord &record) const;
    bool hasWaitingTasks(const StepIndex &index) const;
    /** Updates what is derived from the tasks of an open step; removes the step if all are done. */
    void updateStep(const StepIndex &index);
    void markStepDone(const StepIndex &index);

    std::size_t m_backlogBytes;
    std::map<StepIndex, StepTasks> m_openSteps;
    /** By step: the occurrences in which the step is done, and those in which none of its tasks waits. */
    std::vector<boost::dynamic_bitset<>> m_doneSteps;
    std::vector<boost::dynamic_bitset<>> m_busySteps;
    boost::dynamic_bitset<> m_stored;
    /** Number of pairs of occurrence and step that are done. */
    std::size_t m_doneStepCount = 0;
    std::size_t m_assigned = 0;
    bool m_anyDone = false;
};

} // namespace coriander::workflow
