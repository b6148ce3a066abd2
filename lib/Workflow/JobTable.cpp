#include "corianderscale/Workflow/JobTable.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

bool anyInPhase(const Job &job, TaskPhase phase)
{
    const auto matches = [phase](const Task &task) {
        return task.phase == phase;
    };
    for (const Occurrence &occurrence : job.occurrences) {
        for (const std::vector<Task> &step : occurrence.steps) {
            if (std::any_of(step.begin(), step.end(), matches)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

OccurrenceRecord Job::record(std::size_t occurrence) const
{
    OccurrenceRecord record;
    for (const std::vector<Task> &step : occurrences[occurrence].steps) {
        record.steps.emplace_back(step.begin(), step.end());
    }
    record.jobFailed = state == JobState::Failed;
    return record;
}

bool Job::has(const TaskKey &key) const
{
    return key.occurrence < occurrences.size() && key.step < spec.steps.size()
        && key.index < spec.steps[key.step].tasks;
}

Task &Job::task(const TaskKey &key)
{
    return occurrences.at(key.occurrence).steps.at(key.step).at(key.index);
}

const Task &Job::task(const TaskKey &key) const
{
    return occurrences.at(key.occurrence).steps.at(key.step).at(key.index);
}

const StepSpec &Job::step(const TaskKey &key) const
{
    return spec.steps.at(key.step);
}

bool Job::stepDone(std::size_t occurrence, std::size_t step) const
{
    const std::vector<Task> &tasks = occurrences[occurrence].steps[step];
    return std::all_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.phase == TaskPhase::Done; });
}

bool Job::stepReady(std::size_t occurrence, std::size_t step) const
{
    const std::vector<std::size_t> &after = spec.steps[step].after;
    return std::all_of(
        after.begin(), after.end(), [this, occurrence](std::size_t earlier) { return stepDone(occurrence, earlier); });
}

bool Job::anyAssigned() const
{
    return anyInPhase(*this, TaskPhase::Assigned);
}

bool Job::anyDone() const
{
    return anyInPhase(*this, TaskPhase::Done);
}

Job makeJob(JobSpec spec, MonotonicTime now)
{
    Job job;
    Occurrence occurrence;
    for (const StepSpec &step : spec.steps) {
        occurrence.steps.emplace_back(step.tasks, Task{});
    }
    occurrence.waitingSince.resize(spec.steps.size());
    job.occurrences.assign(std::max<std::size_t>(spec.occurrences, 1), occurrence);
    job.spec = std::move(spec);
    job.learntAt = now;
    return job;
}

bool restoreOccurrence(Job &job, std::size_t occurrence, const OccurrenceRecord &record)
{
    if (occurrence >= job.occurrences.size()) {
        return false;
    }
    job.occurrences[occurrence].stored = true;
    if (record.steps.size() != job.spec.steps.size()) {
        return false;
    }
    for (std::size_t step = 0; step < record.steps.size(); ++step) {
        if (record.steps[step].size() != job.spec.steps[step].tasks) {
            return false;
        }
    }
    for (std::size_t step = 0; step < record.steps.size(); ++step) {
        for (std::size_t index = 0; index < record.steps[step].size(); ++index) {
            Task &task = job.occurrences[occurrence].steps[step][index];
            static_cast<TaskRecord &>(task) = record.steps[step][index];
            job.started = job.started || task.run > 0;
            job.begun = job.started;
        }
    }
    if (record.jobFailed) {
        job.state = JobState::Failed;
    }
    return true;
}

} // namespace coriander::workflow
