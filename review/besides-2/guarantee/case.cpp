// Fills the pool with work of low priority and checks that a job within its tenant's guarantee begins in time.

#include <algorithm>

#include "../../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Urgent{"r-yyjsg3a", "/pufi791/", 0};
const Queue Least{"r-jwyy7yx", "/pule252/", 2};
constexpr const char *FirstFlood = "5c0e7a21d94b36f7";
constexpr const char *SecondFlood = "5c0e7a21d94b36f8";
constexpr const char *Guaranteed = "5c0e7a21d94b36f9";
/** reclaim_ms of the site. */
constexpr double ReclaimSeconds = 2.9;
constexpr double WaitSeconds = 30;

Json wholeWorkers(int count, int workMs)
{
    return {{"spec", std::to_string(workMs)},
            {"steps", {{{"count", count}, {"cpu", 16000}, {"mem_mb", 16000}, {"gpu", 8}, {"est_ms", workMs}}}}};
}

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1]);
    for (int i = 0; i < 6; ++i) {
        deployment.addWorker({"i-7f3a91c" + std::to_string(i),
                              "a",
                              "r1-" + std::to_string(i / 2),
                              i % 2 == 0 ? "palermo" : "catania",
                              "huvo11a",
                              {32000, 64000, 8}});
    }
    deployment.configure({Urgent, Least});
    if (!deployment.startNodes(3)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(4);
    if (troubleWanted()) {
        const bool first = deployment.submit(Least, FirstFlood, wholeWorkers(2, 60000));
        sleepSeconds(2);
        const bool second = first && deployment.submit(Least, SecondFlood, wholeWorkers(4, 60000));
        sleepSeconds(3);
        if (!second || deployment.runs().size() != 6) {
            deployment.record().write("the flood did not begin");
            deployment.finish(CouldNotRun);
        }
    }
    // The tenant's only job of priority 0; it needs the 8 accelerators that the tenant is guaranteed.
    Json job = wholeWorkers(1, 3000);
    job["steps"][0]["data_rack"] = "r1-0";
    if (!deployment.submit(Urgent, Guaranteed, job)) {
        deployment.finish(CouldNotRun);
    }
    const double acknowledgedAt = deployment.record().seconds();
    sleepSeconds(WaitSeconds);
    deployment.state(Urgent, Guaranteed);
    const std::vector<RunSpan> runs = deployment.runsOf(Guaranteed);
    const std::vector<RunSpan> all = deployment.runs();
    const auto stopped = std::count_if(all.begin(), all.end(), [](const RunSpan &run) { return run.how == "stopped"; });
    const double waited = runs.empty() ? WaitSeconds : runs.front().beganAt - acknowledgedAt;
    deployment.record().write("the guaranteed job "
                              + std::string(runs.empty() ? "has not begun after " : "began after ")
                              + std::to_string(waited) + " s of " + std::to_string(ReclaimSeconds)
                              + "; runs stopped: " + std::to_string(stopped));
    deployment.finish(waited > ReclaimSeconds ? Broken : Held);
}
