#include "Summary.h"

#include <algorithm>
#include <cmath>

using namespace coriander;

void LatencyHistogram::add(Duration latency)
{
    const double value = std::max<double>(1, static_cast<double>(latency.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(value) * BucketsPerDoubling);
    ++m_buckets[std::min(bucket, BucketCount - 1)];
    ++m_count;
}

double LatencyHistogram::percentileMs(double percent) const
{
    const auto wanted = static_cast<std::int64_t>(std::ceil(percent / 100 * static_cast<double>(m_count)));
    std::int64_t seen = 0;
    for (std::size_t i = 0; i < BucketCount && m_count > 0; ++i) {
        seen += m_buckets[i];
        if (seen >= wanted) {
            return std::exp2(static_cast<double>(i + 1) / BucketsPerDoubling) / 1000;
        }
    }
    return 0;
}

std::int64_t LatencyHistogram::count() const
{
    return m_count;
}

Json LoadSummary::toJson(double seconds) const
{
    Json latencies = Json::object();
    for (const auto &[name, percent] : {std::pair{"p50", 50.0}, {"p90", 90.0}, {"p99", 99.0}, {"p999", 99.9}}) {
        latencies[name] = latency.percentileMs(percent);
    }
    return {{"seconds", seconds},
            {"sent", sent},
            {"finished", finished},
            {"refused", refused},
            {"lost", lost},
            {"doubled", doubled},
            {"crossed", crossed},
            {"latencyMs", std::move(latencies)}};
}
