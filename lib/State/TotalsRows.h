#pragma once

#include "corianderscale/State/Totals.h"

namespace coriander {

/** Row `totals/<day>/<number>/<part>`: a part of a closed day (number 0) or of a correction. */
struct TotalsPart {
    std::int64_t number = 0;
    std::int64_t part = 0;
    std::int64_t parts = 1;
    std::string timeZone;
    std::int64_t writtenUnixMs = 0;
    TotalsByCaller callers;

    Json toJson() const;
    static TotalsPart fromJson(JsonReader &reader);
};

/** Callers of one part; at most about 500 bytes each, so that a part stays below the table's 64 KiB. */
inline constexpr std::size_t CallersOfPart = 100;

/** Start of the keys of a day's rows. */
std::string totalsPrefix(const std::string &day);
std::string totalsPartKey(const std::string &day, std::int64_t number, std::int64_t part);

/** Splits an entry into parts; at least one. */
std::vector<TotalsPart> splitIntoParts(const TotalsCorrection &entry, const std::string &timeZone);

} // namespace coriander
