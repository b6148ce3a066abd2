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

/** Totals of one caller on one day. In a correction the numbers are differences and may be negative. */
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

/** Data that has not arrived yet, so that the totals of a day may still change. */
struct MissingData {
    std::string what;
    /** When the data is expected, in ms since the Unix epoch; 0 when that depends on a repair. */
    std::int64_t expectedUnixMs = 0;
};

/** A change of the totals that was found after the day was closed. */
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
    std::vector<MissingData> missing;
    /**
     * When the complete totals were stored, in ms since the Unix epoch; 0 before. After that @c callers never changes.
     */
    std::int64_t closedUnixMs = 0;
    std::vector<TotalsCorrection> corrections;

    bool complete() const
    {
        return missing.empty();
    }

    Json toJson() const;
};

/** Time in ms after the end of a day in which writes that were in flight may still arrive. */
inline constexpr std::int64_t LateWriteGraceMs = 60 * 1000;
/**
 * Time in ms after the end of a day, or after the last write of a lost gateway if that is later. After this time the
 * lost gateway adds nothing more to the day.
 */
inline constexpr std::int64_t LostGatewayGraceMs = 10 * 60 * 1000;

/**
 * Computes the totals of one day from durable rows, which may be added in any order.
 *
 * An item counts as accepted on the day of its submission and as ended on the day of its end. Idempotent requests and
 * refusals are counted from counts rows; of several rows of one gateway, the larger value of each counter is used. Jobs
 * and claims are counted from their own rows. Usage is taken from usage rows; for each worker incarnation the row with
 * the highest sequence is used. Thread safety: not thread safe.
 */
class TotalsRecount
{
public:
    /** @p instances are the live gateways and schedulers, including this one. */
    TotalsRecount(DayBounds bounds, std::vector<InstanceView> instances, std::int64_t nowUnixMs);

    /** Adds a row `counts/<day>/...`; rows of other days are ignored. */
    void add(const CountsRecord &record);
    /** Adds a job row of any day. */
    void add(const JobRecord &record);
    /** Adds a request row of any day. */
    void add(const RequestRecord &record);
    /** Adds a row `usage/...` of this day or the next. */
    void add(const UsageRecord &record);
    /** Records a row that cannot be decoded; the day is then incomplete. */
    void addUnreadable(const std::string &key, const std::string &reason);

    /** Returns the totals and the missing data. Call it once, after all rows have been added. */
    DayTotals finish();

private:
    void findMissingCounts();
    void findMissingUsage();
    void findCutOffInstances();
    void addMissing(std::string what, std::int64_t expectedUnixMs);
    const InstanceView *findInstance(const InstanceId &instance) const;

    DayTotals m_totals;
    std::vector<InstanceView> m_instances;
    std::int64_t m_nowUnixMs;
    std::map<InstanceId, CountsRecord> m_counts;
    std::map<std::pair<WorkerId, InstanceId>, UsageRecord> m_usage;
    /** Workers that have reported usage after the end of the day. */
    std::set<WorkerId> m_reportedAfterEnd;
    /** Workers on which a job was running at the end of the day, each with one such job. */
    std::map<WorkerId, JobId> m_runningAtEnd;
};

} // namespace coriander
