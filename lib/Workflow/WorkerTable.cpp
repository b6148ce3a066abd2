#include "corianderscale/Workflow/WorkerTable.h"

#include "corianderscale/Decision/FailureWave.h"

#include <algorithm>
#include <cassert>

namespace coriander::workflow {

namespace {

/** Lowest rate of a worker's clock; the platform's contract allows it to run 2% slow. */
constexpr double SlowestClockRate = 0.98;
/** Margin for the rounding of clocks and timers on the worker. */
constexpr std::int64_t LeaseEndSlackMs = 100;

StepKey stepOf(const TaskKey &task)
{
    return {task.job, task.occurrence, task.step};
}

} // namespace

decision::Resources plus(const decision::Resources &left, const decision::Resources &right)
{
    return {left.cores + right.cores, left.memory + right.memory, left.accelerators + right.accelerators};
}

decision::Resources minus(const decision::Resources &left, const decision::Resources &right)
{
    return {left.cores - right.cores, left.memory - right.memory, left.accelerators - right.accelerators};
}

bool fitsInto(const decision::Resources &need, const decision::Resources &room)
{
    return need.cores <= room.cores && need.memory <= room.memory && need.accelerators <= room.accelerators;
}

Worker *WorkerTable::find(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

Run &WorkerTable::addRun(Worker &worker, Run run)
{
    const RunKey key{run.task, run.number};
    worker.used = plus(worker.used, run.resources);
    const auto [added, isNew] = worker.runs.emplace(key, std::move(run));
    assert(isNew && "the worker has a run with this key already");
    ++m_runCount;
    ++m_runsOfSteps[stepOf(key.first)][worker.report.id];
    return added->second;
}

bool WorkerTable::removeRun(Worker &worker, const RunKey &key)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end()) {
        return false;
    }
    worker.used = minus(worker.used, found->second.resources);
    worker.runs.erase(found);
    --m_runCount;
    const auto ofStep = m_runsOfSteps.find(stepOf(key.first));
    const auto here = ofStep->second.find(worker.report.id);
    if (--here->second == 0) {
        ofStep->second.erase(here);
    }
    if (ofStep->second.empty()) {
        m_runsOfSteps.erase(ofStep);
    }
    return true;
}

std::map<WorkerId, std::size_t> WorkerTable::countRuns(const StepKey &step) const
{
    const auto found = m_runsOfSteps.find(step);
    return found == m_runsOfSteps.end() ? std::map<WorkerId, std::size_t>() : found->second;
}

decision::Resources WorkerTable::freeCapacity(const Worker &worker)
{
    return minus(worker.report.capacity, worker.used);
}

bool isProvenSince(const Worker &worker, MonotonicTime since, MonotonicTime now)
{
    if (worker.lastCompletedStartAt && *worker.lastCompletedStartAt >= since) {
        return true;
    }
    return worker.silentCalls == 0
        && std::any_of(worker.runs.begin(), worker.runs.end(), [since, now](const auto &each) {
               const Run &run = each.second;
               return run.start == StartState::Accepted && !run.earlierTerm && !run.stopWanted
                   && run.startCallEndedAt >= since && decision::provesWorker(now - run.startCallEndedAt);
           });
}

WorkerClockMs earliestClock(const ClockSample &sample, MonotonicTime now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - sample.receivedAt).count();
    return sample.clock + WorkerClockMs(static_cast<std::int64_t>(elapsedMs * SlowestClockRate));
}

bool leasesHaveEnded(const Worker &worker, MonotonicTime now)
{
    if (!worker.leaseGranted) {
        return false;
    }
    return worker.clock && earliestClock(*worker.clock, now) > worker.leaseUntil + WorkerClockMs(LeaseEndSlackMs);
}

} // namespace coriander::workflow
