#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/State/DayBounds.h"
#include "corianderscale/State/InstanceView.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/** What one caller had on a day. In a correction the numbers are differences and may be negative. */
struct CallerTotals {
    ItemCounts items;
    CallerUsage usage;

    CallerTotals &operator+=(const CallerTotals &other);
    CallerTotals &operator-=(const CallerTotals &other);
    bool operator==(const CallerTotals &other) const;
    Json toJson() const;
    static CallerTotals fromJson(JsonReader &reader);
};

using TotalsByCaller = std::map<CallerKey, CallerTotals>;

/** Something without which the totals of a day may still change. */
struct MissingThing {
    std::string what;
    /** When it is expected, in ms since the Unix epoch; 0 when that depends on a repair. */
    std::int64_t expectedUnixMs = 0;
};

/** A change that was found after a day was complete. */
struct TotalsCorrection {
    std::int64_t number = 0;
    std::int64_t writtenUnixMs = 0;
    TotalsByCaller difference;
};

/** The totals of one civil day. */
struct DayTotals {
    DayBounds bounds;
    TotalsByCaller callers;
    /** Empty when the day is complete. */
    std::vector<MissingThing> missing;
    /** When the complete totals were written down; 0 before. From then on @c callers never changes. */
    std::int64_t closedUnixMs = 0;
    std::vector<TotalsCorrection> corrections;

    bool complete() const
    {
        return missing.empty();
    }

    Json toJson() const;
};

/** After a day ends, writes that were under way may take this long to arrive. */
inline constexpr std::int64_t SettlingMs = 60 * 1000;
/** A gateway that is gone for this long after the end of a day, or after its last write, adds nothing to the day. */
inline constexpr std::int64_t GoneGatewayMs = 10 * 60 * 1000;

/**
 * Counts the totals of one day from durable rows, in any order.
 *
 * Items count as accepted on the day of their submission and as ended on the day of their end. Idempotent requests and
 * refusals come from counts rows, of which the larger value wins element by element; jobs and claims from their own
 * rows; usage from usage rows, of which the highest sequence of each worker incarnation wins. Thread safety: not thread
 * safe.
 */
class TotalsRecount
{
public:
    /** @p instances are the live gateways and schedulers, including this one. */
    TotalsRecount(DayBounds bounds, std::vector<InstanceView> instances, std::int64_t nowUnixMs);

    /** Takes a row `counts/<day>/...` of this day. */
    void add(const CountsRecord &record);
    /** Takes any job row. */
    void add(const JobRecord &record);
    /** Takes any request row. */
    void add(const RequestRecord &record);
    /** Takes a row `usage/...` of this day or the next. */
    void add(const UsageRecord &record);
    /** Takes note of a row that cannot be understood. */
    void addUnreadable(const std::string &key, const std::string &reason);

    /** The totals, with everything that is missing. Call once, after all rows were added. */
    DayTotals finish();

private:
    void findMissingCounts();
    void findMissingUsage();
    void findCutOff();
    void miss(std::string what, std::int64_t expectedUnixMs);
    const InstanceView *findInstance(const InstanceId &instance) const;

    DayTotals m_totals;
    std::vector<InstanceView> m_instances;
    std::int64_t m_nowUnixMs;
    std::map<InstanceId, CountsRecord> m_counts;
    std::map<std::pair<WorkerId, InstanceId>, UsageRecord> m_usage;
    /** Workers that have reported after the end of the day. */
    std::set<WorkerId> m_reportedLater;
    /** Workers on which a job ran at the end of the day, each with one such job. */
    std::map<WorkerId, JobId> m_ranAtEnd;
};

} // namespace coriander
