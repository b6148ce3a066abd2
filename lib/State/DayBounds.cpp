#include "corianderscale/State/DayBounds.h"

#include <absl/time/civil_time.h>
#include <absl/time/time.h>

namespace coriander {

namespace {

constexpr absl::civil_year_t FirstYear = 2000;
constexpr absl::civil_year_t LastYear = 2199;
constexpr std::size_t DayTextLength = 10;

} // namespace

std::optional<DayBounds> findDay(const std::string &day, const std::string &timeZone)
{
    absl::TimeZone zone;
    absl::CivilDay civil;
    if (day.size() != DayTextLength || !absl::ParseCivilTime(day, &civil) || absl::FormatCivilTime(civil) != day
        || civil.year() < FirstYear || civil.year() > LastYear || !absl::LoadTimeZone(timeZone, &zone)) {
        return std::nullopt;
    }
    DayBounds bounds{day, timeZone, 0, 0};
    bounds.startUnixMs = absl::ToUnixMillis(absl::FromCivil(civil, zone));
    bounds.endUnixMs = absl::ToUnixMillis(absl::FromCivil(civil + 1, zone));
    return bounds;
}

std::string civilDayOf(WallTime time, const std::string &timeZone)
{
    absl::TimeZone zone;
    if (!absl::LoadTimeZone(timeZone, &zone)) {
        zone = absl::UTCTimeZone();
    }
    return absl::FormatCivilTime(absl::ToCivilDay(absl::FromUnixMicros(time.time_since_epoch().count()), zone));
}

std::string dayAfter(const DayBounds &bounds)
{
    return civilDayOf(fromUnixMs(bounds.endUnixMs), bounds.timeZone);
}

} // namespace coriander
