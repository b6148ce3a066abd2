#pragma once

#include "corianderscale/Protocol/JsonReader.h"
#include "corianderscale/Support/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

/**
 * Histogram of latencies with 16 buckets per power of two, so that a percentile is off by at most 4.5%.
 *
 * Thread safety: not thread safe.
 */
class LatencyHistogram
{
public:
    void add(coriander::Duration latency);
    /** Upper end of the bucket of a percentile, in ms; 0 without samples. */
    double percentileMs(double percent) const;
    std::int64_t count() const;

private:
    static constexpr std::size_t BucketsPerDoubling = 16;
    static constexpr std::size_t BucketCount = 32 * BucketsPerDoubling;

    std::array<std::int64_t, BucketCount> m_buckets{};
    std::int64_t m_count = 0;
};

/** Results of the requests of one load run. */
struct LoadSummary {
    std::int64_t sent = 0;
    std::int64_t finished = 0;
    /** Number of error answers by code. */
    std::map<std::string, std::int64_t> refused;
    /** Requests that got no answer. */
    std::int64_t lost = 0;
    /** Repeated keys that were answered by another attempt, and requests that got two answers. */
    std::int64_t doubled = 0;
    /** Answers that do not belong to their request. */
    std::int64_t crossed = 0;
    LatencyHistogram latency;

    coriander::Json toJson(double seconds) const;
};
