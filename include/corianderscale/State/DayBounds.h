#pragma once

#include "corianderscale/Support/Time.h"

#include <optional>
#include <string>

namespace coriander {

/** One civil day of a time zone, from its first instant up to but not including the first instant of the next day. */
struct DayBounds {
    /** `YYYY-MM-DD`. */
    std::string day;
    std::string timeZone;
    std::int64_t startUnixMs = 0;
    std::int64_t endUnixMs = 0;

    /** Whether the time is within the day. */
    bool contains(std::int64_t unixMs) const
    {
        return unixMs >= startUnixMs && unixMs < endUnixMs;
    }
};

/**
 * Returns the bounds of a day; at daylight-saving changes a day has 23 or 25 hours. Returns no value for a text that is
 * not `YYYY-MM-DD`, a date that does not exist, a year outside 2000 to 2199, or an unknown time zone. Thread safety:
 * any thread.
 */
std::optional<DayBounds> findDay(const std::string &day, const std::string &timeZone);

/** Returns the day that contains a time, in UTC when the time zone is unknown. Thread safety: any thread. */
std::string civilDayOf(WallTime time, const std::string &timeZone);

/** Returns the day after @p bounds as `YYYY-MM-DD`. */
std::string dayAfter(const DayBounds &bounds);

} // namespace coriander
