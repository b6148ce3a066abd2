#include "corianderscale/Workflow/JobSpec.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace coriander::workflow {

const char *jobStateName(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

JobState jobStateFromName(const std::string &name)
{
    for (const JobState state :
         {JobState::Queued, JobState::Running, JobState::Completed, JobState::Failed, JobState::Cancelled}) {
        if (name == jobStateName(state)) {
            return state;
        }
    }
    throw std::out_of_range("unknown job state " + name);
}

decision::Resources StepSpec::reservedResources() const
{
    decision::Resources reserved = perTask;
    if (usesIdleCores) {
        reserved.cores = MilliCores(0);
    }
    return reserved;
}

std::vector<std::size_t> distinctSteps(std::vector<std::size_t> indices)
{
    std::sort(indices.begin(), indices.end());
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
    indices.shrink_to_fit();
    return indices;
}

std::string toString(const TaskKey &key)
{
    return fmt::format("{}.{}.{}.{}", key.job.value(), key.occurrence, key.step, key.index);
}

} // namespace coriander::workflow
