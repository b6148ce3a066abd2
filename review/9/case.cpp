// Replaces a route by one with another name and checks that the job that it had accepted is finished.

#include "../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Kept{"r-7ejsmzz", "/lohu930/", 1};
const Queue Replaced{"r-jwyy7yx", "/pule252/", 1};
const Queue Replacement{"r-yyjsg3a", "/pule252/", 1};
constexpr const char *OfReplaced = "5c0e7a21d94b36f8";
constexpr const char *OfKept = "5c0e7a21d94b36f9";
constexpr double CalmSeconds = 30;

std::size_t completedRuns(const Deployment &deployment, const std::string &job)
{
    std::size_t done = 0;
    for (const RunSpan &run : deployment.runsOf(job)) {
        done += run.how == "done" ? 1 : 0;
    }
    return done;
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
    deployment.configure({Kept, Replaced});
    if (!deployment.startNodes(3)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(4);
    // A step of two tasks, and one after it.
    const Json job = {{"spec", "3000"},
                      {"steps",
                       {{{"count", 2}, {"cpu", 2000}, {"mem_mb", 1024}, {"est_ms", 3000}},
                        {{"count", 2}, {"cpu", 2000}, {"mem_mb", 1024}, {"est_ms", 3000}, {"after", {0}}}}}};
    if (!deployment.submit(Replaced, OfReplaced, job) || !deployment.submit(Kept, OfKept, job)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(1);
    deployment.configure(troubleWanted() ? std::vector{Kept, Replacement} : std::vector{Kept, Replaced});
    sleepSeconds(CalmSeconds);
    const std::size_t tasks = 4;
    const std::size_t ofReplaced = completedRuns(deployment, OfReplaced);
    const std::size_t ofKept = completedRuns(deployment, OfKept);
    deployment.state(Kept, OfKept);
    deployment.state(Replacement, OfReplaced);
    deployment.record().write("tasks done " + std::to_string(CalmSeconds)
                              + " s after the change: " + std::to_string(ofReplaced) + " of 4 of the route replaced, "
                              + std::to_string(ofKept) + " of 4 of the other");
    if (ofKept < tasks) {
        deployment.finish(CouldNotRun);
    }
    deployment.finish(ofReplaced < tasks ? Broken : Held);
}
