#include "corianderscale/State/TotalsLedger.h"

#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

#include "TotalsRows.h"

namespace coriander {

namespace {

/** Maximum number of rows in one page of a scan. */
constexpr std::int64_t MaximumPageRows = 1000;
constexpr std::size_t OperationRandomBytes = 16;
/** Maximum number of times that the totals are computed and written when writes of other gateways conflict. */
constexpr int MaximumWriteAttempts = 4;

StateError unavailable(const CoordinationError &error)
{
    return {StateCode::Unavailable, "the platform's table does not answer: " + error.reason + "; try again later"};
}

template<typename Record>
void addRow(TotalsRecount &recount, const TableRow &row)
{
    ProtocolError error;
    if (const auto record = decodeMessage<Record>(row.value, error)) {
        recount.add(*record);
    } else {
        recount.addUnreadable(row.key, error.reason);
    }
}

/** Returns the complete count minus the closed totals and all corrections so far. */
TotalsByCaller differenceBetween(const TotalsByCaller &counted, const std::vector<TotalsCorrection> &entries)
{
    TotalsByCaller difference = counted;
    for (const TotalsCorrection &entry : entries) {
        for (const auto &[key, totals] : entry.difference) {
            difference[key] -= totals;
        }
    }
    std::erase_if(difference, [](const auto &item) { return item.second == CallerTotals(); });
    return difference;
}

} // namespace

TotalsLedger::TotalsLedger(Store &store, Clock clock, std::function<std::vector<InstanceView>()> instances)
    : m_store(store)
    , m_clock(std::move(clock))
    , m_instances(std::move(instances))
{
}

std::optional<DayTotals> TotalsLedger::totals(const std::string &day,
                                              const Document &document,
                                              MonotonicTime deadline,
                                              StateError &error)
{
    for (int attempt = 0; attempt < MaximumWriteAttempts; ++attempt) {
        std::optional<ClosedDay> closed = readClosed(day, deadline, error);
        if (!closed) {
            return std::nullopt;
        }
        const auto bounds = findDay(day, closed->entries.empty() ? document.timeZone : closed->timeZone);
        if (!bounds) {
            error = {StateCode::Invalid, "expected an existing day such as 2026-03-29"};
            return std::nullopt;
        }
        std::optional<DayTotals> counted = recount(*bounds, document, deadline, error);
        if (!counted) {
            return std::nullopt;
        }
        std::optional<DayTotals> result = closeOrCorrect(std::move(*counted), std::move(*closed), deadline, error);
        if (result || error.code != StateCode::Conflict) {
            return result;
        }
    }
    return std::nullopt;
}

std::optional<DayTotals> TotalsLedger::closeOrCorrect(DayTotals counted,
                                                      ClosedDay closed,
                                                      MonotonicTime deadline,
                                                      StateError &error)
{
    const bool isClosed = !closed.entries.empty();
    if (counted.complete()) {
        TotalsCorrection entry;
        entry.number = static_cast<std::int64_t>(closed.entries.size());
        entry.writtenUnixMs = toUnixMs(m_clock.wallNow());
        entry.difference = differenceBetween(counted.callers, closed.entries);
        if (!isClosed || !entry.difference.empty()) {
            if (!writeEntry(counted.bounds, entry, deadline, error)) {
                return std::nullopt;
            }
            closed.entries.push_back(std::move(entry));
        }
    }
    if (!closed.entries.empty()) {
        // Data that is missing now can only lead to a correction; the closed totals do not change.
        counted.missing.clear();
        counted.closedUnixMs = closed.entries.front().writtenUnixMs;
        counted.callers = std::move(closed.entries.front().difference);
        counted.corrections.assign(closed.entries.begin() + 1, closed.entries.end());
    }
    return counted;
}

std::optional<TotalsLedger::ClosedDay> TotalsLedger::readClosed(const std::string &day,
                                                                MonotonicTime deadline,
                                                                StateError &error)
{
    ClosedDay closed;
    std::string fault;
    const bool succeeded = scanRows(
        totalsPrefix(day),
        [&closed, &fault](const TableRow &row) {
            ProtocolError reason;
            const auto part = decodeMessage<TotalsPart>(row.value, reason);
            if (!part) {
                fault = row.key + ": " + reason.reason;
                return;
            }
            if (part->part == 0) {
                closed.entries.push_back({part->number, part->writtenUnixMs, {}});
                closed.timeZone = part->timeZone;
            }
            if (!closed.entries.empty()) {
                closed.entries.back().difference.insert(part->callers.begin(), part->callers.end());
            }
        },
        deadline,
        error);
    if (!succeeded) {
        return std::nullopt;
    }
    if (!fault.empty()) {
        error = {StateCode::Invalid, "a row of the closed totals cannot be read: " + fault};
        return std::nullopt;
    }
    return closed;
}

std::optional<DayTotals> TotalsLedger::recount(const DayBounds &bounds,
                                               const Document &document,
                                               MonotonicTime deadline,
                                               StateError &error)
{
    // The time and the members are read before the rows. Data that becomes final in between is then reported as missing
    // at worst, never left out of a complete day.
    TotalsRecount recount(bounds, m_instances(), toUnixMs(m_clock.wallNow()));
    std::set<DataCentreId> dataCentres;
    for (const DataCentreSpec &dataCentre : document.dataCentres) {
        dataCentres.insert(dataCentre.id);
    }
    const auto addJob = [&](const TableRow &row) {
        const std::size_t start = row.key.find('/') + 1;
        dataCentres.insert(DataCentreId(row.key.substr(start, row.key.find('/', start) - start)));
        addRow<JobRecord>(recount, row);
    };
    bool succeeded
        = scanRows("jobs/", addJob, deadline, error)
        && scanRows(
              "requests/", [&recount](const TableRow &row) { addRow<RequestRecord>(recount, row); }, deadline, error)
        && scanRows(
              "counts/" + bounds.day + "/",
              [&recount](const TableRow &row) { addRow<CountsRecord>(recount, row); },
              deadline,
              error);
    for (auto dataCentre = dataCentres.begin(); succeeded && dataCentre != dataCentres.end(); ++dataCentre) {
        for (const std::string &day : {bounds.day, dayAfter(bounds)}) {
            succeeded = succeeded
                && scanRows(
                            fmt::format("usage/{}/{}/", *dataCentre, day),
                            [&recount](const TableRow &row) { addRow<UsageRecord>(recount, row); },
                            deadline,
                            error);
        }
    }
    return succeeded ? std::optional(recount.finish()) : std::nullopt;
}

bool TotalsLedger::scanRows(const std::string &prefix,
                            const std::function<void(const TableRow &)> &visit,
                            MonotonicTime deadline,
                            StateError &error)
{
    TableScan scan{prefix, {}, MaximumPageRows};
    for (;;) {
        CoordinationError reason;
        const std::optional<TableRows> page = scanAndWait(m_store, scan, deadline, reason);
        if (!page) {
            error = unavailable(reason);
            return false;
        }
        std::for_each(page->rows.begin(), page->rows.end(), visit);
        if (!page->more || page->rows.empty()) {
            return true;
        }
        scan.after = page->rows.back().key;
    }
}

bool TotalsLedger::writeEntry(const DayBounds &bounds,
                              const TotalsCorrection &entry,
                              MonotonicTime deadline,
                              StateError &error)
{
    const std::vector<TotalsPart> parts = splitIntoParts(entry, bounds.timeZone);
    if (parts.size() > MaximumTransactionWrites) {
        error
            = {StateCode::Invalid, fmt::format("a day of more than {} callers cannot be closed", 100 * CallersPerPart)};
        return false;
    }
    TableTransaction transaction;
    transaction.operation = OperationId(randomHex(OperationRandomBytes));
    transaction.conditions = {{totalsPartKey(bounds.day, entry.number, 0), RowVersion(0)}};
    for (const TotalsPart &part : parts) {
        transaction.puts.push_back({totalsPartKey(bounds.day, part.number, part.part), encodeMessage(part)});
    }
    CoordinationError reason;
    const auto result = commitAndWait(m_store, std::move(transaction), deadline, reason);
    if (result && result->committed) {
        return true;
    }
    if (result || reason.code == CoordinationCode::OutcomeUnknown) {
        // Either another gateway or this write has closed the day. The caller reads the rows again to find out.
        error = {StateCode::Conflict, "the day is being closed by another gateway; try again"};
        return false;
    }
    error = unavailable(reason);
    return false;
}

} // namespace coriander
