#include "corianderscale/Standin/TaskScript.h"

#include <charconv>
#include <sstream>

namespace coriander {

namespace {

std::int64_t parseNumber(const std::string &text, std::int64_t fallback)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool valid = error == std::errc() && end == text.data() + text.size();
    return valid && number >= 0 ? number : fallback;
}

void applyOption(TaskScript &script, const std::string &key, const std::string &value)
{
    const std::int64_t number = parseNumber(value, 0);
    if (key == "ms") {
        script.runTime = std::chrono::milliseconds(number);
    } else if (key == "outcome") {
        script.succeeds = value != "fail";
    } else if (key == "checkpoint") {
        script.canCheckpoint = value == "yes";
    } else if (key == "checkpointMs") {
        script.checkpointTime = std::chrono::milliseconds(number);
    } else if (key == "stopMs") {
        script.stopTime = std::chrono::milliseconds(number);
    } else if (key == "cores") {
        script.cores = MilliCores(number);
    } else if (key == "memoryMb") {
        script.memory = MemoryMib(number);
    }
}

} // namespace

TaskScript parseTaskScript(const std::string &command)
{
    TaskScript script;
    std::istringstream words(command);
    std::string word;
    while (words >> word) {
        const std::size_t separator = word.find('=');
        if (separator != std::string::npos) {
            applyOption(script, word.substr(0, separator), word.substr(separator + 1));
        }
    }
    return script;
}

} // namespace coriander
