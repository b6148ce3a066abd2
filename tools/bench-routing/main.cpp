#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "Simulation.h"

namespace {

using namespace coriander;

/** Prints how long requests wait at one load under one policy. */
void printWaits(const char *policy, double load, std::uint64_t seed)
{
    SimulationSettings settings;
    settings.policy = policy;
    settings.seed = seed;
    settings.duration = std::chrono::seconds(20);
    settings.sources = {{ServiceName("quick"), Urgency::Normal, load, std::chrono::milliseconds(20)}};
    const SimulationResult result = simulate(settings);
    fmt::print("wait policy={} load={:.2f} seed={} p99_wait_ms={:.2f} mean_wait_ms={:.3f} slot_full_share={:.4f}\n",
               policy,
               load,
               seed,
               result.sources[0].wait.percentile(99),
               result.sources[0].wait.mean(),
               result.slotFullShare);
}

/**
 * Prints the throughput and latency of urgent requests while background requests arrive at 50 times the capacity,
 * relative to those of urgent requests alone.
 */
void printFlood(std::uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.duration = std::chrono::seconds(5);
    settings.sources = {{ServiceName("quick"), Urgency::Urgent, 0.3, std::chrono::milliseconds(20)}};
    const SimulationResult alone = simulate(settings);
    settings.sources.push_back({ServiceName("review"), Urgency::Background, 50, std::chrono::milliseconds(200)});
    const SimulationResult flooded = simulate(settings);
    const auto &before = alone.sources[0];
    const auto &during = flooded.sources[0];
    fmt::print(
        "flood seed={} urgent_throughput_ratio={:.4f} p99_ms_alone={:.2f} p99_ms_flooded={:.2f} p99_ratio={:.3f}\n",
        seed,
        static_cast<double>(during.finished) / static_cast<double>(before.finished),
        before.total.percentile(99),
        during.total.percentile(99),
        during.total.percentile(99) / before.total.percentile(99));
}

/** Prints how many requests finish within their deadline of 500 ms at increasing load. */
void printGoodput(std::uint64_t seed)
{
    for (const double load : {0.8, 1.0, 2.0, 5.0, 10.0}) {
        SimulationSettings settings;
        settings.seed = seed;
        settings.duration = std::chrono::seconds(5);
        settings.deadline = std::chrono::milliseconds(500);
        settings.sources = {{ServiceName("quick"), Urgency::Normal, load, std::chrono::milliseconds(20)}};
        const SimulationResult result = simulate(settings);
        fmt::print("goodput seed={} load={:.1f} in_time_per_s={:.0f} late={} refused={}\n",
                   seed,
                   load,
                   static_cast<double>(result.sources[0].finishedInTime) / 5,
                   result.sources[0].finished - result.sources[0].finishedInTime,
                   result.sources[0].refused);
    }
}

} // namespace

int main(int argc, char **argv)
{
    // Line buffering, so that the results printed before an interruption are kept.
    static_cast<void>(std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ));
    const std::uint64_t firstSeed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t seedCount = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 3;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        for (const double load : {0.8, 0.95}) {
            for (const char *policy : {"central", "shares", "random"}) {
                printWaits(policy, load, seed);
            }
        }
        printFlood(seed);
        printGoodput(seed);
        fmt::print("storm seed={} added_load={:.4f}\n", seed, measureRetryLoad(seed));
    }
    return EXIT_SUCCESS;
}
