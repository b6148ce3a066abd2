#pragma once

#include "corianderscale/State/Totals.h"

namespace coriander {

/** Row `totals/<day>/<number>/<part>`: one part of the totals of a closed day (number 0) or of a correction. */
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

/** Maximum callers in one part. A caller takes at most about 500 bytes, so a part stays below the table's 64 KiB. */
inline constexpr std::size_t CallersPerPart = 100;

/** Returns the prefix of the keys of all rows of a day. */
std::string totalsPrefix(const std::string &day);
std::string totalsPartKey(const std::string &day, std::int64_t number, std::int64_t part);

/** Splits an entry into one or more parts. */
std::vector<TotalsPart> splitIntoParts(const TotalsCorrection &entry, const std::string &timeZone);

} // namespace coriander
