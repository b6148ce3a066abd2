#include "corianderscale/Decision/Evacuation.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double FullPercent = 100;
/** Time between two checks of the runs on draining workers. */
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(200);

} // namespace

Duration JobEngine::timeToEnd(const Worker &worker, const Run &run, MonotonicTime now) const
{
    const Job *job = findJobOf(run.task);
    const Duration estimate = job == nullptr ? Duration(0) : job->step(run.task).estimate;
    if (!run.seenRunning) {
        return estimate;
    }
    if (!run.rate || *run.rate <= 0) {
        return estimate * (static_cast<int>(FullPercent) - run.percent) / static_cast<int>(FullPercent);
    }
    const double sinceSample = std::chrono::duration_cast<Seconds>(now - worker.lastHoldAt).count();
    const double percent = std::min(FullPercent, run.percent + *run.rate * sinceSample);
    return std::chrono::duration_cast<Duration>(Seconds((FullPercent - percent) / *run.rate));
}

void JobEngine::evacuateDrainingWorkers(MonotonicTime now)
{
    if (now < m_nextDrainCheckAt) {
        return;
    }
    m_nextDrainCheckAt = now + DrainCheckInterval;
    for (auto &[id, worker] : m_workers.all()) {
        if (!worker.report.draining || worker.leavesAt == NeverDue || worker.silentCalls > 0) {
            continue;
        }
        std::vector<RunKey> leaving;
        for (const auto &[key, run] : worker.runs) {
            const Job *job = findJobOf(key.first);
            const decision::LeavingRun view{worker.leavesAt - now, timeToEnd(worker, run, now)};
            const bool wanted = job != nullptr && !isFinal(job->state) && !run.stopWanted;
            if (wanted && (job->step(key.first).longRunning || decision::shouldEvacuate(view))) {
                leaving.push_back(key);
            }
        }
        for (const RunKey &key : leaving) {
            evacuateRun(worker, key, now);
        }
    }
}

void JobEngine::evacuateRun(const Worker &worker, const RunKey &key, MonotonicTime now)
{
    const auto milliseconds = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    const Run &run = worker.runs.at(key);
    if (run.stopWanted) {
        return;
    }
    logEvent(LogLevel::Info,
             "run-evacuated",
             {{"task", toString(key.first)},
              {"run", key.second},
              {"worker", worker.report.id},
              {"leaves_in_ms", milliseconds(worker.leavesAt - now)},
              {"ends_in_ms", milliseconds(timeToEnd(worker, run, now))},
              {"percent", run.percent}});
    ++m_counts.evacuated;
    stopRun(worker.report.id, key);
    Job *job = findJobOf(key.first);
    if (job->step(key.first).gang) {
        stopGang(*job, key.first, key.second);
    }
}

} // namespace coriander::workflow
