#include "corianderscale/Standin/TaskScript.h"

#include <charconv>
#include <sstream>

namespace coriander {

namespace {

std::int64_t parseNumber(const std::string &text, std::int64_t fallback)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole && number >= 0 ? number : fallback;
}

void applyWord(TaskScript &script, const std::string &key, const std::string &value)
{
    const std::int64_t number = parseNumber(value, 0);
    if (key == "ms") {
        script.run = std::chrono::milliseconds(number);
    } else if (key == "outcome") {
        script.succeeds = value != "fail";
    } else if (key == "checkpoint") {
        script.canCheckpoint = value == "yes";
    } else if (key == "checkpointMs") {
        script.checkpoint = std::chrono::milliseconds(number);
    } else if (key == "stopMs") {
        script.stop = std::chrono::milliseconds(number);
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
        const std::size_t split = word.find('=');
        if (split != std::string::npos) {
            applyWord(script, word.substr(0, split), word.substr(split + 1));
        }
    }
    return script;
}

} // namespace coriander
