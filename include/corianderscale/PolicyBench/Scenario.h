#pragma once

#include "corianderscale/PolicyBench/StreamDriver.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace coriander::policybench {

/** Values of one run, by metric. */
using Metrics = std::vector<std::pair<std::string, double>>;

/** A scenario; one row of the table of targets in section 11 of the design. */
struct Scenario {
    std::string name;
    std::string description;
    /** Runs the policy on the stream given by the site and seed. */
    std::function<Metrics(const Site &, const std::string &policy, std::uint64_t seed)> run;
};

/** A target of section 11 of the design. */
struct Target {
    std::string scenario;
    std::string metric;
    /** The value is divided by this policy's value on the same stream; empty for an absolute target. */
    std::string baseline;
    /** Whether @c bound is an upper bound; otherwise it is a lower bound. */
    bool atMost = true;
    double bound = 0;
};

/** All scenarios in the order of section 11 of the design. */
const std::vector<Scenario> &scenarios();

/** All targets in the order of section 11 of the design. */
const std::vector<Target> &targets();

/** Names of the policies, the project's own first. */
const std::vector<std::string> &policyNames();

/** Metrics that apply to every stream: completion time, slowdown, utilisation, lost time, refusals. */
Metrics commonMetrics(const StreamResult &result);

/** The quantile @p share of the values, for example 0.99; 0 without values. */
double percentile(std::vector<double> values, double share);

/** Median of the values; 0 without values. */
double median(std::vector<double> values);

} // namespace coriander::policybench
