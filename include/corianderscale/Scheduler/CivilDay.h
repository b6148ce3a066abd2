#pragma once

#include "corianderscale/Support/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace coriander {

/** The part of an interval that lies in one civil day. */
struct DayPart {
    /** `YYYY-MM-DD`. */
    std::string day;
    Duration length{};
};

/**
 * Civil days of one time zone. A day has 23 or 25 hours when daylight-saving time starts or ends.
 *
 * Thread safety: const methods from any thread.
 */
class CivilDays
{
public:
    /** Uses UTC if @p timeZone is not a known IANA name. */
    explicit CivilDays(const std::string &timeZone);
    ~CivilDays();
    CivilDays(const CivilDays &other);
    CivilDays &operator=(const CivilDays &other);

    /** The day that contains @p time. */
    std::string dayOf(WallTime time) const;

    /** The day that is @p days before the one that contains @p time. */
    std::string dayBefore(WallTime time, int days) const;

    /** Splits an interval at midnight, in order. Returns one part of length zero when @p to is not after @p from. */
    std::vector<DayPart> split(WallTime from, WallTime to) const;

private:
    class Zone;
    std::unique_ptr<Zone> m_zone;
};

} // namespace coriander
