#include "corianderscale/State/TotalsCsv.h"

#include <absl/time/time.h>
#include <fmt/format.h>

namespace coriander {

namespace {

constexpr double MillisecondsPerHour = 3600.0 * 1000.0;
constexpr double MibPerGib = 1024.0;
constexpr char Header[] = "day,row,organisation,caller,accepted,finished,failed,refused_not_run,cancelled,unknown,"
                          "guaranteed_accelerator_hours,guaranteed_processor_hours,guaranteed_memory_gib_hours,"
                          "borrowed_accelerator_hours,borrowed_processor_hours,borrowed_memory_gib_hours,note\r\n";
/** Separators of the empty columns between the kind of a row and its note. */
constexpr char EmptyNumberColumns[] = ",,,,,,,,,,,,,,,";

std::string formatHours(const UsageTotals &usage)
{
    return fmt::format("{:.6f},{:.6f},{:.6f}",
                       static_cast<double>(usage.acceleratorMs) / MillisecondsPerHour,
                       static_cast<double>(usage.coreMs) / MillisecondsPerHour,
                       static_cast<double>(usage.memoryMibMs) / MillisecondsPerHour / MibPerGib);
}

std::string numbersRow(const DayTotals &totals, const std::string &row, const CallerKey &key, const CallerTotals &value)
{
    const ItemCounts &items = value.items;
    return fmt::format("{},{},{},{},{},{},{},{},{},{},{},{},\r\n",
                       totals.bounds.day,
                       row,
                       csvField(key.organisation.value()),
                       csvField(key.caller.value()),
                       items.accepted,
                       items.finished,
                       items.failed,
                       items.refusedNotRun,
                       items.cancelled,
                       items.unknown,
                       formatHours(value.usage.guaranteed),
                       formatHours(value.usage.borrowed));
}

std::string noteRow(const DayTotals &totals, const std::string &row, const std::string &note)
{
    return fmt::format("{},{}{}{}\r\n", totals.bounds.day, row, EmptyNumberColumns, csvField(note));
}

std::string formatTime(std::int64_t unixMs, const std::string &timeZone)
{
    absl::TimeZone zone;
    if (!absl::LoadTimeZone(timeZone, &zone)) {
        zone = absl::UTCTimeZone();
    }
    return absl::FormatTime("%Y-%m-%d %H:%M:%S %Ez", absl::FromUnixMillis(unixMs), zone);
}

std::string missingNote(const MissingData &data, const std::string &timeZone)
{
    if (data.expectedUnixMs == 0) {
        return data.what + "; expected after a repair";
    }
    return data.what + "; expected at " + formatTime(data.expectedUnixMs, timeZone);
}

} // namespace

std::string csvField(std::string_view text)
{
    constexpr std::string_view FormulaPrefixes = "=+-@\t\r\n|%";
    std::string field(text);
    if (!field.empty() && FormulaPrefixes.find(field.front()) != std::string_view::npos) {
        field.insert(field.begin(), '\'');
    }
    if (field.find_first_of(",\"\r\n;\t ") == std::string::npos) {
        return field;
    }
    std::string quoted = "\"";
    for (const char c : field) {
        quoted += c;
        if (c == '"') {
            quoted += '"';
        }
    }
    return quoted + '"';
}

std::string totalsToCsv(const DayTotals &totals)
{
    std::string csv = Header;
    csv += noteRow(totals, "status", totals.complete() ? "complete" : "incomplete");
    for (const MissingData &data : totals.missing) {
        csv += noteRow(totals, "missing", missingNote(data, totals.bounds.timeZone));
    }
    std::map<OrganisationId, CallerTotals> sums;
    for (const auto &[key, value] : totals.callers) {
        csv += numbersRow(totals, "caller", key, value);
        sums[key.organisation] += value;
    }
    for (const auto &[organisation, value] : sums) {
        csv += numbersRow(totals, "organisation", {organisation, {}}, value);
    }
    for (const TotalsCorrection &correction : totals.corrections) {
        for (const auto &[key, value] : correction.difference) {
            csv += numbersRow(totals, fmt::format("correction-{}", correction.number), key, value);
        }
    }
    return csv;
}

} // namespace coriander
