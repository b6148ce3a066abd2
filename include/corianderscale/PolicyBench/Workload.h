#pragma once

#include "corianderscale/PolicyBench/Stream.h"

#include <cstdint>
#include <random>

namespace coriander::policybench {

/** A seeded mix of jobs of several callers. */
struct WorkloadSpec {
    /** Offered accelerator time as a share of the fleet's, from @c from to @c to. */
    double load = 0.85;
    MonotonicTime from{};
    MonotonicTime to{};
    /** Jobs come from the organisations `org-0` to `org-(n-1)`. */
    std::int64_t organisations = 4;
    std::int64_t callersPerOrganisation = 5;
    /** Prefix of job and caller names. */
    std::string prefix = "job";
    /** Range of the median run time of a kind, in seconds. */
    double shortestMedianRun = 30;
    double longestMedianRun = 14400;
    /** Maximum factor by which a declared run time is too long or too short. */
    double maximumDeclaredError = 10;
    std::int64_t largestGang = 32;
    double urgentShare = 0.1;
    double backgroundShare = 0.3;
    bool useGuarantee = false;
    /** Rate of arrivals in the working hours relative to the other hours. */
    double workingHoursFactor = 4;
};

/** Appends a seeded workload for the site to the stream. */
void addWorkload(Stream &stream, const Site &site, const WorkloadSpec &spec, std::mt19937_64 &random);

/** Sorts the jobs by arrival; call once after all workloads were added. */
void sortJobs(Stream &stream);

} // namespace coriander::policybench
