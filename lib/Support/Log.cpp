#include "corianderscale/Support/Log.h"

#include "corianderscale/Support/EventRing.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace coriander {

namespace {

std::atomic<LogLevel> minimumLevel = LogLevel::Info;
std::string processFields;
std::function<void(std::string)> lineSink;

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (unsigned char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
            text += static_cast<char>(c);
        } else if (c == '\n') {
            text += "\\n";
        } else if (c < ' ' || c == 0x7f) {
            text += fmt::format("\\x{:02x}", c);
        } else {
            text += static_cast<char>(c);
        }
    }
    text += '"';
    return text;
}

} // namespace

void setLogProcess(std::string_view program, std::string_view instance)
{
    processFields = fmt::format(" program={} instance={}", program, instance);
}

void setLogSink(std::function<void(std::string line)> sink)
{
    lineSink = std::move(sink);
}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

std::string formatLogField(const LogField &field)
{
    if (needsQuotes(field.value)) {
        return field.key + "=" + quote(field.value);
    }
    return field.key + "=" + field.value;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level >= LogLevel::Info && !lineSink) {
        processEvents().add({processClock().tick(), std::string(event), fields});
    }
    if (level < minimumLevel.load()) {
        return;
    }
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={}{} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                                   (now - seconds).count(),
                                   levelName(level),
                                   processFields,
                                   event);
    for (const LogField &field : fields) {
        line += ' ';
        line += formatLogField(field);
    }
    line += '\n';
    if (lineSink) {
        lineSink(std::move(line));
        return;
    }
    // A single call writes the whole line, so that lines of different threads do not interleave.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace coriander
