#include "corianderscale/Workflow/Reclaim.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

struct Candidate {
    const Worker *worker = nullptr;
    std::size_t entry = 0;
    std::size_t rack = 0;
    /** Free room, including that of runs being stopped and of the victims chosen so far. */
    decision::Resources room;
    /** Runs that may still be chosen as victims, cheapest first, with their costs. */
    std::vector<std::pair<double, const Run *>> victims;
    /** Number of tasks of the step that the worker may still take. */
    std::size_t tasksLeft = 0;
};

/** Cost and number of victims to make room for one more task on a worker. */
struct TaskCost {
    double cost = 0;
    std::size_t victims = 0;
};

std::size_t tasksLeft(const PlacementNeed &need, const WorkerId &worker)
{
    if (need.maximumPerWorker == 0) {
        return need.tasks;
    }
    const auto placed = need.placedTasks.find(worker);
    return need.maximumPerWorker
        - std::min(need.maximumPerWorker, placed == need.placedTasks.end() ? 0 : placed->second);
}

Candidate makeCandidate(const PlacementBoard &board,
                        std::size_t index,
                        const PlacementNeed &need,
                        const VictimCost &costOf)
{
    const BoardEntry &entry = board.entries()[index];
    Candidate candidate{entry.worker, index, entry.rack, entry.room, {}, tasksLeft(need, entry.worker->report.id)};
    for (const auto &[key, run] : entry.worker->runs) {
        if (run.stopWanted) {
            candidate.room = plus(candidate.room, run.resources);
            continue;
        }
        const std::optional<double> cost = costOf(*entry.worker, run);
        if (cost) {
            candidate.victims.emplace_back(*cost, &run);
        }
    }
    std::sort(candidate.victims.begin(), candidate.victims.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    return candidate;
}

std::optional<TaskCost> costOfNextTask(const Candidate &candidate, const decision::Resources &size)
{
    if (candidate.tasksLeft == 0) {
        return std::nullopt;
    }
    TaskCost taskCost;
    decision::Resources room = candidate.room;
    while (!fitsInto(size, room)) {
        if (taskCost.victims == candidate.victims.size()) {
            return std::nullopt;
        }
        const auto &[cost, run] = candidate.victims[taskCost.victims];
        taskCost.cost += cost;
        room = plus(room, run->resources);
        ++taskCost.victims;
    }
    return taskCost;
}

void addTask(Candidate &candidate, const TaskCost &taskCost, const decision::Resources &size, ReclaimPlan &plan)
{
    for (std::size_t i = 0; i < taskCost.victims; ++i) {
        const Run &run = *candidate.victims[i].second;
        candidate.room = plus(candidate.room, run.resources);
        plan.victims.emplace_back(candidate.worker->report.id, RunKey{run.task, run.number});
    }
    candidate.victims.erase(candidate.victims.begin(),
                            candidate.victims.begin() + static_cast<std::ptrdiff_t>(taskCost.victims));
    candidate.room = minus(candidate.room, size);
    --candidate.tasksLeft;
    plan.entries.push_back(candidate.entry);
    plan.cost += taskCost.cost;
}

std::optional<ReclaimPlan> planWithin(std::vector<Candidate> candidates, const PlacementNeed &need)
{
    ReclaimPlan plan;
    for (std::size_t i = 0; i < need.tasks; ++i) {
        Candidate *best = nullptr;
        TaskCost bestCost;
        for (Candidate &candidate : candidates) {
            const std::optional<TaskCost> taskCost = costOfNextTask(candidate, need.perTask);
            const bool better = taskCost
                && (best == nullptr || taskCost->cost < bestCost.cost
                    || (taskCost->cost == bestCost.cost
                        && candidate.room.accelerators.count() < best->room.accelerators.count()));
            if (better) {
                best = &candidate;
                bestCost = *taskCost;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        addTask(*best, bestCost, need.perTask, plan);
    }
    return plan;
}

} // namespace

std::optional<ReclaimPlan> planReclaim(const PlacementBoard &board, const PlacementNeed &need, const VictimCost &costOf)
{
    std::vector<Candidate> candidates;
    for (const std::size_t index : board.eligible(need)) {
        if (board.entries()[index].open) {
            candidates.push_back(makeCandidate(board, index, need, costOf));
        }
    }
    if (!need.sameRack) {
        return planWithin(std::move(candidates), need);
    }
    std::map<std::size_t, std::vector<Candidate>> racks;
    for (const Candidate &candidate : candidates) {
        racks[candidate.rack].push_back(candidate);
    }
    std::optional<ReclaimPlan> best;
    for (auto &[rack, inRack] : racks) {
        std::optional<ReclaimPlan> plan = planWithin(std::move(inRack), need);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best ? best : planWithin(std::move(candidates), need);
}

} // namespace coriander::workflow
