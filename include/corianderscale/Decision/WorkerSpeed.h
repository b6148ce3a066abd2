#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace coriander::decision {

/** Progress of one run of a step. */
struct RunRate {
    WorkerId worker;
    /** Share of the task that is done per second; more than 0. */
    double perSecond = 0;
};

/** How alike the tasks of a step are. */
enum class TaskLikeness {
    /** The members of a gang share one piece of work, so their rates differ by the speeds of their workers only. */
    Same,
    /** Tasks of about the same length; a few are several times longer. */
    Similar,
};

/**
 * Learns how fast each worker is, relative to the typical worker of the pool, from the progress of runs.
 *
 * Load pattern: workers of one pool run at different speeds, which nothing reports, and a step is as slow as its
 * slowest member. The rate of a run is the speed of its worker divided by the length of its task. Both are estimated in
 * turn from the latest steps of all workers: the length of a step as the weighted median over its runs, the speed of a
 * worker as the weighted median over its steps. No estimate of a length is used, because these are off by a factor that
 * differs by job.
 *
 * Thread safety: not thread safe.
 */
class WorkerSpeeds
{
public:
    /** Takes the rates of the runs of one step; @p step identifies it. A later call for the same step replaces the
     * earlier observations of it. A step on a single worker is ignored, because nothing tells its length. */
    void observe(std::uint64_t step, TaskLikeness likeness, const std::vector<RunRate> &runs);

    /** Estimates all speeds again, if there are new observations. Call after a round of observations, several times a
     * second. */
    void update();

    /** The worker's speed, where 1 is the typical speed of the pool; no value without enough observations. */
    std::optional<double> speedOf(const WorkerId &worker) const;

    /** Whether so many workers are slow, for some updates on end, that the choice of the worker decides whether urgent
     * work is in time. */
    bool isUneven() const;

    /** Highest speed of at least a tenth of the workers; 1 before the first observations. */
    double highestCommonSpeed() const;

    /** Number of workers whose speed is known. */
    std::size_t observedWorkers() const;

    /** Forgets a worker, whose process may run on other hardware from now on. */
    void forget(const WorkerId &worker);

private:
    struct Observation {
        std::uint64_t step = 0;
        double logRate = 0;
        double weight = 0;
    };

    struct Estimate {
        /** Latest observations, oldest first. */
        std::deque<Observation> observations;
        double logSpeed = 0;
        /** Weight of all observations. */
        double weight = 0;

        /** Replaces the observation of the same step, else the oldest one when there are too many. */
        void add(const Observation &observation);
    };

    void estimateLengths();
    void estimateSpeeds();
    void summarize();

    std::unordered_map<WorkerId, Estimate> m_workers;
    /** Logarithm of the rate of a step on a worker of logarithmic speed 0. */
    std::unordered_map<std::uint64_t, double> m_logRates;
    /** Logarithm of the typical speed. */
    double m_reference = 0;
    double m_highestCommonSpeed = 1;
    bool m_uneven = false;
    /** Number of updates on end in which the share of slow workers spoke against m_uneven. */
    int m_contraryUpdates = 0;
    std::size_t m_observedWorkers = 0;
    bool m_changed = false;
};

/** A step whose tasks wait for workers. */
struct SpeedDemand {
    /** Expected run time on a worker of typical speed. */
    Duration estimate{};
    /** Time from now until the objective. */
    Duration timeLeft{};
    /** How long the step has waited. */
    Duration waited{};
    /** Highest speed that is common in the pool. */
    double highestCommonSpeed = 1;
};

/**
 * The lowest speed of a worker on which an urgent step still ends before its objective; 0 if any worker will do,
 * because the objective can't be met any more or the step has waited so long that its start matters more than its end.
 *
 * Load pattern: urgent gangs with an objective of one and a half times their work, on workers of which a third runs at
 * 0.6 of the typical speed: half of all urgent work is late there while faster workers run work that can wait.
 *
 * Thread safety: pure.
 */
double speedNeeded(const SpeedDemand &demand);

/** Speed below which a worker is too slow for most urgent work. */
constexpr double SlowSpeed = 0.75;

} // namespace coriander::decision
