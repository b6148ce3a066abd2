#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/State/Document.h"
#include "corianderscale/State/Totals.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/**
 * Reads the totals of days from the table and keeps complete days.
 *
 * The first complete count of a day is written as rows `totals/<day>/0000/<part>`. From then on the day shows these
 * numbers; a complete recount that differs is written as a correction `totals/<day>/<n>/<part>` beside them.
 *
 * Thread safety: any thread on which the store does not complete its calls; the calls wait for the store.
 */
class TotalsLedger
{
public:
    /** @p instances returns the live gateways and schedulers, including this one. */
    TotalsLedger(Store &store, Clock clock, std::function<std::vector<InstanceView>()> instances);

    /**
     * The totals of a day of the document's time zone; a closed day keeps the zone it was closed with. Returns no value
     * when the store does not answer all of it before the deadline.
     */
    std::optional<DayTotals> totals(const std::string &day,
                                    const Document &document,
                                    MonotonicTime deadline,
                                    StateError &error);

private:
    /** What is written down of a closed day. */
    struct Closed {
        std::string timeZone;
        /** The closing at index 0, then the corrections. */
        std::vector<TotalsCorrection> entries;
    };

    std::optional<Closed> readClosed(const std::string &day, MonotonicTime deadline, StateError &error);
    std::optional<DayTotals> recount(const DayBounds &bounds,
                                     const Document &document,
                                     MonotonicTime deadline,
                                     StateError &error);
    bool scanRows(const std::string &prefix,
                  const std::function<void(const TableRow &)> &visit,
                  MonotonicTime deadline,
                  StateError &error);
    bool write(const DayBounds &bounds, const TotalsCorrection &entry, MonotonicTime deadline, StateError &error);
    std::optional<DayTotals> closeOrCorrect(DayTotals counted,
                                            Closed closed,
                                            MonotonicTime deadline,
                                            StateError &error);

    Store &m_store;
    Clock m_clock;
    std::function<std::vector<InstanceView>()> m_instances;
};

} // namespace coriander
