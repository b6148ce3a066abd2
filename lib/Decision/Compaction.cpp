#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

constexpr Duration CompactionPeriod = std::chrono::seconds(10);
/** Maximum number of workers that are being emptied at the same time. */
constexpr int MaximumWorkersBeingEmptied = 8;
/** A gang on more workers is not moved, because it would need free space for all its tasks on one worker. */
constexpr std::size_t MaximumWorkersOfMovedGang = 4;
/** Minimum remaining run time of a job that is moved; moving a job that ends soon gains too little. */
constexpr Duration MinimumRemainingRun = std::chrono::minutes(5);
/** Minimum time between the start of a job and its next move. */
constexpr Duration MinimumRunBeforeMove = std::chrono::minutes(10);
/** Cost of moving a job, in seconds per accelerator: the time to store a checkpoint and read it back. */
constexpr double MoveCostSeconds = 30;

/** Free resources of a worker that jobs can be moved to. */
struct FreeSpace {
    WorkerIndex worker = 0;
    Resources free;
};

} // namespace

void Scheduler::Implementation::compact()
{
    m_nextCompaction = m_now + CompactionPeriod;
    std::vector<std::pair<std::int64_t, WorkerIndex>> partlyUsed;
    int workersBeingEmptied = 0;
    for (WorkerIndex index = 0; index < m_fleet.workers().size(); ++index) {
        const FleetWorker &worker = m_fleet.worker(index);
        const std::int64_t used = worker.used.accelerators.count();
        if (m_fleet.usable(index) && used > 0 && used < worker.spec.capacity.accelerators.count()) {
            partlyUsed.emplace_back(used, index);
            workersBeingEmptied += std::any_of(worker.jobs.begin(), worker.jobs.end(), [](const Job *job) {
                return job->state == JobState::Stopping && job->stopReason == StopReason::Compaction;
            });
        }
    }
    std::sort(partlyUsed.begin(), partlyUsed.end());
    for (const auto &[used, index] : partlyUsed) {
        if (workersBeingEmptied >= MaximumWorkersBeingEmptied) {
            return;
        }
        workersBeingEmptied += tryEmptyWorker(index) ? 1 : 0;
    }
}

bool Scheduler::Implementation::tryEmptyWorker(WorkerIndex from)
{
    std::vector<Job *> jobs;
    double cost = 0;
    for (Job *job : m_fleet.worker(from).jobs) {
        if (job->size.accelerators.count() == 0) {
            continue;
        }
        const bool isMovable = job->state == JobState::Running && !job->guaranteed && job->request.canCheckpoint
            && job->parts.size() <= MaximumWorkersOfMovedGang && m_now - job->startedAt > MinimumRunBeforeMove
            && remainingRun(*job) > MinimumRemainingRun;
        if (!isMovable) {
            return false;
        }
        cost += MoveCostSeconds * static_cast<double>(gangAccelerators(*job));
        jobs.push_back(job);
    }
    if (jobs.empty() || cost > m_disruptionBudget - m_maximumDisruptionBudget / 2) {
        return false;
    }
    std::sort(jobs.begin(), jobs.end(), [](const Job *left, const Job *right) {
        return std::make_pair(-gangAccelerators(*left), left->sequence)
            < std::make_pair(-gangAccelerators(*right), right->sequence);
    });
    std::vector<FreeSpace> freeSpaces;
    for (WorkerIndex index = 0; index < m_fleet.workers().size(); ++index) {
        const FleetWorker &worker = m_fleet.worker(index);
        const std::int64_t free = m_fleet.free(index).accelerators.count();
        // Only workers that are at least as full as this one, so that jobs are not moved back and forth.
        if (index != from && m_fleet.usable(index) && free > 0
            && worker.used.accelerators >= m_fleet.worker(from).used.accelerators) {
            freeSpaces.push_back({index, m_fleet.free(index)});
        }
    }
    for (const Job *job : jobs) {
        const Resources needed = job->size * job->request.tasks;
        const auto target = std::find_if(freeSpaces.begin(), freeSpaces.end(), [&needed](const FreeSpace &candidate) {
            return countFitting(candidate.free, needed, 1) == 1;
        });
        if (target == freeSpaces.end()) {
            return false;
        }
        target->free = target->free - needed;
    }
    m_disruptionBudget -= cost;
    for (Job *job : jobs) {
        stop(*job, StopReason::Compaction, MaximumCheckpointGrace);
    }
    return true;
}

} // namespace coriander::decision
