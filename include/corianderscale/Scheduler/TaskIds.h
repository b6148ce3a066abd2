#pragma once

#include "corianderscale/Support/StrongId.h"

#include <cstdint>
#include <optional>

namespace coriander {

/** The parts of a task id. */
struct TaskIdParts {
    JobId job;
    std::int64_t attempt = 0;
    std::int64_t index = 0;
};

/** Makes the id of a task: `<job>.<attempt>.<index>`. Thread safety: pure function. */
TaskId taskIdOf(const JobId &job, std::int64_t attempt, std::int64_t index);

/** Parses an id made by taskIdOf(); no value for any other text. Thread safety: pure function. */
std::optional<TaskIdParts> parseTaskId(const TaskId &task);

} // namespace coriander
