#include <algorithm>

#include "SchedulerImplementation.h"

namespace coriander::decision {

namespace {

/** Number of claimants of one organisation that may fail before the others wait for the next pass. */
constexpr std::size_t MaximumFailedClaims = 4;

/** Whether the task needs no more cores and memory than its accelerators' share of the worker. */
bool withinShare(const Resources &task, const Resources &worker)
{
    const std::int64_t accelerators = worker.accelerators.count();
    return task.cores.count() * accelerators <= worker.cores.count() * task.accelerators.count()
        && task.memory.count() * accelerators <= worker.memory.count() * task.accelerators.count();
}

/** Room on the unclaimed pins of an organisation on one worker. */
struct PinRoom {
    WorkerIndex worker = 0;
    /** Tasks that fit on the unclaimed pins. */
    std::int64_t tasks = 0;
    /** Tasks that fit without stopping other jobs. */
    std::int64_t freeTasks = 0;
};

} // namespace

void Scheduler::Implementation::placeClaimants()
{
    std::vector<Job *> claimants;
    for (const auto &[organisation, jobs] : m_claimants) {
        for (const auto &entry : jobs) {
            claimants.push_back(std::get<Job *>(entry));
        }
    }
    std::map<OrganisationIndex, std::size_t> failures;
    for (Job *job : claimants) {
        std::size_t &failed = failures[job->organisation];
        if (failed < MaximumFailedClaims && job->state == JobState::Waiting && !tryClaim(*job)) {
            ++failed;
        }
    }
}

bool Scheduler::Implementation::canClaim(const Job &job) const
{
    return job.request.useGuarantee && m_policy.honoursGuarantees && job.request.perTask.accelerators.count() > 0
        && job.request.perTask.accelerators.count() * job.request.tasks <= m_guaranteeTable.unclaimed(job.organisation);
}

bool Scheduler::Implementation::tryClaim(Job &job)
{
    if (!canClaim(job) || job.notBefore > m_now) {
        return false;
    }
    const Resources size = taskSize(job);
    std::optional<VictimChoice> choice = findCheapestClaim(job, size);
    if (choice && !choice->victims.empty()
        && m_guaranteeTable.tryMoveToFree(m_fleet, job.organisation, gangAccelerators(job), job.request.closeness)) {
        choice = findCheapestClaim(job, size);
    }
    if (choice && choice->cost > 0 && movePinForClaim(job, size, choice->cost)) {
        choice = findCheapestClaim(job, size);
    }
    if (!choice) {
        return false;
    }
    assignWorkers(job, size, choice->parts, true, choice->victims);
    return true;
}

bool Scheduler::Implementation::movePinForClaim(const Job &job, const Resources &size, double presentCost)
{
    if (job.request.closeness != Closeness::Worker && job.request.tasks > 1) {
        return false;
    }
    const VictimCost cost = [this, &job](const Job &victim) {
        return victimCost(victim, job, true);
    };
    std::vector<std::pair<double, WorkerIndex>> cheaper;
    for (WorkerIndex index = 0; index < m_fleet.workers().size(); ++index) {
        const Resources &capacity = m_fleet.worker(index).spec.capacity;
        if (!m_fleet.usable(index) || capacity.accelerators.count() < gangAccelerators(job)
            || !withinShare(size, capacity)) {
            continue;
        }
        const auto choice = chooseVictimsOn(m_fleet, {{index, job.request.tasks}}, size, cost);
        if (choice && choice->cost < presentCost) {
            cheaper.emplace_back(choice->cost, index);
        }
    }
    std::sort(cheaper.begin(), cheaper.end());
    return std::any_of(cheaper.begin(), cheaper.end(), [&](const auto &entry) {
        return m_guaranteeTable.tryMoveToWorker(m_fleet, job.organisation, gangAccelerators(job), entry.second);
    });
}

std::optional<VictimChoice> Scheduler::Implementation::findCheapestClaim(const Job &job, const Resources &size)
{
    std::map<std::uint32_t, std::vector<PinRoom>> groups;
    const bool single = job.request.closeness == Closeness::Worker || job.request.tasks == 1;
    for (const auto &[index, pin] : m_guaranteeTable.pins(job.organisation)) {
        const FleetWorker &worker = m_fleet.worker(index);
        const std::int64_t tasks = (pin.pinned - pin.claimed) / size.accelerators.count();
        if (tasks <= 0 || !m_fleet.usable(index) || !withinShare(size, worker.spec.capacity)) {
            continue;
        }
        const std::uint32_t group = single ? index : (job.request.closeness == Closeness::Rack ? worker.rack : 0);
        groups[group].push_back({index, tasks, countFitting(m_fleet.free(index), size, tasks)});
    }
    const VictimCost cost = [this, &job](const Job &victim) {
        return victimCost(victim, job, true);
    };
    std::optional<VictimChoice> best;
    for (auto &[group, rooms] : groups) {
        std::stable_sort(rooms.begin(), rooms.end(), [](const PinRoom &left, const PinRoom &right) {
            return left.freeTasks > right.freeTasks;
        });
        GangParts parts;
        std::int64_t missing = job.request.tasks;
        for (const PinRoom &room : rooms) {
            const std::int64_t tasks = std::min(missing, room.tasks);
            if (tasks > 0) {
                parts.push_back({room.worker, tasks});
                missing -= tasks;
            }
        }
        if (missing > 0) {
            continue;
        }
        std::optional<VictimChoice> choice = chooseVictimsOn(m_fleet, parts, size, cost);
        if (choice && (!best || choice->cost < best->cost)) {
            best = std::move(choice);
        }
    }
    return best;
}

} // namespace coriander::decision
