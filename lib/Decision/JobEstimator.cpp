#include "corianderscale/Decision/JobEstimator.h"

#include <algorithm>
#include <cmath>

namespace coriander::decision {

namespace {

/** Number of observations of a kind before its learned size replaces the declared one. */
constexpr std::int64_t MinimumUseObservations = 20;
/** Factor by which a kind's peaks shrink with each observation; they halve after about 1,400 observations. */
constexpr double PeakDecay = 0.9995;
/** Factor by which a learned size exceeds the observed peak. */
constexpr double SizeMargin = 1.25;
/** Maximum number of kinds, and of callers, in the tables. A table that exceeds it is cleared, to bound memory. */
constexpr std::size_t MaximumKinds = 20000;

std::string callerKey(const JobRequest &job)
{
    return job.organisation.value() + '/' + job.caller.value();
}

std::string kindKey(const JobRequest &job)
{
    return callerKey(job) + '/' + job.kind;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

std::int64_t learnedAmount(double peak, std::int64_t declared, std::int64_t floor)
{
    const auto learned = static_cast<std::int64_t>(std::ceil(peak * SizeMargin));
    return std::max(floor, std::min(learned, std::max(declared, floor)));
}

} // namespace

void JobEstimator::recordRun(const JobRequest &job, Duration run)
{
    if (m_kinds.size() > MaximumKinds) {
        m_kinds.clear();
    }
    if (m_callers.size() > MaximumKinds) {
        m_callers.clear();
    }
    Kind &kind = m_kinds[kindKey(job)];
    kind.runs[kind.runCount++ % RunsKept] = seconds(run);
    if (job.declaredRun > Duration::zero() && run > Duration::zero()) {
        Caller &caller = m_callers[callerKey(job)];
        const double error = std::log(seconds(run) / seconds(job.declaredRun));
        ++caller.samples;
        // The mean over all samples at first, then an exponential moving average.
        const double weight = std::max(1.0 / static_cast<double>(caller.samples), 0.05);
        caller.meanLogError += (error - caller.meanLogError) * weight;
    }
}

void JobEstimator::recordUse(const JobRequest &job, const Resources &used)
{
    Kind &kind = m_kinds[kindKey(job)];
    ++kind.useCount;
    kind.peakCores = std::max(kind.peakCores * PeakDecay, static_cast<double>(used.cores.count()));
    kind.peakMemory = std::max(kind.peakMemory * PeakDecay, static_cast<double>(used.memory.count()));
}

void JobEstimator::recordOverSize(const JobRequest &job, const Resources &needed)
{
    Kind &kind = m_kinds[kindKey(job)];
    kind.floor.cores = std::max(kind.floor.cores, needed.cores);
    kind.floor.memory = std::max(kind.floor.memory, needed.memory);
}

Duration JobEstimator::expectedRun(const JobRequest &job) const
{
    const auto kind = m_kinds.find(kindKey(job));
    if (kind != m_kinds.end() && kind->second.runCount > 0) {
        std::array<double, RunsKept> runs = kind->second.runs;
        const std::size_t count = std::min(kind->second.runCount, RunsKept);
        const auto middle = runs.begin() + static_cast<std::ptrdiff_t>(count / 2);
        std::nth_element(runs.begin(), middle, runs.begin() + static_cast<std::ptrdiff_t>(count));
        return fromSeconds(*middle);
    }
    if (job.declaredRun <= Duration::zero()) {
        return DefaultRunTime;
    }
    const auto caller = m_callers.find(callerKey(job));
    const double error = caller == m_callers.end() ? 0.0 : caller->second.meanLogError;
    return fromSeconds(seconds(job.declaredRun) * std::exp(error));
}

Resources JobEstimator::expectedSize(const JobRequest &job) const
{
    Resources size = job.perTask;
    const auto found = m_kinds.find(kindKey(job));
    if (found == m_kinds.end()) {
        return size;
    }
    const Kind &kind = found->second;
    size.cores = std::max(size.cores, kind.floor.cores);
    size.memory = std::max(size.memory, kind.floor.memory);
    if (kind.useCount >= MinimumUseObservations) {
        size.cores = MilliCores(learnedAmount(kind.peakCores, size.cores.count(), kind.floor.cores.count()));
        size.memory = MemoryMib(learnedAmount(kind.peakMemory, size.memory.count(), kind.floor.memory.count()));
    }
    return size;
}

} // namespace coriander::decision
