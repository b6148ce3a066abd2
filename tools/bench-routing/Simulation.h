#pragma once

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

/** Randomly arriving requests of one service and urgency. */
struct ArrivalSource {
    coriander::ServiceName service;
    coriander::Urgency urgency = coriander::Urgency::Normal;
    /** Offered load as a multiple of the capacity of all slots. */
    double load = 0;
    /** Mean of the exponentially distributed run time. */
    coriander::Duration meanRun{};
};

/** Settings of a simulated run of 8 gateways and 50 endpoints with 8 slots each. */
struct SimulationSettings {
    /**
     * `shares`: each gateway routes with the Router and the Dispatcher of the product; `central`: the same with one
     * gateway; `random`: each send goes to a random endpoint and is repeated after a refusal.
     */
    std::string policy = "shares";
    std::uint64_t seed = 1;
    coriander::Duration duration = std::chrono::seconds(10);
    /** Deadline of each request, from its arrival. */
    coriander::Duration deadline = std::chrono::seconds(10);
    std::vector<ArrivalSource> sources;
};

/** Samples of durations; results are in ms. */
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
    /** Requests finished within their deadline. */
    std::int64_t finishedInTime = 0;
    std::int64_t refused = 0;
    /** Time from arrival to start. */
    Samples wait;
    /** Time from arrival to end. */
    Samples total;
};

struct SimulationResult {
    std::vector<SourceResult> sources;
    /** Fraction of the sends that an endpoint refused because all its slots were in use. */
    double slotFullShare = 0;
};

SimulationResult simulate(const SimulationSettings &settings);

/** Retries per first send when half of all attempts fail, bounded by the retry budget. */
double measureRetryLoad(std::uint64_t seed);
