#include "corianderscale/Gateway/CountsMerge.h"

#include <algorithm>

namespace coriander {

void mergeCounts(CountsRecord &into, const CountsRecord &from)
{
    for (const auto &[caller, counts] : from.counts) {
        into.counts[caller].mergeLarger(counts);
    }
}

bool countsCover(const CountsRecord &stored, const CountsRecord &own)
{
    return std::all_of(own.counts.begin(), own.counts.end(), [&stored](const auto &item) {
        const auto found = stored.counts.find(item.first);
        if (found == stored.counts.end()) {
            return false;
        }
        ItemCounts merged = found->second;
        merged.mergeLarger(item.second);
        return merged == found->second;
    });
}

} // namespace coriander
