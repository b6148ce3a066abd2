#include "corianderscale/Scheduler/CivilDay.h"

#include <absl/time/civil_time.h>
#include <absl/time/time.h>

namespace coriander {

namespace {

absl::Time toAbsl(WallTime time)
{
    return absl::FromUnixMicros(time.time_since_epoch().count());
}

WallTime fromAbsl(absl::Time time)
{
    return WallTime(Duration(absl::ToUnixMicros(time)));
}

std::string toText(absl::CivilDay day)
{
    return absl::FormatCivilTime(day);
}

} // namespace

class CivilDays::Zone
{
public:
    explicit Zone(const std::string &name)
    {
        if (!absl::LoadTimeZone(name, &m_zone)) {
            m_zone = absl::UTCTimeZone();
        }
    }

    absl::CivilDay dayOf(WallTime time) const
    {
        return absl::ToCivilDay(toAbsl(time), m_zone);
    }

    WallTime startOf(absl::CivilDay day) const
    {
        return fromAbsl(absl::FromCivil(day, m_zone));
    }

private:
    absl::TimeZone m_zone;
};

CivilDays::CivilDays(const std::string &timeZone)
    : m_zone(std::make_unique<Zone>(timeZone))
{
}

CivilDays::~CivilDays() = default;

CivilDays::CivilDays(const CivilDays &other)
    : m_zone(std::make_unique<Zone>(*other.m_zone))
{
}

CivilDays &CivilDays::operator=(const CivilDays &other)
{
    if (this != &other) {
        m_zone = std::make_unique<Zone>(*other.m_zone);
    }
    return *this;
}

std::string CivilDays::dayOf(WallTime time) const
{
    return toText(m_zone->dayOf(time));
}

std::string CivilDays::dayBefore(WallTime time, int days) const
{
    return toText(m_zone->dayOf(time) - days);
}

std::vector<DayPart> CivilDays::split(WallTime from, WallTime to) const
{
    if (to <= from) {
        return {{dayOf(to), Duration(0)}};
    }
    std::vector<DayPart> parts;
    while (from < to) {
        const absl::CivilDay day = m_zone->dayOf(from);
        const WallTime end = std::min(to, m_zone->startOf(day + 1));
        parts.push_back({toText(day), end - from});
        from = end;
    }
    return parts;
}

} // namespace coriander
