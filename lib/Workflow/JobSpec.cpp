#include "corianderscale/Workflow/JobSpec.h"

#include <fmt/format.h>

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

std::string toString(const TaskKey &key)
{
    return fmt::format("{}.{}.{}.{}", key.job.value(), key.occurrence, key.step, key.index);
}

} // namespace coriander::workflow
