// Kills the process that leads while tasks that fill are at work, and checks that other work still begins.

#include "../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Standard{"r-7ejsmzz", "/lohu930/", 1};
const Queue Least{"r-jwyy7yx", "/pule252/", 2};
constexpr const char *Filling = "5c0e7a21d94b36f7";
constexpr const char *Before = "5c0e7a21d94b36f8";
constexpr const char *After = "5c0e7a21d94b36f9";
constexpr std::size_t Workers = 6;
constexpr double ElectionSeconds = 10;
constexpr double CalmSeconds = 30;

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1]);
    for (std::size_t i = 0; i < Workers; ++i) {
        deployment.addWorker({"i-7f3a91c" + std::to_string(i),
                              "a",
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
    // One task on each worker that uses the capacity that others leave unused; its cpu doesn't count.
    const Json filling = {{"spec", "last"},
                          {"steps",
                           {{{"count", Workers},
                             {"cpu", 32000},
                             {"mem_mb", 4000},
                             {"est_ms", 1000},
                             {"fills", true},
                             {"long_running", true},
                             {"max_per_server", 1}}}}};
    const Json ordinary
        = {{"spec", "2000"}, {"steps", {{{"count", 2}, {"cpu", 4000}, {"mem_mb", 1000}, {"est_ms", 2000}}}}};
    if (!deployment.submit(Least, Filling, filling) || !deployment.submit(Standard, Before, ordinary)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(5);
    if (deployment.runsOf(Filling).size() != Workers || deployment.runsOf(Before).size() != 2) {
        deployment.record().write("the first jobs did not begin");
        deployment.finish(CouldNotRun);
    }
    Node *leader = deployment.leader();
    if (leader == nullptr) {
        deployment.finish(CouldNotRun);
    }
    if (troubleWanted()) {
        leader->kill("the test");
        sleepSeconds(1);
        leader->start();
    }
    sleepSeconds(ElectionSeconds);
    if (!deployment.submit(Standard, After, ordinary)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(CalmSeconds);
    deployment.state(Standard, After);
    const std::size_t runs = deployment.runsOf(After).size();
    deployment.record().write("runs of the job handed in after the change of leader, " + std::to_string(CalmSeconds)
                              + " s later: " + std::to_string(runs) + "; no other work but the tasks that fill");
    deployment.finish(runs == 0 ? Broken : Held);
}
