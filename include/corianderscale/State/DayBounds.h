#pragma once

#include "corianderscale/Support/Time.h"

#include <optional>
#include <string>

namespace coriander {

/** One civil day of a time zone: from its first instant up to that of the next day. */
struct DayBounds {
    /** `YYYY-MM-DD`. */
    std::string day;
    std::string timeZone;
    std::int64_t startUnixMs = 0;
    std::int64_t endUnixMs = 0;

    /** Whether a time lies in the day. */
    bool contains(std::int64_t unixMs) const
    {
        return unixMs >= startUnixMs && unixMs < endUnixMs;
    }
};

/**
 * Finds a day, 23 or 25 hours long at daylight-saving changes. No value for a text that is not `YYYY-MM-DD`, a date
 * that does not exist, a year outside 2000 to 2199, or an unknown time zone. Thread safety: any thread.
 */
std::optional<DayBounds> findDay(const std::string &day, const std::string &timeZone);

/** The day that contains a time; UTC when the time zone is unknown. Thread safety: any thread. */
std::string civilDayOf(WallTime time, const std::string &timeZone);

/** The name of the day after @p bounds. */
std::string dayAfter(const DayBounds &bounds);

} // namespace coriander
