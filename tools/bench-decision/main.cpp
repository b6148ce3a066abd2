#include "corianderscale/PolicyBench/StreamDriver.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace {

using namespace coriander;
using namespace coriander::decision;

/** One worker in five has 8 accelerators, close to the design size of 1,200 accelerators on 700 workers. */
constexpr std::int64_t AcceleratorWorkerInterval = 5;
constexpr std::int64_t TasksPerWorker = 27;
constexpr std::int64_t LargestGangTasks = 64;

WorkerSpec makeWorker(std::int64_t index)
{
    const bool accelerated = index % AcceleratorWorkerInterval == 0;
    return {WorkerId("w" + std::to_string(index)),
            RackId("r" + std::to_string(index / 16)),
            index % 16,
            {MilliCores(64000), MemoryMib(262144), Accelerators(accelerated ? 8 : 0)}};
}

JobRequest makeJob(std::int64_t index, std::int64_t tasks, std::int64_t accelerators)
{
    JobRequest job;
    job.id = JobId("j" + std::to_string(index));
    job.organisation = OrganisationId("org-" + std::to_string(index % 250));
    job.caller = CallerId("caller");
    job.kind = "kind-" + std::to_string(index % 7);
    job.tasks = tasks;
    job.perTask = {MilliCores(2000), MemoryMib(4096), Accelerators(accelerators)};
    job.declaredRun = std::chrono::hours(1 + index % 9);
    job.jobClass = static_cast<JobClass>(index % 3);
    job.canCheckpoint = index % 3 != 0;
    return job;
}

/** A fleet at the design load: every worker is nearly full and jobs wait in the queue. */
class LoadedFleet
{
public:
    explicit LoadedFleet(std::int64_t workers)
        : m_scheduler(*makePolicy("corianderscale"))
    {
        for (std::int64_t i = 0; i < workers; ++i) {
            m_scheduler.handle(WorkerJoined{makeWorker(i)}, m_now);
        }
        std::int64_t tasks = 0;
        while (tasks < workers * TasksPerWorker) {
            const std::int64_t gang = m_nextJob % 8 == 0 ? 8 : LargestGangTasks;
            submit(gang, m_nextJob % 8 == 0 ? 1 : 0);
            tasks += gang;
        }
    }

    /** Ends one running job and submits another. Appends the wall time in ns of each scheduler call. */
    void replaceJob(std::vector<double> &callTimesNs)
    {
        const auto ending = m_running.begin()
            + static_cast<std::ptrdiff_t>(m_nextJob * 7919 % static_cast<std::int64_t>(m_running.size()));
        const GangEnded ended{ending->first, ending->second, true, {}};
        m_running.erase(ending);
        m_now += std::chrono::seconds(1);
        handle(ended, callTimesNs);
        submit(m_nextJob % 8 == 0 ? 8 : LargestGangTasks, m_nextJob % 8 == 0 ? 1 : 0, &callTimesNs);
    }

private:
    void submit(std::int64_t tasks, std::int64_t accelerators, std::vector<double> *callTimesNs = nullptr)
    {
        std::vector<double> unused;
        handle(JobSubmitted{makeJob(m_nextJob++, tasks, accelerators)}, callTimesNs != nullptr ? *callTimesNs : unused);
    }

    void handle(const Event &event, std::vector<double> &callTimesNs)
    {
        const auto before = std::chrono::steady_clock::now();
        const std::vector<Decision> decisions = m_scheduler.handle(event, m_now);
        callTimesNs.push_back(
            std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - before).count());
        for (const Decision &decision : decisions) {
            if (const auto *start = std::get_if<StartGang>(&decision)) {
                m_scheduler.handle(GangStarted{start->job, start->attempt}, m_now);
                m_running.emplace_back(start->job, start->attempt);
            } else if (const auto *stop = std::get_if<StopGang>(&decision)) {
                const JobId job = stop->job;
                std::erase_if(m_running, [&job](const auto &running) { return running.first == job; });
                handle(GangStopped{job, stop->attempt, stop->checkpoint}, callTimesNs);
            }
        }
    }

    Scheduler m_scheduler;
    MonotonicTime m_now{};
    std::int64_t m_nextJob = 0;
    std::vector<std::pair<JobId, std::int64_t>> m_running;
};

void decide(benchmark::State &state)
{
    LoadedFleet fleet(state.range(0));
    std::vector<double> callTimesNs;
    for ([[maybe_unused]] auto step : state) {
        fleet.replaceJob(callTimesNs);
    }
    std::sort(callTimesNs.begin(), callTimesNs.end());
    state.counters["p50_us"] = callTimesNs[callTimesNs.size() / 2] / 1000.0;
    state.counters["p99_us"] = callTimesNs[callTimesNs.size() * 99 / 100] / 1000.0;
    state.SetComplexityN(state.range(0));
}

} // namespace

BENCHMARK(decide)->Arg(50)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Arg(2800)->Iterations(3000)->Complexity();

BENCHMARK_MAIN();
