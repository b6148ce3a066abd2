#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

/** One kind of arrivals. */
struct ArrivalSource {
    coriander::ServiceName service;
    coriander::Urgency urgency = coriander::Urgency::Normal;
    /** Offered load as a multiple of the capacity of all slots. */
    double load = 0;
    /** Mean of the exponential run time. */
    coriander::Duration meanRun{};
};

/** A run of 8 gateways over 50 endpoints of 8 slots. */
struct SimulationSettings {
    /** `shares`: the gateways' classes; `central`: the same with one gateway; `random`: a random endpoint each time. */
    std::string policy = "shares";
    std::uint64_t seed = 1;
    coriander::Duration duration = std::chrono::seconds(10);
    /** Deadline of each request, from its arrival. */
    coriander::Duration deadline = std::chrono::seconds(10);
    std::vector<ArrivalSource> sources;
};

/** Times in ms. */
class Samples
{
public:
    void add(coriander::Duration value);
    double percentile(double percent) const;
    double mean() const;

private:
    mutable std::vector<double> m_values;
};

struct SourceResult {
    std::int64_t arrived = 0;
    std::int64_t finished = 0;
    std::int64_t inTime = 0;
    std::int64_t refused = 0;
    /** From arrival to start, and from arrival to end. */
    Samples wait;
    Samples total;
};

struct SimulationResult {
    std::vector<SourceResult> sources;
    /** Share of the sends that an endpoint refused for a full slot. */
    double slotFullShare = 0;
};

SimulationResult simulate(const SimulationSettings &settings);

/** Retries per first send when half of all attempts fail, bounded by the retry budget. */
double retryStorm(std::uint64_t seed);
