#include "corianderscale/Decision/Victims.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace coriander::decision {

namespace {

Resources usedOn(const Job &job, WorkerIndex worker)
{
    for (const GangPart &part : job.parts) {
        if (part.worker == worker) {
            return job.size * part.tasks;
        }
    }
    return {};
}

struct VictimCandidate {
    Job *job = nullptr;
    double cost = 0;
};

/** Jobs on one worker that may be preempted, ordered by cost per unit of the needed resource that they free. */
std::vector<VictimCandidate> findCandidates(const Fleet &fleet,
                                            WorkerIndex worker,
                                            const Resources &size,
                                            const VictimCost &cost)
{
    std::vector<VictimCandidate> victims;
    const bool forAccelerators = size.accelerators.count() > 0;
    for (Job *job : fleet.worker(worker).jobs) {
        const double jobCost = cost(*job);
        if (jobCost < NotPreemptible) {
            const Resources freed = usedOn(*job, worker);
            const std::int64_t amount = forAccelerators ? freed.accelerators.count() : freed.cores.count();
            // A victim that frees none of the needed resource comes last.
            const double gain = amount > 0 ? static_cast<double>(amount) : 1e-3;
            victims.push_back({job, jobCost / gain});
        }
    }
    std::sort(victims.begin(), victims.end(), [](const VictimCandidate &left, const VictimCandidate &right) {
        return std::tie(left.cost, left.job->sequence) < std::tie(right.cost, right.job->sequence);
    });
    return victims;
}

/** Tasks that fit on a worker after some of its jobs are preempted. */
struct WorkerOption {
    WorkerIndex worker = 0;
    std::int64_t tasks = 0;
    double costPerTask = 0;
};

/** The option with the lowest cost per task that fits at least @p least tasks on the worker. */
WorkerOption findCheapestOption(
    const Fleet &fleet, WorkerIndex worker, const PlacementRequest &request, std::int64_t least, const VictimCost &cost)
{
    Resources free = fleet.free(worker);
    double spent = 0;
    WorkerOption best{worker, 0, NotPreemptible};
    const auto consider = [&] {
        const std::int64_t tasks = countFitting(free, request.size, request.tasks);
        if (tasks >= least && tasks > 0 && spent / static_cast<double>(tasks) < best.costPerTask) {
            best = {worker, tasks, spent / static_cast<double>(tasks)};
        }
    };
    consider();
    if (best.tasks == request.tasks) {
        return best;
    }
    for (const VictimCandidate &victim : findCandidates(fleet, worker, request.size, cost)) {
        free = free + usedOn(*victim.job, worker);
        spent += cost(*victim.job);
        consider();
    }
    return best;
}

std::optional<GangParts> chooseCheapestGroup(const Fleet &fleet,
                                             const PlacementRequest &request,
                                             std::vector<WorkerOption> options)
{
    std::map<std::uint32_t, std::vector<WorkerOption>> groups;
    const bool single = request.closeness == Closeness::Worker || request.tasks == 1;
    for (const WorkerOption &option : options) {
        const std::uint32_t rack = fleet.worker(option.worker).rack;
        groups[single ? option.worker : (request.closeness == Closeness::Rack ? rack : 0)].push_back(option);
    }
    std::optional<GangParts> best;
    double bestCost = NotPreemptible;
    for (auto &[group, members] : groups) {
        std::stable_sort(members.begin(), members.end(), [](const WorkerOption &left, const WorkerOption &right) {
            return left.costPerTask < right.costPerTask;
        });
        GangParts parts;
        std::int64_t missing = request.tasks;
        double cost = 0;
        for (const WorkerOption &option : members) {
            const std::int64_t tasks = std::min(missing, option.tasks);
            if (tasks == 0) {
                break;
            }
            parts.push_back({option.worker, tasks});
            cost += option.costPerTask * static_cast<double>(tasks);
            missing -= tasks;
        }
        if (missing == 0 && cost < bestCost) {
            bestCost = cost;
            best = std::move(parts);
        }
    }
    return best;
}

bool fitsAfter(const Fleet &fleet, const GangParts &parts, const Resources &size, const std::vector<Job *> &victims)
{
    return std::all_of(parts.begin(), parts.end(), [&](const GangPart &part) {
        Resources free = fleet.free(part.worker);
        for (const Job *victim : victims) {
            free = free + usedOn(*victim, part.worker);
        }
        return countFitting(free, size, part.tasks) >= part.tasks;
    });
}

} // namespace

std::optional<VictimChoice> chooseVictimsOn(const Fleet &fleet,
                                            const GangParts &parts,
                                            const Resources &size,
                                            const VictimCost &cost)
{
    VictimChoice choice;
    choice.parts = parts;
    std::set<const Job *> chosen;
    for (const GangPart &part : parts) {
        Resources free = fleet.free(part.worker);
        for (const Job *victim : choice.victims) {
            free = free + usedOn(*victim, part.worker);
        }
        for (const VictimCandidate &victim : findCandidates(fleet, part.worker, size, cost)) {
            if (countFitting(free, size, part.tasks) >= part.tasks) {
                break;
            }
            if (chosen.insert(victim.job).second) {
                choice.victims.push_back(victim.job);
                free = free + usedOn(*victim.job, part.worker);
            }
        }
        if (countFitting(free, size, part.tasks) < part.tasks) {
            return std::nullopt;
        }
    }
    // A victim chosen early may have become unnecessary; the most expensive ones are dropped first.
    std::vector<Job *> byCost = choice.victims;
    std::stable_sort(byCost.begin(), byCost.end(), [&cost](const Job *left, const Job *right) {
        return cost(*left) > cost(*right);
    });
    for (Job *victim : byCost) {
        std::vector<Job *> without = choice.victims;
        without.erase(std::find(without.begin(), without.end(), victim));
        if (fitsAfter(fleet, parts, size, without)) {
            choice.victims = std::move(without);
        }
    }
    for (const Job *victim : choice.victims) {
        choice.cost += cost(*victim);
    }
    return choice;
}

std::optional<VictimChoice> chooseVictims(const Fleet &fleet, const PlacementRequest &request, const VictimCost &cost)
{
    std::unordered_map<const Job *, double> costs;
    const VictimCost cachedCost = [&costs, &cost](const Job &job) {
        const auto [entry, added] = costs.try_emplace(&job, 0.0);
        if (added) {
            entry->second = cost(job);
        }
        return entry->second;
    };
    const bool single = request.closeness == Closeness::Worker || request.tasks == 1;
    std::vector<WorkerOption> options;
    for (WorkerIndex worker = 0; worker < fleet.workers().size(); ++worker) {
        if (!fleet.usable(worker)
            || std::binary_search(request.avoidedWorkers.begin(), request.avoidedWorkers.end(), worker)
            || countFitting(fleet.worker(worker).spec.capacity, request.size, 1) == 0) {
            continue;
        }
        const WorkerOption option = findCheapestOption(fleet, worker, request, single ? request.tasks : 1, cachedCost);
        if (option.tasks > 0) {
            options.push_back(option);
        }
    }
    const std::optional<GangParts> parts = chooseCheapestGroup(fleet, request, std::move(options));
    return parts ? chooseVictimsOn(fleet, *parts, request.size, cachedCost) : std::nullopt;
}

} // namespace coriander::decision
