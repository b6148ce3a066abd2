#include "corianderscale/Scheduler/TaskNames.h"

#include <fmt/format.h>

#include <charconv>
#include <string_view>

namespace coriander {

namespace {

std::optional<std::int64_t> parseCount(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

TaskId taskIdOf(const JobId &job, std::int64_t attempt, std::int64_t index)
{
    return TaskId(fmt::format("{}.{}.{}", job.value(), attempt, index));
}

std::optional<TaskName> parseTaskId(const TaskId &task)
{
    const std::string_view text = task.value();
    const std::size_t last = text.rfind('.');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('.', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    const auto attempt = parseCount(text.substr(middle + 1, last - middle - 1));
    const auto index = parseCount(text.substr(last + 1));
    if (!attempt || !index) {
        return std::nullopt;
    }
    return TaskName{JobId(std::string(text.substr(0, middle))), *attempt, *index};
}

} // namespace coriander
