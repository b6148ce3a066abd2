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
 * Computes the totals of days from the table and stores those of complete days.
 *
 * The first complete count of a day closes the day: it is written as rows `totals/<day>/0000/<part>`. The totals of a
 * closed day do not change; a later complete recount that differs is written as a correction `totals/<day>/<n>/<part>`.
 *
 * Thread safety: any thread except those on which the store runs its completions, because the methods block until the
 * store has answered.
 */
class TotalsLedger
{
public:
    /** @p instances returns the live gateways and schedulers, including this instance. */
    TotalsLedger(Store &store, Clock clock, std::function<std::vector<InstanceView>()> instances);

    /**
     * Returns the totals of a day in the document's time zone; a closed day keeps the time zone it was closed with.
     * Returns no value and an error when the day is invalid, a row of the closed totals cannot be decoded, the totals
     * cannot be stored, or the store does not answer all calls before the deadline.
     */
    std::optional<DayTotals> totals(const std::string &day,
                                    const Document &document,
                                    MonotonicTime deadline,
                                    StateError &error);

private:
    /** The stored rows of a closed day; no entries when the day is not closed. */
    struct ClosedDay {
        std::string timeZone;
        /** The closed totals at index 0, then the corrections. */
        std::vector<TotalsCorrection> entries;
    };

    std::optional<ClosedDay> readClosed(const std::string &day, MonotonicTime deadline, StateError &error);
    std::optional<DayTotals> recount(const DayBounds &bounds,
                                     const Document &document,
                                     MonotonicTime deadline,
                                     StateError &error);
    bool scanRows(const std::string &prefix,
                  const std::function<void(const TableRow &)> &visit,
                  MonotonicTime deadline,
                  StateError &error);
    bool writeEntry(const DayBounds &bounds, const TotalsCorrection &entry, MonotonicTime deadline, StateError &error);
    std::optional<DayTotals> closeOrCorrect(DayTotals counted,
                                            ClosedDay closed,
                                            MonotonicTime deadline,
                                            StateError &error);

    Store &m_store;
    Clock m_clock;
    std::function<std::vector<InstanceView>()> m_instances;
};

} // namespace coriander
