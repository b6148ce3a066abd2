// Hands in a gang that finds no room for long and checks that a small job beside it, for which there is room, begins.

#include "../../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Standard{"r-7ejsmzz", "/lohu930/", 1};
const Queue Least{"r-jwyy7yx", "/pule252/", 2};
constexpr const char *Spread = "5c0e7a21d94b36f7";
constexpr const char *Gang = "5c0e7a21d94b36f8";
constexpr const char *Small = "5c0e7a21d94b36f9";
constexpr double CalmSeconds = 30;

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1]);
    for (int i = 0; i < 8; ++i) {
        // Two workers are of the kind that the small job needs.
        deployment.addWorker({"i-7f3a91c" + std::to_string(i),
                              i < 2 ? "b" : "a",
                              "r1-" + std::to_string(i / 2),
                              i % 2 == 0 ? "palermo" : "catania",
                              "huvo11a",
                              {32000, 64000, 8}});
    }
    deployment.configure({Standard, Least});
    if (!deployment.startNodes(3)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(4);
    // One task of one accelerator on each worker, for longer than the test takes.
    const Json spread
        = {{"spec", "100000"},
           {"steps",
            {{{"count", 8}, {"cpu", 1000}, {"mem_mb", 1000}, {"gpu", 1}, {"est_ms", 100000}, {"max_per_server", 1}}}}};
    const Json gang = {
        {"spec", "10000"},
        {"steps", {{{"count", 2}, {"cpu", 16000}, {"mem_mb", 8000}, {"gpu", 8}, {"est_ms", 100000}, {"gang", true}}}}};
    const Json small
        = {{"spec", "2000"},
           {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1000}, {"est_ms", 2000}, {"required_label", "b"}}}}};
    if (!deployment.submit(Standard, Spread, spread)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(3);
    if (deployment.runsOf(Spread).size() < 8) {
        deployment.finish(CouldNotRun);
    }
    if (troubleWanted() && !deployment.submit(Standard, Gang, gang)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(1);
    if (!deployment.submit(Least, Small, small)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(CalmSeconds);
    deployment.state(Least, Small);
    const std::size_t runs = deployment.runsOf(Small).size();
    deployment.record().write("runs of the small job after " + std::to_string(CalmSeconds) + " s: "
                              + std::to_string(runs) + "; each worker uses 1 of 8 accelerators and 1 of 32 cores");
    deployment.finish(runs == 0 ? Broken : Held);
}
