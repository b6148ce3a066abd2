#include "corianderscale/Decision/WaitingOrder.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>
#include <utility>

namespace coriander::workflow {

namespace {

/** Delay of an occurrence after its due time, because the wall clocks of VMs differ. */
constexpr Duration DueTimeMargin = std::chrono::milliseconds(50);

/** Expected time of the longest chain of dependent steps. */
Duration longestChainEstimate(const JobSpec &job)
{
    std::vector<Duration> endOf(job.steps.size());
    Duration longest{};
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        Duration begin{};
        for (const std::size_t earlier : job.steps[s].after) {
            begin = std::max(begin, endOf[earlier]);
        }
        endOf[s] = begin + job.steps[s].estimate;
        longest = std::max(longest, endOf[s]);
    }
    return longest;
}

WallTime dueTime(const JobSpec &job, std::size_t occurrence)
{
    return job.firstDue + job.interval * static_cast<std::int64_t>(occurrence) + DueTimeMargin;
}

/** Number of occurrences whose due time is less than @p span after that of the first one. */
std::size_t occurrencesBefore(const JobSpec &job, Duration span)
{
    if (span <= Duration(0)) {
        return 0;
    }
    const std::size_t all = std::max<std::size_t>(job.occurrences, 1);
    if (job.interval <= Duration(0)) {
        return all;
    }
    return std::min(all, static_cast<std::size_t>((span - Duration(1)) / job.interval) + 1);
}

/** Number of occurrences that are due; they are the first ones. */
std::size_t dueOccurrences(const Job &job, WallTime now)
{
    const JobSpec &spec = job.spec;
    if (spec.occurrences == 0) {
        return 1;
    }
    return occurrencesBefore(spec, now - dueTime(spec, 0) + Duration(1));
}

} // namespace

void JobEngine::updatePools()
{
    if (!std::exchange(m_poolsOutdated, false)) {
        return;
    }
    m_pools.clear();
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.listed && !worker.report.draining && !isEvacuated(worker)) {
            m_pools[worker.report.service].add(worker.report.capacity, worker.report.labels);
        }
    }
}

bool JobEngine::canEverRun(const StepSpec &step, const ServiceName &service) const
{
    const auto pool = m_pools.find(service);
    const std::size_t together = step.gang ? step.tasks : 1;
    return pool != m_pools.end()
        && pool->second.canHold({step.reservedResources(), together, step.requiredLabel, step.maximumPerWorker});
}

WaitingSteps JobEngine::waitingSteps(MonotonicTime now)
{
    m_coveredJobs = guaranteedJobs();
    WaitingSteps waiting;
    const WallTime wallNow = m_clock.wallNow();
    for (auto &[id, job] : m_jobs) {
        const std::size_t due = dueOccurrences(job, wallNow);
        if (isFinal(job.state) || !job.spec.policy || due == 0) {
            continue;
        }
        for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
            addWaitingStep(job, *job.spec.policy, s, due, now, waiting);
        }
    }
    return waiting;
}

void JobEngine::addWaitingStep(
    Job &job, const QueuePolicy &policy, std::size_t step, std::size_t due, MonotonicTime now, WaitingSteps &into) const
{
    WaitingStep waiting;
    waiting.occurrences = job.waitingOccurrences(step, due);
    const StepSpec &spec = job.spec.steps[step];
    if (waiting.occurrences.none() || !canEverRun(spec, policy.service)) {
        return;
    }
    waiting.job = &job;
    waiting.policy = &policy;
    waiting.step = step;
    waiting.guaranteed = m_coveredJobs.count(job.spec.id) > 0;
    waiting.firstSince = countedSince(job, 0);
    waiting.objective = objectiveOf(job, policy, 0, longestChainEstimate(job.spec)) - waiting.firstSince;
    const auto rankOf = [&waiting, &policy, &spec](bool late) {
        return decision::waitingRank({policy.priority,
                                      waiting.guaranteed,
                                      spec.longRunning,
                                      late ? waiting.objective + Duration(1) : waiting.objective,
                                      waiting.objective});
    };
    const std::size_t late
        = std::min(due, occurrencesBefore(job.spec, now + spec.estimate - waiting.firstSince - waiting.objective));
    WaitingStep lateOnes = waiting;
    lateOnes.occurrences.resize(late);
    lateOnes.late = true;
    lateOnes.rank = rankOf(true);
    into.add(std::move(lateOnes));
    for (std::size_t k = waiting.occurrences.find_first(); k < late; k = waiting.occurrences.find_next(k)) {
        waiting.occurrences.reset(k);
    }
    waiting.rank = rankOf(false);
    into.add(std::move(waiting));
}

MonotonicTime JobEngine::countedSince(const Job &job, std::size_t occurrence) const
{
    return job.spec.occurrences > 0 ? toMonotonic(dueTime(job.spec, occurrence), m_clock)
                                    : std::min(job.learntAt, toMonotonic(job.spec.acceptedAt, m_clock));
}

MonotonicTime JobEngine::objectiveOf(const Job &job,
                                     const QueuePolicy &policy,
                                     std::size_t occurrence,
                                     Duration chain) const
{
    return countedSince(job, occurrence) + std::chrono::duration_cast<Duration>(chain * policy.stretch)
        + policy.objectiveSlack;
}

} // namespace coriander::workflow
