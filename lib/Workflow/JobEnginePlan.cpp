#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"
#include "corianderscale/Workflow/Reclaim.h"

#include <algorithm>
#include <tuple>

namespace coriander::workflow {

namespace {

/** Work past its objective counts this many priorities lower, because it earns less than work in time. */
constexpr double LatePenalty = 1.5;
/** An occurrence starts this much after its due time, for wall clocks that differ between VMs. */
constexpr Duration DueMargin = std::chrono::milliseconds(50);
/** Weight of an accelerator against a core in the cost of lost work; the users' price counts it as 8 cores. */
constexpr double CoresPerAccelerator = 8;

/** Expected time of the longest chain of steps. */
Duration chainEstimate(const JobSpec &job)
{
    std::vector<Duration> endOf(job.steps.size());
    Duration longest{};
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        Duration begin{};
        for (const std::size_t earlier : job.steps[s].after) {
            begin = std::max(begin, endOf[earlier]);
        }
        endOf[s] = begin + job.steps[s].estimate;
        longest = std::max(longest, endOf[s]);
    }
    return longest;
}

double weightOf(const decision::Resources &resources)
{
    return static_cast<double>(resources.cores.count()) / 1000.0
        + CoresPerAccelerator * static_cast<double>(resources.accelerators.count());
}

std::int64_t widestStep(const JobSpec &job)
{
    std::int64_t widest = 0;
    for (const StepSpec &step : job.steps) {
        widest = std::max(widest, static_cast<std::int64_t>(step.tasks) * step.perTask.accelerators.count());
    }
    return widest;
}

} // namespace

void JobEngine::plan(MonotonicTime now)
{
    m_planWanted = false;
    m_nextPlanAt = now + m_times.planEvery;
    if (!m_catalogue) {
        return;
    }
    const std::vector<Candidate> waiting = candidates(now);
    if (waiting.empty()) {
        return;
    }
    PlacementBoard board(m_workers, now);
    for (const Candidate &candidate : waiting) {
        place(candidate, board, now);
    }
}

std::vector<JobEngine::Candidate> JobEngine::candidates(MonotonicTime now)
{
    std::vector<std::pair<std::tuple<double, MonotonicTime, JobId>, Candidate>> ordered;
    std::vector<Candidate> found;
    for (auto &[id, job] : m_jobs) {
        const QueueSpec *queue = m_catalogue->queue(job.spec.queue);
        if (isFinal(job.state) || queue == nullptr || queue->needsAdvice) {
            continue;
        }
        addCandidates(job, *queue, now, found);
    }
    const std::set<JobId> covered = guaranteedJobs();
    for (Candidate &candidate : found) {
        candidate.guaranteed = covered.count(candidate.job->spec.id) > 0;
        const double rank
            = candidate.guaranteed ? -1.0 : candidate.queue->priority + (candidate.late ? LatePenalty : 0.0);
        ordered.emplace_back(std::tuple(rank, candidate.objective, candidate.job->spec.id), candidate);
    }
    std::stable_sort(
        ordered.begin(), ordered.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    found.clear();
    for (auto &[key, candidate] : ordered) {
        found.push_back(candidate);
    }
    return found;
}

void JobEngine::addCandidates(Job &job, const QueueSpec &queue, MonotonicTime now, std::vector<Candidate> &into)
{
    const Duration chain = chainEstimate(job.spec);
    const auto stretched = std::chrono::duration_cast<Duration>(chain * queue.stretch);
    const WallTime wallNow = m_clock.wallNow();
    for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
        MonotonicTime since = std::min(job.seenAt, toMonotonic(job.spec.acceptedAt, m_clock));
        if (job.spec.occurrences > 0) {
            const WallTime due = job.spec.firstDue + job.spec.interval * static_cast<std::int64_t>(k) + DueMargin;
            if (wallNow < due) {
                break;
            }
            since = toMonotonic(due, m_clock);
        }
        for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
            if (job.stepDone(k, s) || !job.stepReady(k, s)) {
                continue;
            }
            Candidate candidate;
            candidate.job = &job;
            candidate.occurrence = k;
            candidate.step = s;
            candidate.queue = &queue;
            candidate.objective = since + stretched + queue.objectiveSlack;
            candidate.late = now + job.spec.steps[s].estimate > candidate.objective;
            into.push_back(candidate);
        }
    }
}

std::vector<std::size_t> JobEngine::waitingTasks(const Candidate &candidate) const
{
    const std::vector<Task> &tasks = candidate.job->occurrences[candidate.occurrence].steps[candidate.step];
    const bool gang = candidate.job->spec.steps[candidate.step].gang;
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase == TaskPhase::Waiting) {
            waiting.push_back(i);
        } else if (gang) {
            return {};
        }
    }
    return waiting;
}

PlacementNeed JobEngine::needOf(const Candidate &candidate, const std::vector<std::size_t> &tasks) const
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    PlacementNeed need;
    need.tasks = tasks.size();
    need.perTask = step.perTask;
    if (step.fillsIdle) {
        need.perTask.cores = MilliCores(0);
    }
    need.service = candidate.queue->service;
    need.requiredLabel = step.requiredLabel;
    need.dataRack = step.dataRack;
    need.sameRack = step.gang && step.sameRack;
    need.mostPerWorker = step.mostPerWorker;
    const std::vector<Task> &all = candidate.job->occurrences[candidate.occurrence].steps[candidate.step];
    for (const Task &task : all) {
        if (task.phase == TaskPhase::Assigned) {
            ++need.held[task.worker];
        }
        need.avoid.insert(task.failedOn.begin(), task.failedOn.end());
    }
    return need;
}

void JobEngine::place(const Candidate &candidate, PlacementBoard &board, MonotonicTime now)
{
    const std::vector<std::size_t> tasks = waitingTasks(candidate);
    if (tasks.empty()) {
        return;
    }
    const PlacementNeed need = needOf(candidate, tasks);
    const bool gang = candidate.job->spec.steps[candidate.step].gang;
    const std::vector<std::size_t> entries = gang ? placeTogether(board, need) : placeEach(board, need);
    if (!entries.empty()) {
        std::vector<WorkerId> workers;
        for (const std::size_t entry : entries) {
            workers.push_back(board.entries()[entry].worker->report.id);
        }
        assign(candidate, tasks, workers, now);
    }
    if (entries.size() < tasks.size() && candidate.guaranteed) {
        PlacementNeed rest = need;
        rest.tasks = tasks.size() - entries.size();
        reclaim(candidate, rest, board, now);
    }
}

void JobEngine::assign(const Candidate &candidate,
                       const std::vector<std::size_t> &tasks,
                       const std::vector<WorkerId> &workers,
                       MonotonicTime now)
{
    Job &job = *candidate.job;
    const StepSpec &step = job.spec.steps[candidate.step];
    Occurrence &occurrence = job.occurrences[candidate.occurrence];
    std::vector<Task> &all = occurrence.steps[candidate.step];
    std::int64_t gangRun = 0;
    std::string gangCheckpoint;
    for (const Task &task : all) {
        gangRun = std::max(gangRun, task.run + 1);
        gangCheckpoint = std::max(gangCheckpoint, task.checkpoint);
    }
    for (std::size_t i = 0; i < workers.size(); ++i) {
        Worker &worker = *m_workers.find(workers[i]);
        Task &task = all[tasks[i]];
        task.run = step.gang ? gangRun : task.run + 1;
        task.phase = TaskPhase::Assigned;
        task.worker = workers[i];
        task.incarnation = worker.report.incarnation;
        if (step.gang) {
            task.checkpoint = gangCheckpoint;
        }
        Run run;
        run.task = {job.spec.id, candidate.occurrence, candidate.step, tasks[i]};
        run.number = task.run;
        run.resources = step.perTask;
        if (step.fillsIdle) {
            run.resources.cores = MilliCores(0);
        }
        const RunKey key{run.task, run.number};
        m_workers.addRun(worker, std::move(run));
        occurrence.pendingStarts.emplace_back(workers[i], key);
    }
    occurrence.dirty = true;
    m_dirtyJobs.insert(job.spec.id);
    job.started = true;
    markState(job, JobState::Running);
    logEvent(LogLevel::Info,
             "tasks-placed",
             {{"job", job.spec.id},
              {"occurrence", candidate.occurrence},
              {"step", candidate.step},
              {"tasks", workers.size()},
              {"waiting", tasks.size() - workers.size()},
              {"gang", step.gang},
              {"late", candidate.late},
              {"slack_ms", std::chrono::duration_cast<std::chrono::milliseconds>(candidate.objective - now).count()},
              {"configuration", m_catalogue->version}});
}

std::set<JobId> JobEngine::guaranteedJobs() const
{
    std::map<OrganisationId, std::vector<const Job *>> urgent;
    for (const auto &[id, job] : m_jobs) {
        const QueueSpec *queue = m_catalogue->queue(job.spec.queue);
        if (queue != nullptr && queue->priority == 0 && !isFinal(job.state)) {
            urgent[job.spec.organisation].push_back(&job);
        }
    }
    std::set<JobId> covered;
    for (auto &[id, jobs] : urgent) {
        const OrganisationSpec *organisation = m_catalogue->organisation(id);
        std::int64_t left = organisation == nullptr ? 0 : organisation->guaranteed.count();
        std::sort(jobs.begin(), jobs.end(), [](const Job *one, const Job *other) {
            return one->spec.acceptedAt < other->spec.acceptedAt;
        });
        for (const Job *job : jobs) {
            const std::int64_t wanted = widestStep(job->spec);
            if (wanted <= left) {
                left -= wanted;
                covered.insert(job->spec.id);
            }
        }
    }
    return covered;
}

std::optional<double> JobEngine::victimCost(const Run &run, int claimantPriority, MonotonicTime now) const
{
    const Job *job = this->job(run.task.job);
    const QueueSpec *queue = job == nullptr ? nullptr : m_catalogue->queue(job->spec.queue);
    if (queue == nullptr || queue->priority <= claimantPriority) {
        return std::nullopt;
    }
    const StepSpec &step = job->step(run.task);
    const double seconds = run.seenRunning ? std::chrono::duration<double>(now - run.runningSince).count() : 0.0;
    const double lost = step.checkpoints ? 1.0 : 1.0 + seconds;
    return weightOf(run.resources) * lost * (step.gang ? static_cast<double>(step.tasks) : 1.0);
}

void JobEngine::reclaim(const Candidate &candidate, const PlacementNeed &need, PlacementBoard &board, MonotonicTime now)
{
    const std::optional<ReclaimPlan> plan
        = planReclaim(board, need, [this, &candidate, now](const Worker &, const Run &run) {
              return victimCost(run, candidate.queue->priority, now);
          });
    if (!plan) {
        return;
    }
    for (const auto &[worker, key] : plan->victims) {
        logEvent(LogLevel::Info,
                 "run-preempted",
                 {{"task", toString(key.first)},
                  {"run", key.second},
                  {"worker", worker},
                  {"for_job", candidate.job->spec.id},
                  {"organisation", candidate.job->spec.organisation}});
        stopRun(worker, key);
        Job *victim = findJob(key.first.job);
        if (victim != nullptr && victim->step(key.first).gang) {
            stopGang(*victim, key.first, key.second);
        }
    }
    // Others must not take the room while the victims end.
    for (const std::size_t entry : plan->entries) {
        board.entries()[entry].open = false;
    }
}

} // namespace coriander::workflow
