#include "Workflow/ModelChecks.h"

#include <algorithm>

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** The span of the rule LOST, and the span before it that has to be calm. */
constexpr Duration LostTime = seconds(3);
constexpr Duration CalmBefore = seconds(4);
/** Age that the shown number of waiting jobs may have. */
constexpr Duration WaitingAge = seconds(2);
/** Time after its last run from which the rule LOST holds for a task that lasts. */
constexpr Duration LastingAbsence = seconds(6);
/** Time after the acknowledgement of a cancel from which no task of the job starts. */
constexpr Duration CancelTime = seconds(4);

std::size_t occurrencesOf(const JobSpec &spec)
{
    return std::max<std::size_t>(spec.occurrences, 1);
}

/** Whether the run is one of this occurrence of the step. */
bool isOf(const RunKey &run, const JobId &job, std::size_t occurrence, std::size_t step)
{
    return run.first.job == job && run.first.occurrence == occurrence && run.first.step == step;
}

decision::Resources useOf(const FakeWorkers::Machine &machine)
{
    decision::Resources used;
    for (const auto &[key, run] : machine.runs) {
        used.cores = used.cores + run.resources.cores;
        used.memory = used.memory + run.resources.memory;
        used.accelerators = used.accelerators + run.resources.accelerators;
    }
    return used;
}

/** How often @p each goes into what @p used leaves of @p capacity; at most 1000 times. */
std::int64_t timesThatFit(const decision::Resources &capacity,
                          const decision::Resources &used,
                          const decision::Resources &each)
{
    std::int64_t times = 1000;
    const auto limit = [&times](std::int64_t room, std::int64_t need) {
        if (need > 0) {
            times = std::min(times, std::max<std::int64_t>(room, 0) / need);
        }
    };
    limit(capacity.cores.count() - used.cores.count(), each.cores.count());
    limit(capacity.memory.count() - used.memory.count(), each.memory.count());
    limit(capacity.accelerators.count() - used.accelerators.count(), each.accelerators.count());
    return times;
}

bool hasLabel(const FakeWorkers::Machine &machine, const std::string &label)
{
    const auto &labels = machine.report.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::int64_t runsOf(const FakeWorkers::Machine &machine, const JobId &job, std::size_t occurrence, std::size_t step)
{
    return std::count_if(machine.runs.begin(), machine.runs.end(), [&](const auto &each) {
        return isOf(each.first, job, occurrence, step);
    });
}

} // namespace

ModelChecks::ModelChecks(EngineHarness &harness)
    : m_harness(harness)
{
    harness.workers.onStart = [this](const TaskKey &task, std::int64_t run) {
        checkStart(task, run);
    };
}

void ModelChecks::trouble(MonotonicTime until)
{
    m_troubleUntil = std::max(m_troubleUntil, until);
}

void ModelChecks::lateOrders(MonotonicTime until)
{
    trouble(until);
    m_lateOrdersUntil = std::max(m_lateOrdersUntil, until);
}

void ModelChecks::submitted(const JobSpec &spec, bool mayFail)
{
    m_jobs[spec.id] = {spec, mayFail, {}, {}, {}, {}, false};
}

void ModelChecks::cancelled(const JobId &job)
{
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end() && !found->second.cancelledAt) {
        found->second.cancelledAt = m_harness.timeline.now();
    }
}

void ModelChecks::check()
{
    const bool calmAndHalfEmpty = isCalm(CalmBefore) && underHalfInUse();
    std::set<TaskKey> running;
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        for (const auto &[key, run] : machine.runs) {
            running.insert(key.first);
        }
    }
    for (auto &[id, job] : m_jobs) {
        checkState(job);
        checkWaiting(job);
        checkLost(job, calmAndHalfEmpty);
        checkLasting(job, running);
    }
    if (m_harness.store.refusedChanges > 0) {
        fail("STORE", "a change exceeds the limits of the store");
    }
}

bool ModelChecks::allEnded() const
{
    return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto &each) {
        const auto state = m_harness.storedState(each.first);
        return state && isFinal(*state);
    });
}

void ModelChecks::checkEnd()
{
    for (const auto &[id, job] : m_jobs) {
        const auto state = m_harness.storedState(id);
        if (!state || !isFinal(*state)) {
            fail("LOST", "job " + id.value() + " did not end");
        }
    }
    if (m_harness.workers.runningTasks() > 0) {
        fail("UNASKED", "tasks run although all jobs have ended");
    }
}

void ModelChecks::checkStart(const TaskKey &task, std::int64_t run)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end()) {
        fail("UNASKED", toString(task) + " was not submitted");
        return;
    }
    Known &job = found->second;
    const StepSpec &step = job.spec.steps.at(task.step);
    if (!job.begunAt && (!step.gang || m_harness.workers.isGangPresent({task, run}, step.tasks))) {
        job.begunAt = m_harness.timeline.now();
    }
    if (!isReady(job, task.occurrence, task.step)) {
        fail("ORDER", toString(task) + " starts before the steps that it depends on are done");
    }
    if (!isDue(job, task.occurrence)) {
        fail("ORDER", toString(task) + " starts before it is due");
    }
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        if (machine.runs.count({task, run}) == 0) {
            continue;
        }
        if (!hasLabel(machine, step.requiredLabel)) {
            fail("ROUTE", toString(task) + " starts without its label on " + id.value());
        }
        if (step.maximumPerWorker > 0
            && runsOf(machine, task.job, task.occurrence, task.step)
                > static_cast<std::int64_t>(step.maximumPerWorker)) {
            fail("ROUTE", toString(task) + " starts beyond the limit per worker on " + id.value());
        }
    }
    const MonotonicTime now = m_harness.timeline.now();
    if (job.cancelledAt && now > *job.cancelledAt + CancelTime && isCalm(CalmBefore) && now >= m_lateOrdersUntil) {
        fail("UNASKED", toString(task) + " starts after its job was cancelled");
    }
}

void ModelChecks::checkState(const Known &job)
{
    const auto state = m_harness.storedState(job.spec.id);
    if (state == JobState::Failed && !job.mayFail) {
        fail("LOST", "job " + job.spec.id.value() + " is shown as failed without cause");
    }
    if (state == JobState::Cancelled && !job.cancelledAt) {
        fail("LOST", "job " + job.spec.id.value() + " is shown as cancelled without cause");
    }
    if (state != JobState::Completed) {
        return;
    }
    for (std::size_t k = 0; k < occurrencesOf(job.spec); ++k) {
        for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
            if (!isDone(job, k, s)) {
                fail("MIXED", "job " + job.spec.id.value() + " is shown as completed although tasks are not done");
            }
        }
    }
}

void ModelChecks::checkWaiting(Known &job)
{
    const auto state = m_harness.storedState(job.spec.id);
    if (!state || isFinal(*state) || job.cancelledAt) {
        return;
    }
    const std::string name = "job " + job.spec.id.value();
    const bool waits = m_harness.store.find(WaitingTable, waitingKey(job.spec.queue, job.spec.id)) != nullptr;
    if (waits != (state == JobState::Queued)) {
        fail("MIXED", name + " is shown as " + jobStateName(*state) + (waits ? " and" : " but not") + " as waiting");
    }
    if (!waits && !job.begunAt) {
        fail("MIXED", name + " does not count as waiting although none of its tasks has begun");
    }
    if (waits && job.shownRunning) {
        fail("MIXED", name + " counts as waiting again after it was shown as running");
    }
    job.shownRunning = !waits;
    if (waits && job.begunAt && isCalm(CalmBefore) && m_harness.timeline.now() > *job.begunAt + WaitingAge) {
        fail("MIXED", name + " counts as waiting although one of its tasks began 2 s ago");
    }
}

void ModelChecks::checkLost(Known &job, bool calmAndHalfEmpty)
{
    const auto state = m_harness.storedState(job.spec.id);
    bool waits = false;
    if (calmAndHalfEmpty && !job.cancelledAt && !(state && isFinal(*state)) && !hasRuns(job.spec.id)) {
        for (std::size_t k = 0; k < occurrencesOf(job.spec) && !waits; ++k) {
            for (std::size_t s = 0; s < job.spec.steps.size() && !waits; ++s) {
                waits = isDue(job, k) && isReady(job, k, s) && !isDone(job, k, s) && fitsTwice(job, k, s);
            }
        }
    }
    const MonotonicTime now = m_harness.timeline.now();
    if (!waits) {
        job.lostSince.reset();
    } else if (!job.lostSince) {
        job.lostSince = now;
    } else if (now >= *job.lostSince + LostTime) {
        fail("LOST", "job " + job.spec.id.value() + " has nothing running for 3 s though there is room twice over");
    }
}

void ModelChecks::checkLasting(Known &job, const std::set<TaskKey> &running)
{
    const MonotonicTime now = m_harness.timeline.now();
    const bool over = job.cancelledAt || isFinal(m_harness.storedState(job.spec.id).value_or(JobState::Queued));
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        const StepSpec &step = job.spec.steps[s];
        // A gang starts as a whole, which checkLost() checks.
        if (!step.longRunning || step.gang || over || !isReady(job, 0, s)) {
            continue;
        }
        for (std::size_t i = 0; i < step.tasks; ++i) {
            const TaskKey key{job.spec.id, 0, s, i};
            if (running.count(key) > 0) {
                job.absent.erase(key);
                continue;
            }
            Absence &absence = job.absent.try_emplace(key, Absence{now, {}}).first->second;
            if (!isCalm(CalmBefore) || !fitsTwice(job, 0, s)) {
                absence.roomSince.reset();
            } else if (!absence.roomSince) {
                absence.roomSince = now;
            } else if (now >= *absence.roomSince + LostTime && now >= absence.since + LastingAbsence) {
                fail("LOST", toString(key) + ", which lasts, does not run for 6 s though there is room twice over");
            }
        }
    }
}

void ModelChecks::restored(const ReservedByRuns &before, const ReservedByRuns &after)
{
    for (const auto &[key, reserved] : after) {
        const auto earlier = before.find(key);
        if (earlier != before.end() && earlier->second != reserved) {
            fail("RESTORED", "the new owner reserves something else for run " + toString(key.first));
        }
    }
}

bool ModelChecks::isDone(const Known &job, std::size_t occurrence, std::size_t step) const
{
    const StepSpec &spec = job.spec.steps.at(step);
    std::size_t done = 0;
    for (std::size_t i = 0; i < spec.tasks; ++i) {
        done += m_harness.workers.isDone({job.spec.id, occurrence, step, i}) ? 1 : 0;
    }
    // The end of one member of a gang counts for all members.
    return done == spec.tasks || (spec.gang && done > 0);
}

bool ModelChecks::isReady(const Known &job, std::size_t occurrence, std::size_t step) const
{
    const auto &after = job.spec.steps.at(step).after;
    return std::all_of(after.begin(), after.end(), [&](std::size_t each) { return isDone(job, occurrence, each); });
}

bool ModelChecks::isDue(const Known &job, std::size_t occurrence) const
{
    return job.spec.occurrences == 0
        || m_harness.timeline.clock().wallNow()
        >= job.spec.firstDue + job.spec.interval * static_cast<std::int64_t>(occurrence);
}

bool ModelChecks::hasRuns(const JobId &job) const
{
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        for (const auto &[key, run] : machine.runs) {
            // A second run of a task that is done brings the job no further.
            if (key.first.job == job && !m_harness.workers.isDone(key.first)) {
                return true;
            }
        }
    }
    return false;
}

bool ModelChecks::fitsTwice(const Known &job, std::size_t occurrence, std::size_t step) const
{
    const StepSpec &spec = job.spec.steps.at(step);
    std::int64_t places = 0;
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        if (!hasLabel(machine, spec.requiredLabel)) {
            continue;
        }
        std::int64_t here = timesThatFit(machine.report.capacity, useOf(machine), spec.reservedResources());
        if (spec.maximumPerWorker > 0) {
            here = std::min(here,
                            static_cast<std::int64_t>(spec.maximumPerWorker)
                                - runsOf(machine, job.spec.id, occurrence, step));
        }
        places += std::max<std::int64_t>(here, 0);
    }
    return places >= 2 * static_cast<std::int64_t>(spec.gang ? spec.tasks : 1);
}

bool ModelChecks::underHalfInUse() const
{
    decision::Resources used;
    decision::Resources whole;
    for (const auto &[id, machine] : m_harness.workers.machines()) {
        const decision::Resources here = useOf(machine);
        used.cores = used.cores + here.cores;
        used.accelerators = used.accelerators + here.accelerators;
        whole.cores = whole.cores + machine.report.capacity.cores;
        whole.accelerators = whole.accelerators + machine.report.capacity.accelerators;
    }
    return 2 * used.cores.count() < whole.cores.count()
        && (whole.accelerators.count() == 0 || 2 * used.accelerators.count() < whole.accelerators.count());
}

bool ModelChecks::isCalm(Duration span) const
{
    return m_harness.timeline.now() >= m_troubleUntil + span;
}

void ModelChecks::fail(const std::string &rule, const std::string &what)
{
    m_failures.push_back(rule + ": " + what);
}

} // namespace coriander::workflow
