#include "corianderscale/Scheduler/TaskIds.h"

#include <fmt/format.h>

#include <charconv>
#include <string_view>

namespace coriander {

namespace {

std::optional<std::int64_t> parseNonNegative(std::string_view text)
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

std::optional<TaskIdParts> parseTaskId(const TaskId &task)
{
    const std::string_view text = task.value();
    const std::size_t lastDot = text.rfind('.');
    if (lastDot == std::string_view::npos || lastDot == 0) {
        return std::nullopt;
    }
    const std::size_t secondLastDot = text.rfind('.', lastDot - 1);
    if (secondLastDot == std::string_view::npos || secondLastDot == 0) {
        return std::nullopt;
    }
    const auto attempt = parseNonNegative(text.substr(secondLastDot + 1, lastDot - secondLastDot - 1));
    const auto index = parseNonNegative(text.substr(lastDot + 1));
    if (!attempt || !index) {
        return std::nullopt;
    }
    return TaskIdParts{JobId(std::string(text.substr(0, secondLastDot))), *attempt, *index};
}

} // namespace coriander
