#include "corianderscale/State/Totals.h"

namespace coriander {

namespace {

/** Reads a number that may be negative, as the numbers of corrections are. */
std::int64_t readSigned(JsonReader &reader, const std::string &key)
{
    constexpr std::int64_t Bound = std::numeric_limits<std::int64_t>::max();
    return reader.integer(key, 0, -Bound, Bound);
}

UsageTotals readUsage(JsonReader &reader, const std::string &key)
{
    UsageTotals usage;
    reader.requiredObject(key, [&usage](JsonReader &item) {
        usage.acceleratorMs = readSigned(item, "acceleratorMs");
        usage.coreMs = readSigned(item, "coreMs");
        usage.memoryMibMs = readSigned(item, "memoryMibMs");
    });
    return usage;
}

void subtract(UsageTotals &usage, const UsageTotals &other)
{
    usage.acceleratorMs -= other.acceleratorMs;
    usage.coreMs -= other.coreMs;
    usage.memoryMibMs -= other.memoryMibMs;
}

Json callersToJson(const TotalsByCaller &callers)
{
    Json list = Json::array();
    for (const auto &[key, totals] : callers) {
        Json item = totals.toJson();
        item["organisation"] = key.organisation.value();
        item["caller"] = key.caller.value();
        list.push_back(std::move(item));
    }
    return list;
}

} // namespace

CallerTotals &CallerTotals::operator+=(const CallerTotals &other)
{
    items += other.items;
    usage.guaranteed += other.usage.guaranteed;
    usage.borrowed += other.usage.borrowed;
    return *this;
}

CallerTotals &CallerTotals::operator-=(const CallerTotals &other)
{
    items.accepted -= other.items.accepted;
    items.finished -= other.items.finished;
    items.failed -= other.items.failed;
    items.refusedNotRun -= other.items.refusedNotRun;
    items.cancelled -= other.items.cancelled;
    items.unknown -= other.items.unknown;
    subtract(usage.guaranteed, other.usage.guaranteed);
    subtract(usage.borrowed, other.usage.borrowed);
    return *this;
}

bool CallerTotals::operator==(const CallerTotals &other) const
{
    return items == other.items && usage.guaranteed == other.usage.guaranteed && usage.borrowed == other.usage.borrowed;
}

Json CallerTotals::toJson() const
{
    Json json = items.toJson();
    json["guaranteed"] = usage.guaranteed.toJson();
    json["borrowed"] = usage.borrowed.toJson();
    return json;
}

CallerTotals CallerTotals::fromJson(JsonReader &reader)
{
    CallerTotals totals;
    totals.items.accepted = readSigned(reader, "accepted");
    totals.items.finished = readSigned(reader, "finished");
    totals.items.failed = readSigned(reader, "failed");
    totals.items.refusedNotRun = readSigned(reader, "refusedNotRun");
    totals.items.cancelled = readSigned(reader, "cancelled");
    totals.items.unknown = readSigned(reader, "unknown");
    totals.usage.guaranteed = readUsage(reader, "guaranteed");
    totals.usage.borrowed = readUsage(reader, "borrowed");
    return totals;
}

Json DayTotals::toJson() const
{
    Json missingList = Json::array();
    for (const MissingData &data : missing) {
        missingList.push_back({{"what", data.what}, {"expectedUnixMs", data.expectedUnixMs}});
    }
    Json correctionList = Json::array();
    for (const TotalsCorrection &correction : corrections) {
        correctionList.push_back({{"number", correction.number},
                                  {"writtenUnixMs", correction.writtenUnixMs},
                                  {"callers", callersToJson(correction.difference)}});
    }
    return {{"day", bounds.day},
            {"timeZone", bounds.timeZone},
            {"startUnixMs", bounds.startUnixMs},
            {"endUnixMs", bounds.endUnixMs},
            {"complete", complete()},
            {"closedUnixMs", closedUnixMs},
            {"missing", std::move(missingList)},
            {"callers", callersToJson(callers)},
            {"corrections", std::move(correctionList)}};
}

} // namespace coriander
