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
/** Jobs handed in before the hopeless ones, of that many steps in a chain, and jobs handed in after them. */
constexpr int EarlyJobs = 3;
constexpr int StepsOfEarlyJob = 6;
constexpr int LateJobs = 8;
constexpr double HandInSeconds = 35;
constexpr double CalmSeconds = 20;

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

/** Steps of two small tasks of 1.5 s, one after the other. */
Json ordinaryJob(int steps)
{
    Json chain = Json::array();
    for (int i = 0; i < steps; ++i) {
        chain.push_back({{"count", 2}, {"cpu", 500}, {"mem_mb", 256}, {"est_ms", 1500}});
        if (i > 0) {
            chain.back()["after"] = {i - 1};
        }
    }
    return {{"spec", "1500"}, {"steps", chain}};
}

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", static_cast<unsigned>(number));
    return id;
}

std::size_t tasksDone(const Deployment &deployment, const std::string &job)
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
    std::map<std::string, std::size_t> tasksOf;
    for (int i = 0; i < EarlyJobs; ++i) {
        if (!deployment.submit(Standard, jobId(i), ordinaryJob(StepsOfEarlyJob))) {
            deployment.finish(CouldNotRun);
        }
        tasksOf[jobId(i)] = 2 * StepsOfEarlyJob;
    }
    sleepSeconds(1);
    for (int i = 0; i < HopelessJobs; ++i) {
        deployment.submit(Standard, jobId(0x1000 + i), hopelessJob(troubleWanted() ? ManyTimes : 1));
    }
    for (int i = 0; i < LateJobs && deployment.record().seconds() < HandInSeconds; ++i) {
        if (deployment.submit(Standard, jobId(0x100 + i), ordinaryJob(1))) {
            tasksOf[jobId(0x100 + i)] = 2;
        }
        sleepSeconds(1);
    }
    sleepSeconds(CalmSeconds);
    std::size_t unfinished = 0;
    for (const auto &[id, tasks] : tasksOf) {
        const std::size_t done = tasksDone(deployment, id);
        deployment.record().write("job " + id + ": " + std::to_string(done) + " of " + std::to_string(tasks)
                                  + " tasks done");
        unfinished += done < tasks ? 1 : 0;
    }
    deployment.state(Standard, jobId(0));
    deployment.record().write("ordinary jobs accepted: " + std::to_string(tasksOf.size())
                              + ", unfinished: " + std::to_string(unfinished) + "; no worker has other work");
    deployment.finish(unfinished > 0 ? Broken : Held);
}
