#include "corianderscale/Workflow/JobTable.h"

#include <algorithm>
#include <cassert>

namespace coriander::workflow {

namespace {

bool contains(const boost::dynamic_bitset<> &set, std::size_t index)
{
    return index < set.size() && set.test(index);
}

void insert(boost::dynamic_bitset<> &set, std::size_t index)
{
    if (index >= set.size()) {
        set.resize(index + 1);
    }
    set.set(index);
}

void erase(boost::dynamic_bitset<> &set, std::size_t index)
{
    if (index < set.size()) {
        set.reset(index);
    }
}

/** Memory that a specification takes beside its own size. */
std::size_t specBytes(const JobSpec &spec)
{
    std::size_t bytes = spec.id.value().size() + spec.queue.value().size() + spec.payload.size();
    for (const StepSpec &step : spec.steps) {
        bytes += sizeof(StepSpec) + step.after.size() * sizeof(std::size_t) + step.requiredLabel.size()
            + step.dataRack.value().size() + step.image.value().size();
        // Bits for each occurrence: whether the step is done, and whether it is busy.
        bytes += 2 * (sizeof(boost::dynamic_bitset<>) + spec.occurrences / 8);
    }
    return bytes;
}

/** The members of @p set below @p end. */
boost::dynamic_bitset<> below(boost::dynamic_bitset<> set, std::size_t end)
{
    set.resize(end);
    return set;
}

} // namespace

StepTasks::StepTasks(std::size_t count)
    : m_count(count)
{
}

bool StepTasks::isDone(std::size_t index) const
{
    return contains(m_doneTasks, index);
}

TaskPhase StepTasks::phase(std::size_t index) const
{
    if (isDone(index)) {
        return TaskPhase::Done;
    }
    const Task *task = find(index);
    return task == nullptr ? TaskPhase::Waiting : task->phase;
}

const Task *StepTasks::find(std::size_t index) const
{
    const auto found = m_states.find(index);
    return found == m_states.end() ? nullptr : &found->second;
}

Task *StepTasks::find(std::size_t index)
{
    const auto found = m_states.find(index);
    return found == m_states.end() ? nullptr : &found->second;
}

Task &StepTasks::state(std::size_t index)
{
    assert(index < m_count && !isDone(index));
    return m_states[index];
}

Task &StepTasks::setPhase(std::size_t index, TaskPhase phase)
{
    assert(phase != TaskPhase::Done);
    Task &task = state(index);
    m_assigned -= task.phase == TaskPhase::Assigned ? 1 : 0;
    m_assigned += phase == TaskPhase::Assigned ? 1 : 0;
    task.phase = phase;
    return task;
}

void StepTasks::setDone(std::size_t index)
{
    if (isDone(index)) {
        return;
    }
    const auto found = m_states.find(index);
    if (found != m_states.end()) {
        m_assigned -= found->second.phase == TaskPhase::Assigned ? 1 : 0;
        m_states.erase(found);
    }
    insert(m_doneTasks, index);
    ++m_done;
}

std::vector<std::size_t> StepTasks::waitingTasks(std::size_t most) const
{
    std::vector<std::size_t> waiting;
    waiting.reserve(std::min(most, this->waiting()));
    auto state = m_states.begin();
    for (std::size_t i = 0; i < m_count && waiting.size() < most; ++i) {
        if (state != m_states.end() && state->first == i) {
            if (state->second.phase == TaskPhase::Waiting) {
                waiting.push_back(i);
            }
            ++state;
        } else if (!isDone(i)) {
            waiting.push_back(i);
        }
    }
    return waiting;
}

Job::Job(JobSpec jobSpec, MonotonicTime now)
    : spec(std::move(jobSpec))
    , learntAt(now)
    , m_backlogBytes(sizeof(Job) + specBytes(spec))
    , m_doneSteps(spec.steps.size())
    , m_busySteps(spec.steps.size())
{
}

std::size_t Job::occurrenceCount() const
{
    return std::max<std::size_t>(spec.occurrences, 1);
}

bool Job::has(const TaskKey &key) const
{
    return key.occurrence < occurrenceCount() && key.step < spec.steps.size() && key.index < spec.steps[key.step].tasks;
}

const StepSpec &Job::step(const TaskKey &key) const
{
    return spec.steps.at(key.step);
}

TaskPhase Job::phase(const TaskKey &key) const
{
    const StepIndex index{key.occurrence, key.step};
    if (stepDone(index)) {
        return TaskPhase::Done;
    }
    const StepTasks *tasks = openStep(index);
    return tasks == nullptr ? TaskPhase::Waiting : tasks->phase(key.index);
}

const Task *Job::task(const TaskKey &key) const
{
    const StepTasks *tasks = openStep({key.occurrence, key.step});
    return tasks == nullptr ? nullptr : tasks->find(key.index);
}

Task *Job::task(const TaskKey &key)
{
    StepTasks *tasks = openStep({key.occurrence, key.step});
    return tasks == nullptr ? nullptr : tasks->find(key.index);
}

Task &Job::taskState(const TaskKey &key)
{
    assert(has(key) && !stepDone({key.occurrence, key.step}));
    const StepIndex index{key.occurrence, key.step};
    return m_openSteps.try_emplace(index, spec.steps[key.step].tasks).first->second.state(key.index);
}

Task &Job::setPhase(const TaskKey &key, TaskPhase phase)
{
    assert(has(key) && !stepDone({key.occurrence, key.step}));
    const StepIndex index{key.occurrence, key.step};
    StepTasks &tasks = m_openSteps.try_emplace(index, spec.steps[key.step].tasks).first->second;
    m_assigned -= tasks.assigned();
    Task &task = tasks.setPhase(key.index, phase);
    m_assigned += tasks.assigned();
    updateStep(index);
    return task;
}

void Job::setDone(const TaskKey &key)
{
    const StepIndex index{key.occurrence, key.step};
    if (stepDone(index)) {
        return;
    }
    StepTasks &tasks = m_openSteps.try_emplace(index, spec.steps[key.step].tasks).first->second;
    m_assigned -= tasks.assigned();
    tasks.setDone(key.index);
    m_assigned += tasks.assigned();
    m_anyDone = true;
    updateStep(index);
}

StepTasks *Job::openStep(const StepIndex &index)
{
    const auto found = m_openSteps.find(index);
    return found == m_openSteps.end() ? nullptr : &found->second;
}

const StepTasks *Job::openStep(const StepIndex &index) const
{
    const auto found = m_openSteps.find(index);
    return found == m_openSteps.end() ? nullptr : &found->second;
}

bool Job::stepDone(const StepIndex &index) const
{
    return contains(m_doneSteps[index.step], index.occurrence);
}

bool Job::hasWaitingTasks(const StepIndex &index) const
{
    if (stepDone(index)) {
        return false;
    }
    const StepTasks *tasks = openStep(index);
    if (tasks == nullptr) {
        return true;
    }
    return spec.steps[index.step].gang ? tasks->waiting() == tasks->count() : tasks->waiting() > 0;
}

void Job::updateStep(const StepIndex &index)
{
    const auto found = m_openSteps.find(index);
    if (found->second.done() == found->second.count()) {
        m_openSteps.erase(found);
        markStepDone(index);
    }
    if (hasWaitingTasks(index)) {
        erase(m_busySteps[index.step], index.occurrence);
    } else {
        insert(m_busySteps[index.step], index.occurrence);
        waitingSince.erase(index);
        adviceAskedAt.erase(index);
    }
}

void Job::markStepDone(const StepIndex &index)
{
    insert(m_doneSteps[index.step], index.occurrence);
    ++m_doneStepCount;
}

std::size_t Job::waitingCount(const StepIndex &index) const
{
    if (!hasWaitingTasks(index)) {
        return 0;
    }
    const StepTasks *tasks = openStep(index);
    return tasks == nullptr ? spec.steps[index.step].tasks : tasks->waiting();
}

std::vector<std::size_t> Job::waitingTasks(const StepIndex &index, std::size_t most) const
{
    if (!hasWaitingTasks(index)) {
        return {};
    }
    const StepTasks *tasks = openStep(index);
    return tasks == nullptr ? StepTasks(spec.steps[index.step].tasks).waitingTasks(most) : tasks->waitingTasks(most);
}

boost::dynamic_bitset<> Job::waitingOccurrences(std::size_t step, std::size_t end) const
{
    boost::dynamic_bitset<> waiting = ~below(m_busySteps[step], end);
    for (const std::size_t earlier : spec.steps[step].after) {
        waiting &= below(m_doneSteps[earlier], end);
    }
    return waiting;
}

bool Job::allDone() const
{
    return m_doneStepCount == occurrenceCount() * spec.steps.size();
}

OccurrenceRecord Job::record(std::size_t occurrence) const
{
    OccurrenceRecord record;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        StepRecord &into = record.steps.emplace_back();
        into.done = stepDone({occurrence, s});
        const StepTasks *tasks = openStep({occurrence, s});
        if (tasks == nullptr) {
            continue;
        }
        into.count = tasks->count();
        into.tasks.insert(tasks->states().begin(), tasks->states().end());
        for (std::size_t i = 0; tasks->done() > 0 && i < tasks->count(); ++i) {
            if (tasks->phase(i) == TaskPhase::Done) {
                into.doneTasks.push_back(i);
            }
        }
    }
    record.jobFailed = state == JobState::Failed;
    record.jobBegun = begun;
    return record;
}

bool Job::matches(const OccurrenceRecord &record) const
{
    if (record.steps.size() != spec.steps.size()) {
        return false;
    }
    for (std::size_t s = 0; s < record.steps.size(); ++s) {
        // A step without a count says the same of all its tasks.
        if (record.steps[s].count != 0 && record.steps[s].count != spec.steps[s].tasks) {
            return false;
        }
    }
    return true;
}

bool Job::restore(std::size_t occurrence, const OccurrenceRecord &record)
{
    if (occurrence >= occurrenceCount()) {
        return false;
    }
    markStored(occurrence);
    if (!matches(record)) {
        return false;
    }
    begun = begun || record.jobBegun;
    for (std::size_t s = 0; s < record.steps.size(); ++s) {
        const StepRecord &stored = record.steps[s];
        const StepIndex index{occurrence, s};
        if (stored.done && !stepDone(index)) {
            markStepDone(index);
            insert(m_busySteps[s], occurrence);
            m_anyDone = true;
        }
        for (const std::size_t i : stored.doneTasks) {
            setDone({spec.id, occurrence, s, i});
        }
        for (const auto &[i, task] : stored.tasks) {
            const TaskKey key{spec.id, occurrence, s, i};
            if (phase(key) == TaskPhase::Done) {
                continue;
            }
            Task &restored = setPhase(key, task.phase);
            static_cast<TaskRecord &>(restored) = task;
            // A run that was assigned may not have been started; its worker tells.
            begun = begun || task.failures > 0 || !task.checkpoint.empty();
        }
        begun = begun || stored.done || !stored.doneTasks.empty();
    }
    if (record.jobFailed) {
        state = JobState::Failed;
    }
    return true;
}

void Job::markStored(std::size_t occurrence)
{
    insert(m_stored, occurrence);
}

std::vector<std::size_t> Job::storedOccurrences() const
{
    std::vector<std::size_t> stored;
    for (std::size_t k = m_stored.find_first(); k != boost::dynamic_bitset<>::npos; k = m_stored.find_next(k)) {
        stored.push_back(k);
    }
    return stored;
}

} // namespace coriander::workflow
