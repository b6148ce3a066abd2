#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>

namespace coriander::workflow {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time between two checks; a worker reports percents once or twice a second. */
constexpr Duration MonitorInterval = std::chrono::milliseconds(300);
/** A run whose rate is below this share of its peers' rate is on a slow worker. Healthy workers differ by a factor of
    0.8 to 1.25, tasks by 30%. */
constexpr double SlowRateShare = 0.35;
/** A run whose percent does not rise for this long is stalled; one percent of a long task takes 0.1 s. */
constexpr Duration StallTimeout = std::chrono::milliseconds(1200);
/** Expected length of a stall; workers stall for seconds at a time. */
constexpr double ExpectedStallSeconds = 3;
/** Expected time to stop a run and start its task on another worker. */
constexpr double ExpectedMoveSeconds = 0.6;
/** How long a worker gets no new work after it was last found slow or stalled. */
constexpr Duration SlowWorkerAvoidTime = std::chrono::seconds(4);
/** Maximum number of moves of one task; after that the task itself may be the cause. */
constexpr int MaximumMovesPerTask = 2;
constexpr double FullPercent = 100;
/** A rate over less time or progress is dominated by the rounding to whole percents and by the start of the task. */
constexpr Duration MinimumObservedTime = std::chrono::milliseconds(400);
constexpr int MinimumObservedPercent = 8;

/** The upper median of the positive rates, which a few slow runs do not lower; 0 if there are none. */
double referenceRate(std::vector<double> rates)
{
    std::erase_if(rates, [](double rate) { return rate <= 0; });
    if (rates.empty()) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

} // namespace

void JobEngine::monitorRuns(MonotonicTime now)
{
    if (now < m_nextMonitorAt || !m_catalogue) {
        return;
    }
    m_nextMonitorAt = now + MonitorInterval;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.state) || !job.spec.policy) {
            continue;
        }
        for (const auto &[index, tasks] : job.openSteps()) {
            if (tasks.assigned() > 0) {
                monitorStep(job, *job.spec.policy, index, now);
            }
        }
    }
    updateSpeeds();
}

void JobEngine::updateSpeeds()
{
    for (auto &[service, speeds] : m_workerSpeeds) {
        const bool wasUneven = speeds.isUneven();
        speeds.update();
        if (speeds.isUneven() != wasUneven) {
            logEvent(LogLevel::Info,
                     "worker-speeds-changed",
                     {{"service", service},
                      {"uneven", speeds.isUneven()},
                      {"observed", speeds.observedWorkers()},
                      {"workers", m_workers.all().size()},
                      {"highest_common", speeds.highestCommonSpeed()}});
        }
    }
}

void JobEngine::observeSpeeds(const Job &job,
                              const QueuePolicy &policy,
                              const StepKey &step,
                              const std::vector<MonitoredRun> &runs)
{
    std::vector<decision::RunRate> rates;
    for (const MonitoredRun &monitored : runs) {
        const Run &run = *monitored.run;
        const Duration observed = monitored.worker->lastHoldAt - run.runningSince;
        const int progress = run.percent - run.firstPercent;
        if (observed >= MinimumObservedTime && progress >= MinimumObservedPercent && run.percent < FullPercent
            && !run.stopWanted) {
            const double seconds = std::chrono::duration_cast<Seconds>(observed).count();
            rates.push_back({monitored.worker->report.id, progress / FullPercent / seconds});
        }
    }
    if (rates.size() < 2) {
        return;
    }
    const std::size_t id
        = std::hash<std::string>()(fmt::format("{}.{}.{}", step.job.value(), step.occurrence, step.step));
    const bool gang = job.spec.steps[step.step].gang;
    m_workerSpeeds[policy.service].observe(
        id, gang ? decision::TaskLikeness::Same : decision::TaskLikeness::Similar, rates);
}

std::vector<JobEngine::MonitoredRun> JobEngine::monitoredRuns(const Job &job, const StepIndex &step)
{
    std::vector<MonitoredRun> monitored;
    for (const auto &[i, task] : job.openStep(step)->states()) {
        if (task.phase != TaskPhase::Assigned) {
            continue;
        }
        Worker *worker = m_workers.find(task.worker);
        const RunKey key{{job.spec.id, step.occurrence, step.step, i}, task.run};
        const auto run = worker == nullptr ? decltype(worker->runs.end()){} : worker->runs.find(key);
        if (worker != nullptr && run != worker->runs.end() && run->second.seenRunning && worker->silentCalls == 0) {
            monitored.push_back({worker, &run->second});
        }
    }
    return monitored;
}

void JobEngine::monitorStep(Job &job, const QueuePolicy &policy, const StepIndex &step, MonotonicTime now)
{
    const std::vector<MonitoredRun> runs = monitoredRuns(job, step);
    observeSpeeds(job, policy, {job.spec.id, step.occurrence, step.step}, runs);
    std::vector<double> rates;
    for (const MonitoredRun &monitored : runs) {
        rates.push_back(monitored.run->rate.value_or(0));
    }
    const double reference = referenceRate(std::move(rates));
    const bool gang = job.spec.steps[step.step].gang;
    for (const MonitoredRun &monitored : runs) {
        const Run &run = *monitored.run;
        if (run.percent >= FullPercent || run.stopWanted) {
            continue;
        }
        // If no member of a gang progresses, the gang waits for a member, which does not mean that its workers are
        // slow.
        const bool peersMove = !gang || reference > 0;
        const bool stalled = peersMove && monitored.worker->lastHoldAt - run.progressedAt >= StallTimeout;
        const bool slow = run.rate && *run.rate < SlowRateShare * reference;
        if (!stalled && !slow) {
            continue;
        }
        markWorkerSlow(*monitored.worker, run, reference, now);
        if (isWorthMoving(job, policy, run, reference, stalled, now)) {
            moveRun(job, run);
            return;
        }
    }
}

void JobEngine::markWorkerSlow(Worker &worker, const Run &run, double reference, MonotonicTime now)
{
    if (worker.avoidedUntil <= now) {
        logEvent(LogLevel::Warning,
                 "worker-slow",
                 {{"worker", worker.report.id},
                  {"task", toString(run.task)},
                  {"percent_per_s", run.rate.value_or(0)},
                  {"peers", reference}});
    }
    worker.avoidedUntil = std::max(worker.avoidedUntil, now + SlowWorkerAvoidTime);
}

bool JobEngine::isWorthMoving(
    const Job &job, const QueuePolicy &policy, const Run &run, double reference, bool stalled, MonotonicTime now) const
{
    const StepSpec &step = job.step(run.task);
    const Task *task = job.task(run.task);
    if (task == nullptr || task->moves >= MaximumMovesPerTask || step.longRunning) {
        return false;
    }
    const double estimated = std::chrono::duration_cast<Seconds>(step.estimate).count();
    const double totalSeconds = reference > 0 ? FullPercent / reference : estimated;
    const double remainingShare = (FullPercent - run.percent) / FullPercent;
    const double secondsIfKept = stalled ? remainingShare * totalSeconds + ExpectedStallSeconds
                                         : (FullPercent - run.percent) / run.rate.value_or(1);
    const double checkpointShare = task->checkpoint.empty() ? 0 : task->checkpointPercent / FullPercent;
    const double secondsIfMoved = (1 - checkpointShare) * totalSeconds + ExpectedMoveSeconds;
    const auto chain = std::chrono::duration_cast<Duration>(Seconds(totalSeconds));
    const MonotonicTime objective = objectiveOf(job, policy, run.task.occurrence, chain);
    const auto after = [now](double seconds) {
        return now + std::chrono::duration_cast<Duration>(Seconds(seconds));
    };
    return after(secondsIfKept) > objective && after(secondsIfMoved) <= objective;
}

void JobEngine::moveRun(Job &job, const Run &run)
{
    const TaskKey key = run.task;
    const std::int64_t number = run.number;
    Task &task = job.taskState(key);
    ++task.moves;
    ++m_counts.moved;
    logEvent(LogLevel::Info,
             "run-moved",
             {{"task", toString(key)}, {"run", number}, {"worker", task.worker}, {"percent", run.percent}});
    task.failedOn.insert(task.worker);
    stopRun(task.worker, {key, number});
    if (job.step(key).gang) {
        for (auto &[index, member] : job.openStep({key.occurrence, key.step})->states()) {
            member.moves = task.moves;
        }
        stopGang(job, key, number);
    }
}

} // namespace coriander::workflow
