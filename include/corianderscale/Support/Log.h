#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Units.h"

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** A key and a value formatted as text; logEvent() quotes the value if necessary. */
struct LogField {
    template<typename Value>
    LogField(std::string_view fieldKey, const Value &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string key;
    std::string value;
};

/**
 * Sets the program and instance that every log line carries. Call once, before other threads start.
 */
void setLogProcess(std::string_view program, std::string_view instance);

/** Drops events below @p level. Thread safety: any thread. */
void setLogLevel(LogLevel level);

/**
 * Passes log lines to @p sink instead of standard error, and stops recording events for the timeline. An empty sink
 * restores both. Call while no other thread logs.
 */
void setLogSink(std::function<void(std::string line)> sink);

/**
 * Writes one line of key=value pairs to standard error or to the sink: time, level, program, instance and event,
 * followed by @p fields.
 *
 * Thread safety: any thread; lines do not interleave.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** Formats one field as `key=value`; quotes and escapes a value with spaces, quotes or control characters. */
std::string formatLogField(const LogField &field);

} // namespace coriander

template<typename Tag>
struct fmt::formatter<coriander::StrongId<Tag>> : fmt::formatter<std::string_view> {
    template<typename Context>
    auto format(const coriander::StrongId<Tag> &id, Context &context) const
    {
        return fmt::formatter<std::string_view>::format(id.value(), context);
    }
};

template<typename Tag>
struct fmt::formatter<coriander::Quantity<Tag>> : fmt::formatter<std::int64_t> {
    template<typename Context>
    auto format(const coriander::Quantity<Tag> &quantity, Context &context) const
    {
        return fmt::formatter<std::int64_t>::format(quantity.count(), context);
    }
};
