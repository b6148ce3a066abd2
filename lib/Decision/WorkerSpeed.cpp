#include "corianderscale/Decision/WorkerSpeed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriander::decision {

namespace {

/** Number of steps of a worker over which the median is taken. */
constexpr std::size_t ObservationsPerWorker = 5;
/** Number of workers of a step whose rates can be compared. */
constexpr std::size_t MinimumWorkersOfStep = 2;
/** Weights of the rate of a gang's member and of a similar task. */
constexpr double WeightOfSame = 8;
constexpr double WeightOfSimilar = 1;
/** Rounds of estimating lengths and speeds in turn; the estimates of the last update are the first guess. */
constexpr int RoundsPerUpdate = 2;
/** Number of observed workers below which the pool counts as even. */
constexpr std::size_t MinimumWorkers = 12;
/** Share of slow workers from which on a pool becomes uneven, and below which it becomes even again. A release or an
    overheated rack slows down a seventh of the workers for some seconds, which the monitor of stalled runs handles. */
constexpr double UnevenShare = 0.25;
constexpr double EvenShare = 0.2;
/** Number of updates on end that change this; single updates are disturbed by long tasks. */
constexpr int ContraryUpdates = 3;
/** Weight of the observations from which on a speed is known: one gang or three other steps. */
constexpr double KnownWeight = 3;
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
    std::unordered_map<WorkerId, WeightedValues> ratesOf;
    for (const RunRate &run : runs) {
        ratesOf[run.worker].emplace_back(std::log(run.perSecond), 1);
    }
    if (ratesOf.size() < MinimumWorkersOfStep) {
        return;
    }
    m_changed = true;
    const double weight = likeness == TaskLikeness::Same ? WeightOfSame : WeightOfSimilar;
    for (auto &[id, logRates] : ratesOf) {
        const auto [entry, added] = m_workers.try_emplace(id);
        if (added) {
            entry->second.logSpeed = m_reference;
        }
        entry->second.add({step, weightedMedian(logRates), weight});
    }
}

void WorkerSpeeds::Estimate::add(const Observation &observation)
{
    const auto same = std::find_if(observations.begin(), observations.end(), [&observation](const Observation &each) {
        return each.step == observation.step;
    });
    if (same != observations.end()) {
        same->logRate = observation.logRate;
        return;
    }
    observations.push_back(observation);
    weight += observation.weight;
    if (observations.size() > ObservationsPerWorker) {
        weight -= observations.front().weight;
        observations.pop_front();
    }
}

void WorkerSpeeds::update()
{
    if (!std::exchange(m_changed, false)) {
        return;
    }
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
    std::vector<double> speeds;
    speeds.reserve(m_workers.size());
    for (const auto &[id, worker] : m_workers) {
        if (worker.weight >= KnownWeight) {
            speeds.push_back(worker.logSpeed);
        }
    }
    m_observedWorkers = speeds.size();
    if (speeds.size() < MinimumWorkers) {
        m_uneven = false;
        return;
    }
    std::sort(speeds.begin(), speeds.end());
    m_reference = speeds[speeds.size() / 2];
    const auto above = static_cast<std::size_t>(CommonShare * static_cast<double>(speeds.size()));
    m_highestCommonSpeed = std::exp(speeds[speeds.size() - 1 - above] - m_reference);
    const auto firstFast = std::lower_bound(speeds.begin(), speeds.end(), m_reference + std::log(SlowSpeed));
    const double slowShare = static_cast<double>(firstFast - speeds.begin()) / static_cast<double>(speeds.size());
    const bool contrary = m_uneven ? slowShare < EvenShare : slowShare >= UnevenShare;
    m_contraryUpdates = contrary ? m_contraryUpdates + 1 : 0;
    if (m_contraryUpdates >= ContraryUpdates) {
        m_uneven = !m_uneven;
        m_contraryUpdates = 0;
    }
}

std::optional<double> WorkerSpeeds::speedOf(const WorkerId &worker) const
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end() || known->second.weight < KnownWeight) {
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
    return m_observedWorkers;
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
