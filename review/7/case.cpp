// Hands in recurring jobs that can never be done and checks that the system goes on answering and running other jobs.

#include "../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Standard{"r-7ejsmzz", "/lohu930/", 1};
constexpr int HopelessJobs = 2;
constexpr int StepsOfHopelessJob = 8;
constexpr int TasksOfStep = 40;
/** Times of a hopeless job that are due: those of the last 1,000 s with the disruption, one without. */
constexpr int ManyTimes = 1000;
constexpr int OrdinaryJobs = 12;
constexpr double HandInSeconds = 40;
constexpr double CalmSeconds = 30;

/** A job each second since a while ago; its tasks need twice the cores of a worker. */
Json hopelessJob(int times)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    Json steps = Json::array();
    for (int i = 0; i < StepsOfHopelessJob; ++i) {
        steps.push_back({{"count", TasksOfStep}, {"cpu", 64000}, {"mem_mb", 1000}, {"est_ms", 1000}});
    }
    return {{"spec", "1000"},
            {"steps", steps},
            {"times", times},
            {"first_ms", nowMs - std::int64_t(times) * 1000},
            {"interval_ms", 1000}};
}

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", static_cast<unsigned>(number));
    return id;
}

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1]);
    for (int i = 0; i < 12; ++i) {
        deployment.addWorker({"i-7f3a91c" + std::to_string(i),
                              "a",
                              "r1-" + std::to_string(i / 6),
                              i % 2 == 0 ? "palermo" : "catania",
                              "huvo11a",
                              {32000, 64000, 8}});
    }
    deployment.configure({Standard});
    if (!deployment.startNodes(3)) {
        deployment.finish(CouldNotRun);
    }
    sleepSeconds(4);
    for (int i = 0; i < HopelessJobs; ++i) {
        deployment.submit(Standard, jobId(0x1000 + i), hopelessJob(troubleWanted() ? ManyTimes : 1));
        sleepSeconds(0.2);
    }
    std::vector<std::string> accepted;
    for (int i = 0; i < OrdinaryJobs && deployment.record().seconds() < HandInSeconds; ++i) {
        const Json job
            = {{"spec", "1500"}, {"steps", {{{"count", 2}, {"cpu", 500}, {"mem_mb", 256}, {"est_ms", 1500}}}}};
        if (deployment.submit(Standard, jobId(i), job)) {
            accepted.push_back(jobId(i));
        }
        sleepSeconds(1);
    }
    sleepSeconds(CalmSeconds);
    std::size_t begun = 0;
    for (const std::string &id : accepted) {
        begun += deployment.runsOf(id).empty() ? 0 : 1;
    }
    if (!accepted.empty()) {
        deployment.state(Standard, accepted.back());
    }
    deployment.record().write("ordinary jobs accepted: " + std::to_string(accepted.size())
                              + ", begun: " + std::to_string(begun) + "; no worker has other work");
    deployment.finish(accepted.empty() ? CouldNotRun : begun < accepted.size() ? Broken : Held);
}
