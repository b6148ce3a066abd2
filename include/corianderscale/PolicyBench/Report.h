#pragma once

#include "corianderscale/PolicyBench/Scenario.h"

#include <ostream>
#include <string>
#include <vector>

namespace coriander::policybench {

/** One measured value. */
struct Measurement {
    std::string scenario;
    std::string site;
    std::string policy;
    std::string metric;
    double value = 0;
    std::uint64_t seed = 0;
};

/** Writes one JSON object on a line of its own. */
void writeMeasurement(std::ostream &out, const Measurement &measurement);

/**
 * Writes the median over the seeds for each policy, and for each target the value or its ratio to the baseline and
 * whether the target is met; one JSON object per line. A ratio is the median of the ratios per seed, since a seed gives
 * all policies the same stream.
 */
void writeSummary(std::ostream &out, const std::vector<Measurement> &measurements);

/** Writes one bar chart per site, scenario and metric as SVG into the directory; returns false with a reason. */
bool writePlots(const std::string &directory, const std::vector<Measurement> &measurements, std::string &reason);

} // namespace coriander::policybench
