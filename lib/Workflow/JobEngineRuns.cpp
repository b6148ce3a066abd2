#include "corianderscale/Decision/WorkerBlame.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>
#include <utility>

namespace coriander::workflow {

namespace {

/** Minimum time over which a progress rate is computed; over less time the rounding to whole percents dominates. */
constexpr Duration MinimumSampleTime = std::chrono::milliseconds(400);

/** Clears the state that belongs to an incarnation that is gone. */
void resetIncarnationState(Worker &worker)
{
    worker.known = false;
    worker.holdInFlight = false;
    worker.startsInFlight = 0;
    worker.clock.reset();
    worker.leaseGranted = false;
    worker.leaseUntil = WorkerClockMs();
    worker.lastProcessedEnd = 0;
    worker.lastStoredEnd = 0;
    worker.lastAcknowledgedEnd = 0;
}

} // namespace

const char *JobEngine::endEffectName(EndEffect effect)
{
    switch (effect) {
    case EndEffect::Counted:
        return "counted";
    case EndEffect::CompletesTask:
        return "completes-task";
    case EndEffect::Ignored:
        return "ignored";
    case EndEffect::TaskUnknown:
        return "task-unknown";
    }
    return "unknown";
}

JobEngine::EndEffect JobEngine::effectOf(const Worker &worker, const RunKey &key, EndKind kind) const
{
    const Job *job = findJobOf(key.first);
    if (job == nullptr) {
        return EndEffect::TaskUnknown;
    }
    const Task *task = job->task(key.first);
    // A run number is used once for each task, so it identifies the run; the stored incarnation may be outdated.
    if (task != nullptr && task->phase == TaskPhase::Assigned && task->run == key.second
        && task->worker == worker.report.id) {
        return EndEffect::Counted;
    }
    // A run is given up because nothing is heard of it; that it was completed overrides this. Other ends do not: the
    // task waits or runs again, and a failure before the lease ended takes no attempt.
    const bool open = job->phase(key.first) != TaskPhase::Done && !isFinal(job->state);
    const bool completes = kind == EndKind::Done && !job->step(key.first).longRunning;
    return open && completes ? EndEffect::CompletesTask : EndEffect::Ignored;
}

void JobEngine::runEnded(
    Worker &worker, const RunKey &key, EndKind kind, EndEffect effect, const std::string &checkpoint)
{
    m_workers.removeRun(worker, key);
    m_planWanted = true;
    switch (effect) {
    case EndEffect::Counted:
        taskEnded(*findJobOf(key.first), key.first, kind, checkpoint, worker.report.id);
        break;
    case EndEffect::CompletesTask:
        completeTask(*findJobOf(key.first), key.first, key.second);
        break;
    case EndEffect::Ignored:
    case EndEffect::TaskUnknown:
        break;
    }
}

void JobEngine::runPresent(Worker &worker, const RunKey &key, const char *evidence)
{
    const auto run = worker.runs.find(key);
    if (run == worker.runs.end()) {
        return;
    }
    run->second.present = true;
    const Job *job = findJobOf(key.first);
    if (job == nullptr || !job->step(key.first).gang) {
        runBegun(worker, key, evidence);
        return;
    }
    const StepTasks *tasks = job->openStep({key.first.occurrence, key.first.step});
    if (tasks == nullptr || tasks->assigned() < tasks->count()) {
        return;
    }
    std::vector<std::pair<Worker *, RunKey>> members;
    for (const auto &[index, task] : tasks->states()) {
        const RunKey member{{key.first.job, key.first.occurrence, key.first.step, index}, key.second};
        Worker *host = m_workers.find(task.worker);
        const auto found = host == nullptr ? worker.runs.end() : host->runs.find(member);
        if (host == nullptr || found == host->runs.end() || !found->second.present) {
            return;
        }
        members.emplace_back(host, member);
    }
    for (const auto &[host, member] : members) {
        runBegun(*host, member, "all members of the gang are present");
    }
}

bool JobEngine::provesBegin(const StepSpec &step, const EndedTask &end)
{
    // A member of a gang that was not complete has waited, but done no work.
    return !step.gang || end.kind == EndKind::Done || end.kind == EndKind::Failed || !end.checkpoint.empty();
}

void JobEngine::runBegun(Worker &worker, const RunKey &key, const char *evidence)
{
    const auto run = worker.runs.find(key);
    if (run != worker.runs.end() && !run->second.earlierTerm && !std::exchange(run->second.begun, true)) {
        ++m_counts.runsBegun;
    }
    markBegun(key, evidence);
}

void JobEngine::runGone(Worker &worker, const RunKey &key, const char *cause)
{
    logEvent(LogLevel::Info,
             "run-gone",
             {{"task", toString(key.first)}, {"run", key.second}, {"worker", worker.report.id}, {"cause", cause}});
    // LeaseLapsed stands for every cause: the task waits again and no failure is counted.
    runEnded(worker, key, EndKind::LeaseLapsed, effectOf(worker, key, EndKind::LeaseLapsed));
}

void JobEngine::taskEnded(
    Job &job, const TaskKey &key, EndKind kind, const std::string &checkpoint, const WorkerId &worker)
{
    const StepSpec &step = job.step(key);
    const std::int64_t run = job.taskState(key).run;
    if (kind == EndKind::Done && !step.longRunning) {
        completeTask(job, key, run);
        return;
    }
    markDirty(key);
    Task &task = job.setPhase(key, TaskPhase::Waiting);
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (kind == EndKind::Failed) {
        countFailure(job, key, worker);
    }
    if (step.gang) {
        stopGang(job, key, run);
    }
}

void JobEngine::completeTask(Job &job, const TaskKey &key, std::int64_t run)
{
    const bool gang = job.step(key).gang;
    const std::size_t begin = gang ? 0 : key.index;
    const std::size_t end = gang ? job.step(key).tasks : key.index + 1;
    for (std::size_t i = begin; i < end; ++i) {
        const TaskKey each{key.job, key.occurrence, key.step, i};
        const Task *task = job.task(each);
        if (task != nullptr && task->phase == TaskPhase::Assigned && task->run != run) {
            stopRun(task->worker, {each, task->run});
        }
        job.setDone(each);
    }
    if (job.stepDone({key.occurrence, key.step})) {
        m_advice.forget(StepKey{key.job, key.occurrence, key.step});
    }
    markDirty(key);
    completeIfDone(job);
}

void JobEngine::countFailure(Job &job, const TaskKey &key, const WorkerId &worker)
{
    const StepSpec &step = job.step(key);
    Task &task = job.taskState(key);
    std::map<std::size_t, Task> &members = job.openStep({key.occurrence, key.step})->states();
    task.failedOn.insert(worker);
    for (auto &[index, member] : members) {
        if (step.gang || index == key.index) {
            member.lastFailureAt = m_clock.now();
        }
    }
    if (task.lastFailedRun == task.run) {
        return;
    }
    const int failures = task.failures + 1;
    const std::int64_t run = task.run;
    if (step.gang) {
        for (auto &[index, member] : members) {
            member.failures = failures;
            member.lastFailedRun = run;
        }
    } else {
        task.failures = failures;
        task.lastFailedRun = run;
    }
    const std::optional<int> most = maximumAttempts(job);
    if (!step.longRunning && most && failures >= *most) {
        failJob(job, key);
    }
}

void JobEngine::stopGang(const Job &job, const TaskKey &key, std::int64_t run)
{
    const StepTasks *tasks = job.openStep({key.occurrence, key.step});
    if (tasks == nullptr) {
        return;
    }
    for (const auto &[i, member] : tasks->states()) {
        if (member.phase == TaskPhase::Assigned && member.run == run) {
            stopRun(member.worker, {TaskKey{key.job, key.occurrence, key.step, i}, run});
        }
    }
}

void JobEngine::stopRun(const WorkerId &id, const RunKey &key)
{
    Worker *worker = m_workers.find(id);
    if (worker == nullptr) {
        return;
    }
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.stopWanted) {
        return;
    }
    found->second.stopWanted = true;
    found->second.nextStopAt = m_clock.now();
}

void JobEngine::workerLost(Worker &worker, const char *cause)
{
    logEvent(LogLevel::Warning,
             "worker-lost",
             {{"worker", worker.report.id},
              {"incarnation", worker.report.incarnation},
              {"runs", worker.runs.size()},
              {"cause", cause}});
    while (!worker.runs.empty()) {
        const RunKey key = worker.runs.begin()->first;
        runGone(worker, key, cause);
    }
    resetIncarnationState(worker);
}

void JobEngine::workerRestarted(Worker &worker, Incarnation incarnation)
{
    logEvent(LogLevel::Warning,
             "worker-restarted",
             {{"worker", worker.report.id},
              {"from", worker.report.incarnation},
              {"to", incarnation},
              {"runs", worker.runs.size()}});
    m_workerSpeeds[worker.report.service].forget(worker.report.id);
    std::vector<RunKey> gone;
    for (const auto &[key, run] : worker.runs) {
        if (run.seenRunning) {
            gone.push_back(key);
        }
    }
    for (const RunKey &key : gone) {
        runGone(worker, key, "the worker was restarted");
    }
    // An unanswered start order may have reached the new incarnation, so the other runs may exist there.
    for (auto &[key, run] : worker.runs) {
        run.stopInFlight = false;
        run.stopConfirmedAt.reset();
        if (run.start != StartState::NotSent) {
            run.start = StartState::Unclear;
            run.startCallEndedAt = m_clock.now();
            run.present = false;
        }
        Job *job = findJobOf(key.first);
        Task *task = job == nullptr ? nullptr : job->task(key.first);
        if (task != nullptr && task->run == key.second) {
            task->incarnation = incarnation;
            markDirty(key.first);
        }
    }
    resetIncarnationState(worker);
    worker.earlierLeasesEndAt = m_clock.now() + m_times.longestLease + m_times.leaseMargin;
    worker.report.incarnation = incarnation;
    worker.reportOutdated = true;
}

void JobEngine::handleWorkerReport(const WorkerReport &report)
{
    const MonotonicTime now = m_clock.now();
    Worker &worker = m_workers.all()[report.id];
    const bool isNew = worker.report.id.empty() || worker.report.address.empty();
    if (!worker.report.id.empty() && report.incarnation < worker.report.incarnation) {
        return;
    }
    if (!worker.report.id.empty() && report.incarnation > worker.report.incarnation) {
        workerRestarted(worker, report.incarnation);
    }
    const bool startsDraining = report.draining && !(worker.report.draining && worker.listed);
    if (isNew || startsDraining) {
        logEvent(LogLevel::Info,
                 startsDraining ? "worker-draining" : "worker-learnt",
                 {{"worker", report.id},
                  {"address", report.address},
                  {"rack", report.rack},
                  {"incarnation", report.incarnation},
                  {"runs", worker.runs.size()}});
    }
    const bool offersMore = isNew || worker.reportOutdated || !worker.listed
        || report.capacity != worker.report.capacity || report.labels != worker.report.labels
        || report.draining != worker.report.draining;
    m_planWanted = m_planWanted || offersMore;
    m_poolsOutdated = m_poolsOutdated || offersMore || report.service != worker.report.service
        || report.dataCentre != worker.report.dataCentre;
    worker.report = report;
    worker.reportOutdated = false;
    if (!report.draining) {
        worker.leavesAt = NeverDue;
    } else if (report.minimumTimeToLeave) {
        worker.leavesAt = std::min(worker.leavesAt, now + *report.minimumTimeToLeave - m_times.reportAge);
        m_nextDrainCheckAt = now;
    }
    if (!worker.listed) {
        worker.nextHoldAt = std::min(worker.nextHoldAt, now);
    }
    worker.listed = true;
}

void JobEngine::discoveryRead()
{
    m_discoveryReadAt = m_clock.now();
}

void JobEngine::handleWorkerUnlisted(const WorkerId &id)
{
    Worker *worker = m_workers.find(id);
    if (worker == nullptr || !worker->listed) {
        return;
    }
    worker->listed = false;
    m_poolsOutdated = true;
    logEvent(LogLevel::Info, "worker-unlisted", {{"worker", id}, {"runs", worker->runs.size()}});
    if (worker->runs.empty()) {
        m_workerSpeeds[worker->report.service].forget(id);
        m_workers.all().erase(id);
    }
}

void JobEngine::processEnds(Worker &worker, const std::vector<EndedTask> &ends)
{
    for (const EndedTask &end : ends) {
        if (end.number <= worker.lastProcessedEnd) {
            continue;
        }
        worker.lastProcessedEnd = end.number;
        m_workersWithUnstoredEnds.insert(worker.report.id);
        ++m_counts.ended[end.kind];
        const EndEffect effect = effectOf(worker, {end.task, end.run}, end.kind);
        const Job *ofJob = findJobOf(end.task);
        const Task *task = ofJob == nullptr ? nullptr : ofJob->task(end.task);
        logEvent(LogLevel::Info,
                 "run-ended",
                 {{"task", toString(end.task)},
                  {"run", end.run},
                  {"worker", worker.report.id},
                  {"kind", endKindName(end.kind)},
                  {"end", end.number},
                  {"effect", endEffectName(effect)},
                  {"latest_run", task == nullptr ? 0 : task->run}});
        if (effect == EndEffect::CompletesTask) {
            ++m_counts.completedAfterGivenUp;
        }
        recordHealth(worker, end);
        if (ofJob != nullptr && provesBegin(ofJob->step(end.task), end)) {
            runBegun(worker, {end.task, end.run}, "listed as ended");
        }
        if (end.kind == EndKind::Done) {
            worker.failuresInRow = 0;
            worker.jobsOfFailures.clear();
            ++worker.runsDone;
        }
        if (end.kind == EndKind::Failed) {
            recordFailure(worker, end.task);
        }
        runEnded(worker, {end.task, end.run}, end.kind, effect, end.checkpoint);
    }
}

void JobEngine::recordFailure(Worker &worker, const TaskKey &task)
{
    ++worker.failuresInRow;
    worker.jobsOfFailures.insert(task.job);
    bool failsElsewhere = false;
    if (Job *job = findJobOf(task)) {
        job->failedOn.insert(worker.report.id);
        failsElsewhere = job->failedOn.size() > 1 && !job->anyDone();
    }
    if (!decision::isWorkerToBlame({worker.failuresInRow, worker.jobsOfFailures.size(), failsElsewhere})) {
        return;
    }
    worker.avoidedUntil = m_clock.now() + m_times.failureAvoidTime;
    logEvent(LogLevel::Warning,
             "worker-avoided",
             {{"worker", worker.report.id},
              {"failures_in_row", worker.failuresInRow},
              {"jobs", worker.jobsOfFailures.size()},
              {"last_job", task.job},
              {"fails_elsewhere", failsElsewhere}});
}

void JobEngine::recordHealth(Worker &worker, const EndedTask &end)
{
    const auto run = worker.runs.find({end.task, end.run});
    if (run == worker.runs.end() || run->second.start != StartState::Accepted || run->second.earlierTerm) {
        return;
    }
    const MonotonicTime startedAt = run->second.startCallEndedAt;
    if (end.kind == EndKind::Done) {
        worker.lastCompletedStartAt = std::max(worker.lastCompletedStartAt.value_or(startedAt), startedAt);
    } else if (end.kind == EndKind::Failed) {
        const MonotonicTime now = m_clock.now();
        m_failureWave.recordFailure(worker.report.id.value(), now, now - startedAt);
    }
}

void JobEngine::raiseRunNumber(const TaskKey &key, std::int64_t run)
{
    Job *job = findJobOf(key);
    if (job != nullptr && job->phase(key) == TaskPhase::Waiting) {
        Task &task = job->taskState(key);
        task.run = std::max(task.run, run);
    }
}

void JobEngine::processRunning(Worker &worker, const std::vector<RunningTask> &running)
{
    const MonotonicTime now = m_clock.now();
    for (const RunningTask &each : running) {
        const RunKey key{each.task, each.run};
        auto found = worker.runs.find(key);
        if (found == worker.runs.end()) {
            Run orphan;
            orphan.task = each.task;
            orphan.number = each.run;
            orphan.start = StartState::Accepted;
            orphan.startCallEndedAt = now;
            // The resources of a run of an unknown job are not known, so nothing else may start there until it is gone.
            orphan.resources = worker.report.capacity;
            if (const Job *job = findJobOf(each.task); job != nullptr) {
                orphan.resources = job->step(each.task).reservedResources();
            }
            orphan.begun = true;
            orphan.stopWanted = true;
            orphan.nextStopAt = now;
            m_workers.addRun(worker, orphan);
            if (const Job *job = findJobOf(each.task);
                job != nullptr && (!job->step(each.task).gang || each.percent > 0)) {
                markBegun(key, "listed as running");
            }
            raiseRunNumber(each.task, each.run);
            logEvent(LogLevel::Warning,
                     "run-not-wanted",
                     {{"task", toString(each.task)}, {"run", each.run}, {"worker", worker.report.id}});
            continue;
        }
        Run &run = found->second;
        if (!run.seenRunning) {
            run.seenRunning = true;
            runPresent(worker, key, "listed as running");
            run.runningSince = now;
            run.progressedAt = now;
            run.sampledAt = now;
            run.firstPercent = each.percent;
            run.samplePercent = each.percent;
        }
        if (each.percent > run.percent) {
            // Members of a gang work only together.
            runBegun(worker, key, "listed with progress");
            run.percent = each.percent;
            run.progressedAt = now;
        }
        if (now - run.sampledAt >= MinimumSampleTime) {
            const double seconds = std::chrono::duration<double>(now - run.sampledAt).count();
            run.rate = (run.percent - run.samplePercent) / seconds;
            run.samplePercent = run.percent;
            run.sampledAt = now;
        }
        run.start = StartState::Accepted;
        Job *job = findJobOf(each.task);
        Task *task = job == nullptr ? nullptr : job->task(each.task);
        if (task != nullptr && !each.checkpoint.empty() && task->run == each.run) {
            task->checkpoint = each.checkpoint;
            task->checkpointPercent = each.percent;
        }
    }
}

} // namespace coriander::workflow
