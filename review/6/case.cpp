// Hands in ten recurring jobs and checks that the system stays within its memory and runs ordinary jobs.

#include <algorithm>

#include "../standin2/Deployment.h"

using namespace review;

namespace {

const Queue Small{"r-yyjsg3a", "/pufi791/", 1};
constexpr int RecurringJobs = 10;
/** Times of a recurring job: six weeks with the disruption, one hour without. */
constexpr int ManyTimes = 1000;
constexpr int OrdinaryJobs = 12;
/** Pause before a process that ended is started again. */
constexpr double RestartPause = 0.5;
constexpr double RunSeconds = 60;

/** A batch of 200 tasks each hour, the first one an hour from now. */
Json recurringJob(int times)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return {{"spec", "1000"},
            {"steps", {{{"count", 200}, {"cpu", 100}, {"mem_mb", 64}, {"est_ms", 1000}}}},
            {"times", times},
            {"first_ms", nowMs + 3600000},
            {"interval_ms", 3600000}};
}

/** Acts as the platform: ends a process above its memory, and starts processes that ended. */
class Supervisor
{
public:
    explicit Supervisor(Deployment &deployment)
        : m_deployment(deployment)
        , m_restartAt(deployment.nodes().size())
        , m_ends(deployment.nodes().size())
    {
    }

    void step()
    {
        const double now = m_deployment.record().seconds();
        for (std::size_t i = 0; i < m_ends.size(); ++i) {
            Node &node = *m_deployment.nodes()[i];
            if (m_restartAt[i] > 0) {
                if (now >= m_restartAt[i]) {
                    m_restartAt[i] = 0;
                    node.start();
                }
                continue;
            }
            const int memory = node.memoryMb();
            m_peak = std::max(m_peak, memory);
            if (memory > MemoryMb) {
                node.kill(std::to_string(memory) + " MB in use, more than memory_mb");
            }
            if (!node.runs()) {
                ++m_ends[i];
                m_restartAt[i] = now + RestartPause;
            }
        }
    }

    void stepFor(double seconds)
    {
        const double end = m_deployment.record().seconds() + seconds;
        while (m_deployment.record().seconds() < end) {
            step();
            sleepSeconds(0.02);
        }
    }

    const std::vector<int> &ends() const
    {
        return m_ends;
    }

    int peak() const
    {
        return m_peak;
    }

private:
    Deployment &m_deployment;
    std::vector<double> m_restartAt;
    std::vector<int> m_ends;
    int m_peak = 0;
};

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
    for (int i = 0; i < 6; ++i) {
        deployment.addWorker({"i-7f3a91c" + std::to_string(i),
                              "a",
                              "r1-" + std::to_string(i / 2),
                              i % 2 == 0 ? "palermo" : "catania",
                              "huvo11a",
                              {32000, 64000, 8}});
    }
    deployment.configure({Small});
    if (!deployment.startNodes(3)) {
        deployment.finish(CouldNotRun);
    }
    Supervisor supervisor(deployment);
    supervisor.stepFor(4);
    for (int i = 0; i < RecurringJobs; ++i) {
        deployment.submit(Small, jobId(0x1000 + i), recurringJob(troubleWanted() ? ManyTimes : 1));
        supervisor.stepFor(0.2);
    }
    std::vector<std::string> accepted;
    for (int i = 0; i < OrdinaryJobs; ++i) {
        supervisor.stepFor(1);
        const Json job
            = {{"spec", "1500"}, {"steps", {{{"count", 2}, {"cpu", 500}, {"mem_mb", 256}, {"est_ms", 1500}}}}};
        if (deployment.submit(Small, jobId(i), job)) {
            accepted.push_back(jobId(i));
        }
    }
    supervisor.stepFor(RunSeconds - deployment.record().seconds());
    int unfinished = 0;
    for (const std::string &id : accepted) {
        unfinished += deployment.state(Small, id) == "completed" ? 0 : 1;
    }
    int processes = 0;
    for (std::size_t i = 0; i < supervisor.ends().size(); ++i) {
        deployment.record().write("ends of " + deployment.nodes()[i]->name() + ": "
                                  + std::to_string(supervisor.ends()[i]));
        processes += supervisor.ends()[i] >= 3 ? 1 : 0;
    }
    deployment.record().write("most memory seen: " + std::to_string(supervisor.peak()) + " MB of "
                              + std::to_string(MemoryMb));
    deployment.record().write("ordinary jobs accepted " + std::to_string(accepted.size()) + ", not completed "
                              + std::to_string(unfinished));
    if (accepted.empty()) {
        deployment.finish(CouldNotRun);
    }
    deployment.finish(processes >= 2 || unfinished > 0 ? Broken : Held);
}
