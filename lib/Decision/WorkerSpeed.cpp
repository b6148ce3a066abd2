#include "corianderscale/Decision/WorkerSpeed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriander::decision {

namespace {

/** Number of steps of a worker over which the median is taken. */
constexpr std::size_t ObservationsPerWorker = 5;
/** Number of runs of a step that tell its length. */
constexpr std::size_t MinimumRuns = 2;
/** Number of similar tasks whose median weighs as much as one member of a gang. */
constexpr double WeightOfSame = 8;
constexpr double WeightOfSimilar = 1;
/** Rounds of estimating lengths and speeds in turn; the estimates of the last update are the first guess. */
constexpr int RoundsPerUpdate = 2;
/** Number of observed workers below which the pool counts as even. */
constexpr std::size_t MinimumWorkers = 12;
/** Share of slow workers from which on the pool counts as uneven. A release or an overheated rack slows down a seventh
    of the workers for some seconds, which the monitor of stalled runs handles. */
constexpr double UnevenShare = 0.2;
/** Share of workers that have at least the highest common speed. */
constexpr double CommonShare = 0.1;
/** Tasks of a step differ by some 15%, and the slowest member ends a gang. */
constexpr double TaskSpread = 1.15;
/** Time from the decision to the start of the work, and from its end to the caller. */
constexpr Duration StartAndReport = std::chrono::milliseconds(200);
/** Longest wait for a faster worker; guaranteed work has to begin within less than 3 s. */
constexpr Duration MaximumSpeedWait = std::chrono::milliseconds(1000);

using WeightedValues = std::vector<std::pair<double, double>>;

/** The value at which half of the weight is reached. Precondition: @p values is not empty. */
double weightedMedian(WeightedValues &values)
{
    std::sort(values.begin(), values.end());
    double total = 0;
    for (const auto &[value, weight] : values) {
        total += weight;
    }
    double reached = 0;
    for (const auto &[value, weight] : values) {
        reached += weight;
        if (reached * 2 > total) {
            return value;
        }
    }
    return values.back().first;
}

} // namespace

void WorkerSpeeds::observe(std::uint64_t step, TaskLikeness likeness, const std::vector<RunRate> &runs)
{
    if (runs.size() < MinimumRuns) {
        return;
    }
    const double weight = likeness == TaskLikeness::Same ? WeightOfSame : WeightOfSimilar;
    for (const RunRate &run : runs) {
        const auto [entry, added] = m_workers.try_emplace(run.worker);
        if (added) {
            entry->second.logSpeed = m_reference;
        }
        std::deque<Observation> &observations = entry->second.observations;
        const auto same = std::find_if(
            observations.begin(), observations.end(), [step](const Observation &each) { return each.step == step; });
        if (same != observations.end()) {
            same->logRate = std::log(run.perSecond);
            continue;
        }
        observations.push_back({step, std::log(run.perSecond), weight});
        if (observations.size() > ObservationsPerWorker) {
            observations.pop_front();
        }
    }
}

void WorkerSpeeds::update()
{
    for (int round = 0; round < RoundsPerUpdate; ++round) {
        estimateLengths();
        estimateSpeeds();
    }
    summarize();
}

void WorkerSpeeds::estimateLengths()
{
    std::unordered_map<std::uint64_t, WeightedValues> values;
    for (const auto &[id, worker] : m_workers) {
        for (const Observation &each : worker.observations) {
            values[each.step].emplace_back(each.logRate - worker.logSpeed, each.weight);
        }
    }
    m_logRates.clear();
    for (auto &[step, ofStep] : values) {
        m_logRates[step] = weightedMedian(ofStep);
    }
}

void WorkerSpeeds::estimateSpeeds()
{
    WeightedValues values;
    for (auto &[id, worker] : m_workers) {
        values.clear();
        for (const Observation &each : worker.observations) {
            values.emplace_back(each.logRate - m_logRates.at(each.step), each.weight);
        }
        worker.logSpeed = weightedMedian(values);
    }
}

void WorkerSpeeds::summarize()
{
    if (m_workers.size() < MinimumWorkers) {
        m_uneven = false;
        return;
    }
    std::vector<double> speeds;
    speeds.reserve(m_workers.size());
    for (const auto &[id, worker] : m_workers) {
        speeds.push_back(worker.logSpeed);
    }
    std::sort(speeds.begin(), speeds.end());
    m_reference = speeds[speeds.size() / 2];
    const auto slow
        = std::lower_bound(speeds.begin(), speeds.end(), m_reference + std::log(SlowSpeed)) - speeds.begin();
    m_uneven = static_cast<double>(slow) >= UnevenShare * static_cast<double>(speeds.size());
    const auto above = static_cast<std::size_t>(CommonShare * static_cast<double>(speeds.size()));
    m_highestCommonSpeed = std::exp(speeds[speeds.size() - 1 - above] - m_reference);
}

std::optional<double> WorkerSpeeds::speedOf(const WorkerId &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end()) {
        return std::nullopt;
    }
    return std::exp(known->second.logSpeed - m_reference);
}

bool WorkerSpeeds::isUneven() const
{
    return m_uneven;
}

double WorkerSpeeds::highestCommonSpeed() const
{
    return m_highestCommonSpeed;
}

std::size_t WorkerSpeeds::observedWorkers() const
{
    return m_workers.size();
}

void WorkerSpeeds::forget(const WorkerId &worker)
{
    m_workers.erase(worker);
}

double speedNeeded(const SpeedDemand &demand)
{
    const Duration runTime = demand.timeLeft - StartAndReport;
    if (runTime <= Duration(0) || demand.waited >= MaximumSpeedWait) {
        return 0;
    }
    const double needed = TaskSpread * std::chrono::duration<double>(demand.estimate).count()
        / std::chrono::duration<double>(runTime).count();
    return needed > demand.highestCommonSpeed ? 0 : needed;
}

} // namespace coriander::decision
