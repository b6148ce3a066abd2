#include "corianderscale/Workflow/JobEngine.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Rows of a change of a job's state: the state, and the row of a waiting job, which is removed or written again. */
constexpr std::size_t StateRows = 2;
/** Further rows of the end of a job: the removed job and its cancel request. */
constexpr std::size_t EndRows = 2;
/** More than the size of an encoded StateRecord. */
constexpr std::size_t MaximumStateBytes = 2000;

/** Maximum number of starts in one batch, which are all sent when it is stored. One occurrence may have more. */
constexpr std::size_t MaximumStartsPerBatch = 1000;

/** Whether the batch has room for the starts of the occurrence. */
bool hasRoomForStarts(const EngineBatch &batch, const Job &job, std::size_t occurrence)
{
    const auto starts = job.pendingStarts.find(occurrence);
    return batch.starts.empty() || starts == job.pendingStarts.end()
        || batch.starts.size() + starts->second.size() <= MaximumStartsPerBatch;
}

/** Encodes the progress of an occurrence in at most @p limit bytes. Where they take more, the checkpoints are left out:
 * after a change of owner their tasks start from the beginning. */
std::string encodeOccurrenceWithin(std::size_t limit, OccurrenceRecord record, const JobId &job)
{
    std::string value = encodeOccurrence(record);
    if (value.size() <= limit) {
        return value;
    }
    for (StepRecord &step : record.steps) {
        for (auto &[index, task] : step.tasks) {
            task.checkpoint.clear();
        }
    }
    std::string reduced = encodeOccurrence(record);
    logEvent(LogLevel::Warning,
             "checkpoints-not-stored",
             {{"job", job}, {"bytes", value.size()}, {"without_checkpoints", reduced.size()}, {"limit", limit}});
    return reduced;
}

} // namespace

JobEngine::JobEngine(
    EngineTimes times, Clock clock, Epoch epoch, WorkerOrders &orders, std::function<void()> requestStorage)
    : m_times(times)
    , m_clock(std::move(clock))
    , m_epoch(epoch)
    , m_orders(orders)
    , m_requestStorage(std::move(requestStorage))
    , m_backlog(times.backlogBytes)
    , m_advice(m_clock, [this] { m_planWanted = true; })
    , m_startedAt(m_clock.now())
    , m_termConfirmedAt(m_startedAt)
    , m_nextPlanAt(m_startedAt)
    , m_discoveryReadAt(m_startedAt)
{
}

JobEngine::~JobEngine() = default;

void JobEngine::setAdvisor(Advisor *advisor)
{
    m_advice.setAdvisor(advisor);
}

void JobEngine::setCatalogue(std::shared_ptr<const Catalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
    m_planWanted = true;
    for (auto &[id, job] : m_jobs) {
        updatePolicy(job);
        failIfOutOfAttempts(job);
    }
    logMissingQueues();
}

void JobEngine::updatePolicy(Job &job)
{
    const QueueSpec *queue = m_catalogue ? m_catalogue->queue(job.spec.queue) : nullptr;
    if (queue == nullptr || job.spec.policy == *queue) {
        return;
    }
    job.spec.policy = *queue;
    m_jobsWithNewPolicy.insert(job.spec.id);
}

void JobEngine::countInBacklog(const Job &job, bool added)
{
    const bool wasFull = m_backlog.isFull();
    if (added) {
        m_backlog.add(job.backlogBytes());
    } else {
        m_backlog.remove(job.backlogBytes());
    }
    if (m_backlog.isFull() != wasFull) {
        logEvent(wasFull ? LogLevel::Info : LogLevel::Warning,
                 wasFull ? "backlog-accepting" : "backlog-full",
                 {{"jobs", m_jobs.size()}, {"bytes", m_backlog.bytes()}, {"limit", m_times.backlogBytes}});
    }
}

void JobEngine::logMissingQueues() const
{
    // By queue: the number of open jobs, and of those among them that have no policy to run by.
    std::map<QueueName, std::pair<std::size_t, std::size_t>> missing;
    for (const auto &[id, job] : m_jobs) {
        if (!isFinal(job.state) && m_catalogue && m_catalogue->queue(job.spec.queue) == nullptr) {
            auto &[jobs, withoutPolicy] = missing[job.spec.queue];
            ++jobs;
            withoutPolicy += job.spec.policy ? 0 : 1;
        }
    }
    for (const auto &[queue, counts] : missing) {
        logEvent(LogLevel::Info,
                 "queue-not-configured",
                 {{"queue", queue},
                  {"jobs", counts.first},
                  {"without_policy", counts.second},
                  {"configuration", m_catalogue->version}});
    }
}

Job *JobEngine::findJob(const JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

Job *JobEngine::findJobOf(const TaskKey &key)
{
    Job *job = findJob(key.job);
    return job != nullptr && job->has(key) ? job : nullptr;
}

const Job *JobEngine::findJobOf(const TaskKey &key) const
{
    const Job *job = this->job(key.job);
    return job != nullptr && job->has(key) ? job : nullptr;
}

std::optional<int> JobEngine::maximumAttempts(const Job &job)
{
    return job.spec.policy ? std::optional(job.spec.policy->maximumAttempts) : std::nullopt;
}

void JobEngine::failIfOutOfAttempts(Job &job)
{
    const std::optional<int> most = maximumAttempts(job);
    if (!most || isFinal(job.state)) {
        return;
    }
    for (const auto &[index, tasks] : job.openSteps()) {
        if (job.spec.steps[index.step].longRunning) {
            continue;
        }
        const auto spent = std::find_if(tasks.states().begin(), tasks.states().end(), [&most](const auto &each) {
            return each.second.phase == TaskPhase::Waiting && each.second.failures >= *most;
        });
        if (spent != tasks.states().end()) {
            const TaskKey key{job.spec.id, index.occurrence, index.step, spent->first};
            markDirty(key);
            failJob(job, key);
            return;
        }
    }
}

bool JobEngine::restoreProgress(const JobId &id, std::size_t occurrence, const OccurrenceRecord &record)
{
    Job *job = findJob(id);
    if (job == nullptr) {
        return false;
    }
    if (!job->restore(occurrence, record)) {
        logEvent(LogLevel::Error,
                 "progress-ignored",
                 {{"job", id},
                  {"occurrence", occurrence},
                  {"reason", "the numbers of steps and tasks do not match the job"}});
    }
    return true;
}

void JobEngine::finishRestore()
{
    logMissingQueues();
    for (auto &[id, job] : m_jobs) {
        const std::size_t occurrences = job.storedCount();
        if (occurrences == 0) {
            continue;
        }
        if (!isFinal(job.state)) {
            job.state = job.begun ? JobState::Running : JobState::Queued;
            if (!job.begun) {
                // Earlier versions showed a job as running once a start was stored.
                job.stateDirty = true;
                m_dirtyJobs.insert(id);
            }
        }
        for (const auto &[index, tasks] : job.openSteps()) {
            for (const auto &[i, task] : tasks.states()) {
                if (task.phase == TaskPhase::Assigned) {
                    restoreRun(job, {id, index.occurrence, index.step, i}, task);
                }
            }
        }
        logEvent(LogLevel::Info,
                 "job-restored",
                 {{"job", id}, {"state", jobStateName(job.state)}, {"epoch", m_epoch}, {"occurrences", occurrences}});
        completeIfDone(job);
        failIfOutOfAttempts(job);
        if (isFinal(job.state)) {
            stopJob(job);
            m_dirtyJobs.insert(id);
        }
    }
    m_planWanted = true;
}

void JobEngine::restoreRun(const Job &job, const TaskKey &key, const Task &task)
{
    Worker &worker = m_workers.all()[task.worker];
    if (worker.report.id.empty()) {
        worker.report.id = task.worker;
        worker.report.incarnation = task.incarnation;
        worker.earlierLeasesEndAt = m_startedAt + m_times.leaseGrantWindow + m_times.lease + m_times.leaseMargin;
    }
    Run run;
    run.task = key;
    run.number = task.run;
    run.resources = job.step(key).reservedResources();
    run.start = StartState::Unclear;
    run.startCallEndedAt = m_clock.now();
    run.earlierTerm = true;
    m_workers.addRun(worker, run);
}

void JobEngine::addJob(JobSpec spec)
{
    const JobId id = spec.id;
    if (m_endedJobs.count(id) > 0) {
        return;
    }
    const auto [entry, added] = m_jobs.try_emplace(id, std::move(spec), m_clock.now());
    if (!added) {
        return;
    }
    countInBacklog(entry->second, true);
    updatePolicy(entry->second);
    const JobSpec &job = entry->second.spec;
    logEvent(LogLevel::Info,
             "job-learnt",
             {{"job", id},
              {"queue", job.queue},
              {"organisation", job.organisation},
              {"steps", job.steps.size()},
              {"age_ms", toUnixMs(m_clock.wallNow()) - toUnixMs(job.acceptedAt)}});
    m_planWanted = true;
}

void JobEngine::cancelJob(const JobId &id)
{
    Job *job = findJob(id);
    if (job == nullptr || isFinal(job->state)) {
        return;
    }
    logEvent(LogLevel::Info, "job-cancelled", {{"job", id}, {"epoch", m_epoch}});
    markState(*job, JobState::Cancelled);
    stopJob(*job);
    m_planWanted = true;
}

void JobEngine::markDirty(const TaskKey &key)
{
    Job *job = findJob(key.job);
    if (job == nullptr) {
        return;
    }
    job->dirtyOccurrences.insert(key.occurrence);
    m_dirtyJobs.insert(key.job);
}

void JobEngine::markState(Job &job, JobState state)
{
    if (job.state == state) {
        return;
    }
    job.state = state;
    job.stateDirty = true;
    m_dirtyJobs.insert(job.spec.id);
}

void JobEngine::markBegun(const RunKey &key, const char *evidence)
{
    Job *job = findJobOf(key.first);
    if (job == nullptr || job->begun) {
        return;
    }
    job->begun = true;
    logEvent(LogLevel::Info,
             "job-begun",
             {{"job", job->spec.id},
              {"task", toString(key.first)},
              {"run", key.second},
              {"evidence", evidence},
              {"state", jobStateName(job->state)},
              {"age_ms", toUnixMs(m_clock.wallNow()) - toUnixMs(job->spec.acceptedAt)}});
    if (!isFinal(job->state)) {
        // The next owner reads from the progress that the job has begun.
        markDirty(key.first);
        markState(*job, JobState::Running);
    }
}

void JobEngine::completeIfDone(Job &job)
{
    if (isFinal(job.state) || !job.allDone()) {
        return;
    }
    markState(job, JobState::Completed);
    logEvent(LogLevel::Info,
             "job-completed",
             {{"job", job.spec.id},
              {"epoch", m_epoch},
              {"age_ms", toUnixMs(m_clock.wallNow()) - toUnixMs(job.spec.acceptedAt)}});
}

void JobEngine::failJob(Job &job, const TaskKey &task)
{
    if (isFinal(job.state)) {
        return;
    }
    markState(job, JobState::Failed);
    logEvent(LogLevel::Info,
             "job-failed",
             {{"job", job.spec.id},
              {"task", toString(task)},
              {"failures", job.taskState(task).failures},
              {"most_attempts", maximumAttempts(job).value_or(0)}});
    stopJob(job);
}

void JobEngine::stopJob(const Job &job)
{
    for (const auto &[index, tasks] : job.openSteps()) {
        for (const auto &[i, task] : tasks.states()) {
            if (task.phase == TaskPhase::Assigned) {
                stopRun(task.worker, {TaskKey{job.spec.id, index.occurrence, index.step, i}, task.run});
            }
        }
    }
}

bool JobEngine::addRowsOf(Job &job, const ChangeLimits &limits, EngineBatch &batch, WallTime now)
{
    const JobId &id = job.spec.id;
    if (job.stateDirty) {
        // An occurrence of a failed job says so, so it must not be stored later than the state.
        const bool startsFit
            = job.dirtyOccurrences.empty() || hasRoomForStarts(batch, job, *job.dirtyOccurrences.begin());
        if (!startsFit || !batch.hasRoom(limits, StateRows + 1, MaximumStateBytes + limits.rowBytes)) {
            return false;
        }
        const StateRecord record{job.state, job.spec.queue, job.spec.organisation, now};
        batch.write({StatesTable, id.value(), encodeState(record), {}, false});
        const std::string waiting = waitingKey(job.spec.queue, id);
        if (job.state == JobState::Queued) {
            batch.write({WaitingTable, waiting, "", {}, false});
        } else {
            batch.removed.push_back({WaitingTable, waiting});
        }
        job.stateDirty = false;
    }
    while (!job.dirtyOccurrences.empty()) {
        const std::size_t k = *job.dirtyOccurrences.begin();
        std::string value = encodeOccurrenceWithin(limits.rowBytes, job.record(k), id);
        if (!hasRoomForStarts(batch, job, k) || !batch.hasRoom(limits, 1, value.size())) {
            return false;
        }
        batch.write({ProgressTable, progressKey(id, k), std::move(value), {}, false});
        if (const auto starts = job.pendingStarts.find(k); starts != job.pendingStarts.end()) {
            batch.starts.insert(batch.starts.end(), starts->second.begin(), starts->second.end());
            job.pendingStarts.erase(starts);
        }
        job.dirtyOccurrences.erase(k);
        job.markStored(k);
    }
    return true;
}

bool JobEngine::addEndOf(Job &job, const ChangeLimits &limits, EngineBatch &batch)
{
    const JobId id = job.spec.id;
    if (!batch.hasRoom(limits, StateRows + EndRows, MaximumStateBytes)) {
        return false;
    }
    if (job.stateDirty) {
        const StateRecord record{job.state, job.spec.queue, job.spec.organisation, m_clock.wallNow()};
        batch.write({StatesTable, id.value(), encodeState(record), {}, false});
        batch.removed.push_back({WaitingTable, waitingKey(job.spec.queue, id)});
    }
    // Without the row of the job its progress has no effect any more, so that may be removed later.
    batch.removed.push_back({JobsTable, id.value()});
    batch.removed.push_back({JobsTable, cancelKey(id)});
    for (const std::size_t k : job.storedOccurrences()) {
        m_leftoverProgress.push_back(progressKey(id, k));
    }
    m_endedJobs[id] = m_clock.now();
    m_advice.forget(id);
    countInBacklog(job, false);
    m_jobsWithNewPolicy.erase(id);
    m_jobs.erase(id);
    return true;
}

void JobEngine::removeProgress(const JobId &id, const std::set<std::size_t> &occurrences)
{
    logEvent(
        LogLevel::Info, "progress-left-over", {{"job", id}, {"occurrences", occurrences.size()}, {"epoch", m_epoch}});
    for (const std::size_t occurrence : occurrences) {
        m_leftoverProgress.push_back(progressKey(id, occurrence));
    }
}

void JobEngine::removeLeftoverProgress(const ChangeLimits &limits, EngineBatch &batch)
{
    while (!m_leftoverProgress.empty() && batch.hasRoom(limits, 1, 0)) {
        batch.removed.push_back({ProgressTable, std::move(m_leftoverProgress.back())});
        m_leftoverProgress.pop_back();
    }
}

void JobEngine::forgetEndedJobs(MonotonicTime now)
{
    if (now < m_nextForgetAt) {
        return;
    }
    m_nextForgetAt = now + m_times.endedJobRetention;
    std::erase_if(m_endedJobs, [this, now](const auto &each) { return now - each.second > m_times.endedJobRetention; });
}

bool JobEngine::addDirtyJobs(const ChangeLimits &limits, EngineBatch &batch)
{
    while (!m_dirtyJobs.empty()) {
        // Continues after the last job, so that a job whose rows fill each batch does not keep out the others.
        auto next = m_dirtyJobs.upper_bound(m_lastStoredJob);
        next = next == m_dirtyJobs.end() ? m_dirtyJobs.begin() : next;
        m_lastStoredJob = *next;
        if (Job *job = findJob(*next)) {
            const bool over = isFinal(job->state) && job->assignedCount() == 0;
            const bool added = over ? addEndOf(*job, limits, batch) : addRowsOf(*job, limits, batch, m_clock.wallNow());
            if (!added) {
                return false;
            }
        }
        m_dirtyJobs.erase(next);
    }
    return true;
}

bool JobEngine::addPolicies(const ChangeLimits &limits, EngineBatch &batch)
{
    while (!m_jobsWithNewPolicy.empty()) {
        const auto next = m_jobsWithNewPolicy.begin();
        if (const Job *job = findJob(*next)) {
            std::string value = encodeJob(job->spec);
            if (value.size() > limits.rowBytes) {
                // The row as it was stored fits; a larger one would be refused with all that is stored with it.
                logEvent(LogLevel::Warning,
                         "policy-not-stored",
                         {{"job", *next}, {"bytes", value.size()}, {"limit", limits.rowBytes}});
            } else if (!batch.hasRoom(limits, 1, value.size())) {
                return false;
            } else {
                batch.write({JobsTable, next->value(), std::move(value), {}, false});
            }
        }
        m_jobsWithNewPolicy.erase(next);
    }
    return true;
}

EngineBatch JobEngine::takeBatch(const ChangeLimits &limits)
{
    EngineBatch batch;
    if (!addDirtyJobs(limits, batch)) {
        return batch;
    }
    for (const WorkerId &id : m_workersWithUnstoredEnds) {
        if (const Worker *worker = m_workers.find(id)) {
            batch.processedEnds[id] = {worker->report.incarnation, worker->lastProcessedEnd};
        }
    }
    m_workersWithUnstoredEnds.clear();
    // These come last, because a changed queue may have thousands of jobs, and starts and ends must not wait for them.
    if (addPolicies(limits, batch)) {
        removeLeftoverProgress(limits, batch);
    }
    return batch;
}

void JobEngine::batchStored(const EngineBatch &batch)
{
    const MonotonicTime now = m_clock.now();
    for (const auto &[id, ends] : batch.processedEnds) {
        if (Worker *worker = findAddressee({id, ends.first})) {
            worker->lastStoredEnd = std::max(worker->lastStoredEnd, ends.second);
            worker->nextHoldAt = std::min(worker->nextHoldAt, now);
        }
    }
    for (const auto &[id, key] : batch.starts) {
        Worker *worker = m_workers.find(id);
        if (worker == nullptr) {
            continue;
        }
        const auto run = worker->runs.find(key);
        if (run != worker->runs.end() && run->second.start == StartState::NotSent) {
            sendStart(*worker, run->second);
        }
    }
}

void JobEngine::termConfirmed(MonotonicTime sentAt)
{
    m_termConfirmedAt = std::max(m_termConfirmedAt, sentAt);
}

void JobEngine::step()
{
    if (m_superseded) {
        return;
    }
    const MonotonicTime now = m_clock.now();
    expireLeases(now);
    forgetEndedJobs(now);
    monitorRuns(now);
    evacuateDrainingWorkers(now);
    // A pass that is divided is continued after its pause, not with each event.
    if ((m_planWanted && !m_planContinuesAfter) || now >= m_nextPlanAt) {
        plan(now);
    }
    for (auto &[id, worker] : m_workers.all()) {
        sendDueStops(worker, now);
        sendDueHold(worker, now);
    }
    if (!m_dirtyJobs.empty() || !m_jobsWithNewPolicy.empty() || !m_workersWithUnstoredEnds.empty()
        || !m_leftoverProgress.empty()) {
        m_requestStorage();
    }
}

bool JobEngine::superseded() const
{
    return m_superseded;
}

const WorkerTable &JobEngine::workers() const
{
    return m_workers;
}

const Job *JobEngine::job(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const EngineCounts &JobEngine::counts() const
{
    return m_counts;
}

std::size_t JobEngine::jobCount() const
{
    return m_jobs.size();
}

} // namespace coriander::workflow
