#include "TotalsRows.h"

#include <fmt/format.h>

namespace coriander {

Json TotalsPart::toJson() const
{
    Json list = Json::array();
    for (const auto &[key, totals] : callers) {
        Json item = totals.toJson();
        item["organisation"] = key.organisation.value();
        item["caller"] = key.caller.value();
        list.push_back(std::move(item));
    }
    return {{"number", number},
            {"part", part},
            {"parts", parts},
            {"timeZone", timeZone},
            {"writtenUnixMs", writtenUnixMs},
            {"callers", std::move(list)}};
}

TotalsPart TotalsPart::fromJson(JsonReader &reader)
{
    TotalsPart result;
    result.number = reader.requiredInteger("number");
    result.part = reader.requiredInteger("part");
    result.parts = reader.requiredInteger("parts", 1);
    result.timeZone = reader.requiredText("timeZone");
    result.writtenUnixMs = reader.requiredInteger("writtenUnixMs");
    reader.forEachObject("callers", [&result](JsonReader &item) {
        const CallerKey key{item.requiredId<OrganisationId>("organisation"), item.requiredId<CallerId>("caller")};
        result.callers[key] = CallerTotals::fromJson(item);
    });
    return result;
}

std::string totalsPrefix(const std::string &day)
{
    return fmt::format("totals/{}/", day);
}

std::string totalsPartKey(const std::string &day, std::int64_t number, std::int64_t part)
{
    // The key has leading zeros, so that rows sort by number.
    return fmt::format("totals/{}/{:04}/{:04}", day, number, part);
}

std::vector<TotalsPart> splitIntoParts(const TotalsCorrection &entry, const std::string &timeZone)
{
    std::vector<TotalsPart> parts(1);
    for (const auto &[key, totals] : entry.difference) {
        if (parts.back().callers.size() == CallersPerPart) {
            parts.emplace_back();
        }
        parts.back().callers.emplace(key, totals);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].number = entry.number;
        parts[i].part = static_cast<std::int64_t>(i);
        parts[i].parts = static_cast<std::int64_t>(parts.size());
        parts[i].timeZone = timeZone;
        parts[i].writtenUnixMs = entry.writtenUnixMs;
    }
    return parts;
}

} // namespace coriander
