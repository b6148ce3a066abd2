#include "corianderscale/Decision/PlacementPreference.h"
#include "corianderscale/Decision/WaitingOrder.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coriander::workflow {

namespace {

/** No further workers are reserved for waiting gangs when more than this share of all workers is; reserved workers
    become idle until the gang starts. */
constexpr double MaximumGangReserveShare = 0.05;
/** Maximum share of all workers that is reserved for one gang; a larger gang waits until enough workers are free. */
constexpr double MaximumReserveShareOfOneGang = 0.25;
/** Delay of an occurrence after its due time, because the wall clocks of VMs differ. */
constexpr Duration DueTimeMargin = std::chrono::milliseconds(50);

/** Expected time of the longest chain of dependent steps. */
Duration longestChainEstimate(const JobSpec &job)
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

WallTime dueTime(const JobSpec &job, std::size_t occurrence)
{
    return job.firstDue + job.interval * static_cast<std::int64_t>(occurrence) + DueTimeMargin;
}

/** Number of occurrences that are due; they are the first ones. */
std::size_t dueOccurrences(const Job &job, WallTime now)
{
    const JobSpec &spec = job.spec;
    if (spec.occurrences == 0) {
        return 1;
    }
    const Duration sinceFirst = now - dueTime(spec, 0);
    if (sinceFirst < Duration(0)) {
        return 0;
    }
    if (spec.interval <= Duration(0)) {
        return spec.occurrences;
    }
    return std::min(spec.occurrences, static_cast<std::size_t>(sinceFirst / spec.interval) + 1);
}

/** Share of the accelerators of the workers on the board that runs use, from 0 to 1. */
double usedAcceleratorShare(const PlacementBoard &board)
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const BoardEntry &entry : board.entries()) {
        if (!entry.worker->known) {
            continue; // Its entry may come from another writer.
        }
        used += entry.worker->used.accelerators.count();
        capacity += entry.worker->report.capacity.accelerators.count();
    }
    return capacity == 0 ? 1.0 : static_cast<double>(used) / static_cast<double>(capacity);
}

} // namespace

void JobEngine::plan(MonotonicTime now)
{
    m_planWanted = false;
    m_nextPlanAt = now + m_times.planInterval;
    logEmptyDataCentres();
    if (!m_catalogue || isPlacingPaused(now)) {
        return;
    }
    const std::vector<Candidate> waiting = candidates(now);
    if (waiting.empty()) {
        return;
    }
    PlacementBoard board(m_workers, now, m_dataCentreWatch.silentDataCentres(m_workers, now), m_evacuatedDataCentres);
    m_poolUse.clear();
    markSpeeds(board);
    m_urgentReserve.apply(urgentDemand(), board, now);
    markProvenWorkers(board, now);
    dropExpiredClaims(now);
    dropEvacuatedClaims();
    for (const auto &[key, claim] : m_claims) {
        applyClaim(claim, board, true);
    }
    for (const Candidate &candidate : waiting) {
        place(candidate, board, now);
    }
}

void JobEngine::markSpeeds(PlacementBoard &board) const
{
    for (BoardEntry &entry : board.entries()) {
        if (const decision::WorkerSpeeds *speeds = unevenSpeeds(entry.worker->report.service)) {
            const std::optional<double> speed = speeds->speedOf(entry.worker->report.id);
            entry.speed = speed.value_or(1);
            entry.speedKnown = speed.has_value();
        }
    }
}

double JobEngine::slowestSpeed(const std::vector<WorkerId> &workers) const
{
    double slowest = 0;
    for (const WorkerId &id : workers) {
        const auto worker = m_workers.all().find(id);
        const auto speeds = worker == m_workers.all().end() ? m_workerSpeeds.end()
                                                            : m_workerSpeeds.find(worker->second.report.service);
        const std::optional<double> speed = speeds == m_workerSpeeds.end() ? std::nullopt : speeds->second.speedOf(id);
        if (speed && (slowest == 0 || *speed < slowest)) {
            slowest = *speed;
        }
    }
    return slowest;
}

std::size_t JobEngine::slowWorkers() const
{
    std::size_t slow = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        const double speed = slowestSpeed({id});
        slow += speed > 0 && speed < decision::SlowSpeed ? 1 : 0;
    }
    return slow;
}

const decision::WorkerSpeeds *JobEngine::unevenSpeeds(const ServiceName &service) const
{
    const auto found = m_workerSpeeds.find(service);
    return found == m_workerSpeeds.end() || !found->second.isUneven() ? nullptr : &found->second;
}

bool JobEngine::canRunOnSlowWorkers(const Candidate &candidate, MonotonicTime now) const
{
    const Duration timeLeft = candidate.objective - now;
    return timeLeft * decision::SlowSpeed > candidate.job->spec.steps[candidate.step].estimate;
}

double JobEngine::minimumSpeed(const Candidate &candidate, MonotonicTime now) const
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    const decision::WorkerSpeeds *speeds = unevenSpeeds(candidate.queue->service);
    // Only a gang is placed as a whole, so that its wait for faster workers has an end.
    if (speeds == nullptr || candidate.queue->priority != 0 || !step.gang || step.longRunning) {
        return 0;
    }
    const std::optional<MonotonicTime> since = waitingSince(candidate);
    Duration waited = since ? now - *since : Duration(0);
    if (candidate.job->assignedCount() == 0 && candidate.step == 0) {
        waited = std::max(waited, now - candidate.since);
    }
    return decision::speedNeeded({step.estimate, candidate.objective - now, waited, speeds->highestCommonSpeed()});
}

void JobEngine::pausePlacing(MonotonicTime until)
{
    m_placingPausedUntil = std::max(m_placingPausedUntil, until);
}

bool JobEngine::isPlacingPaused(MonotonicTime now)
{
    const Duration age = now - m_discoveryReadAt;
    const bool late = now < m_placingPausedUntil;
    const bool paused = late || age > m_times.maximumDiscoveryAge || !knowsEvacuations(now);
    if (std::exchange(m_placingPaused, paused) != paused) {
        logEvent(paused ? LogLevel::Warning : LogLevel::Info,
                 paused ? "placing-paused" : "placing-resumed",
                 {{"discovery_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
                  {"evacuations_known", knowsEvacuations(now)},
                  {"owner_late", late},
                  {"epoch", m_epoch}});
    }
    return paused;
}

std::vector<JobEngine::Candidate> JobEngine::candidates(MonotonicTime now)
{
    std::vector<std::pair<std::tuple<double, MonotonicTime, JobId>, Candidate>> ordered;
    std::vector<Candidate> found;
    for (auto &[id, job] : m_jobs) {
        const QueueSpec *queue = m_catalogue->queue(job.spec.queue);
        if (isFinal(job.state) || queue == nullptr) {
            continue;
        }
        addCandidates(job, *queue, now, found);
    }
    m_coveredJobs = guaranteedJobs();
    for (Candidate &candidate : found) {
        candidate.guaranteed = m_coveredJobs.count(candidate.job->spec.id) > 0;
        const Duration estimate = candidate.job->spec.steps[candidate.step].estimate;
        const double rank = decision::waitingRank({candidate.queue->priority,
                                                   candidate.guaranteed,
                                                   candidate.job->spec.steps[candidate.step].longRunning,
                                                   now + estimate - candidate.since,
                                                   candidate.objective - candidate.since});
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

MonotonicTime JobEngine::countedSince(const Job &job, std::size_t occurrence) const
{
    return job.spec.occurrences > 0 ? toMonotonic(dueTime(job.spec, occurrence), m_clock)
                                    : std::min(job.learntAt, toMonotonic(job.spec.acceptedAt, m_clock));
}

MonotonicTime JobEngine::objectiveOf(const Job &job,
                                     const QueueSpec &queue,
                                     std::size_t occurrence,
                                     Duration chain) const
{
    return countedSince(job, occurrence) + std::chrono::duration_cast<Duration>(chain * queue.stretch)
        + queue.objectiveSlack;
}

void JobEngine::addCandidates(Job &job, const QueueSpec &queue, MonotonicTime now, std::vector<Candidate> &into)
{
    const Duration chain = longestChainEstimate(job.spec);
    const std::size_t due = dueOccurrences(job, m_clock.wallNow());
    if (due == 0) {
        return;
    }
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        const boost::dynamic_bitset<> waiting = job.waitingOccurrences(s, due);
        for (std::size_t k = waiting.find_first(); k != boost::dynamic_bitset<>::npos; k = waiting.find_next(k)) {
            Candidate candidate;
            candidate.job = &job;
            candidate.occurrence = k;
            candidate.step = s;
            candidate.queue = &queue;
            candidate.since = countedSince(job, k);
            candidate.objective = objectiveOf(job, queue, k, chain);
            candidate.late = now + job.spec.steps[s].estimate > candidate.objective;
            job.waitingSince.try_emplace({k, s}, now);
            into.push_back(candidate);
        }
    }
}

std::optional<MonotonicTime> JobEngine::waitingSince(const Candidate &candidate)
{
    const auto found = candidate.job->waitingSince.find({candidate.occurrence, candidate.step});
    return found == candidate.job->waitingSince.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::size_t> JobEngine::waitingTasks(const Candidate &candidate)
{
    return candidate.job->waitingTasks({candidate.occurrence, candidate.step},
                                       candidate.job->spec.steps[candidate.step].tasks);
}

double JobEngine::usedShare(const ServiceName &service, bool accelerators)
{
    const auto [entry, added] = m_poolUse.try_emplace(service);
    auto &[used, total] = entry->second;
    if (added) {
        for (const auto &[id, worker] : m_workers.all()) {
            const bool usable = worker.listed && worker.known && !worker.report.draining && !isEvacuated(worker);
            if (worker.report.service == service && usable) {
                used = plus(used, worker.used);
                total = plus(total, worker.report.capacity);
            }
        }
    }
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return accelerators ? share(used.accelerators.count(), total.accelerators.count())
                        : share(used.cores.count(), total.cores.count());
}

bool JobEngine::endsPreferences(const Candidate &candidate, MonotonicTime now)
{
    const std::optional<MonotonicTime> since = waitingSince(candidate);
    const bool accelerators = candidate.job->spec.steps[candidate.step].perTask.accelerators.count() > 0;
    return since
        && decision::endsPreferences(
               {now - *since, candidate.job->assignedCount() > 0, usedShare(candidate.queue->service, accelerators)});
}

PlacementNeed JobEngine::needOf(const Candidate &candidate, const std::vector<std::size_t> &tasks, MonotonicTime now)
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    PlacementNeed need;
    need.tasks = tasks.size();
    need.perTask = step.perTask;
    if (step.usesIdleCores) {
        need.perTask.cores = MilliCores(0);
    }
    need.service = candidate.queue->service;
    need.requiredLabel = step.requiredLabel;
    need.dataRack = step.dataRack;
    need.sameRack = step.gang && step.sameRack;
    need.preferencesEnd = endsPreferences(candidate, now);
    need.urgent = candidate.queue->priority == 0;
    need.minimumSpeed = need.preferencesEnd ? 0 : minimumSpeed(candidate, now);
    need.preferSlow = !need.urgent && unevenSpeeds(need.service) != nullptr && canRunOnSlowWorkers(candidate, now);
    need.maximumPerWorker = step.maximumPerWorker;
    if (candidate.queue->needsAdvice) {
        need.approved = m_advice.approved(stepKey(candidate), m_workers);
    }
    if (need.maximumPerWorker > 0) {
        need.placedTasks = m_workers.countRuns(stepKey(candidate));
    }
    if (const StepTasks *all = candidate.job->openStep({candidate.occurrence, candidate.step})) {
        for (const auto &[index, task] : all->states()) {
            need.avoid.insert(task.failedOn.begin(), task.failedOn.end());
        }
    }
    return need;
}

void JobEngine::reserveForGang(const PlacementNeed &need, PlacementBoard &board)
{
    const std::vector<std::size_t> room = entriesToReserve(board, need);
    const auto isReservedForGang = [](const BoardEntry &entry) {
        return entry.reservedForGang;
    };
    const auto reservedCount = std::count_if(board.entries().begin(), board.entries().end(), isReservedForGang);
    const auto all = static_cast<double>(board.entries().size());
    if (static_cast<double>(reservedCount) > MaximumGangReserveShare * all
        || static_cast<double>(room.size()) > MaximumReserveShareOfOneGang * all) {
        return;
    }
    for (const std::size_t index : room) {
        board.entries()[index].reserved = true;
        board.entries()[index].reservedForGang = true;
    }
}

StepKey JobEngine::stepKey(const Candidate &candidate)
{
    return {candidate.job->spec.id, candidate.occurrence, candidate.step};
}

bool JobEngine::hasFailed(const Candidate &candidate, const std::vector<std::size_t> &tasks)
{
    const StepTasks *all = candidate.job->openStep({candidate.occurrence, candidate.step});
    return all != nullptr && std::any_of(tasks.begin(), tasks.end(), [all](std::size_t index) {
               const Task *task = all->find(index);
               return task != nullptr && task->failures > 0;
           });
}

std::vector<std::size_t> JobEngine::findRoom(const PlacementNeed &need, bool gang, PlacementBoard &board)
{
    return gang ? placeTogether(board, need) : placeEach(board, need);
}

void JobEngine::assignTo(const Candidate &candidate,
                         const std::vector<std::size_t> &tasks,
                         const std::vector<std::size_t> &entries,
                         const PlacementBoard &board,
                         MonotonicTime now)
{
    if (entries.empty()) {
        return;
    }
    std::vector<WorkerId> workers;
    for (const std::size_t entry : entries) {
        workers.push_back(board.entries()[entry].worker->report.id);
    }
    assign(candidate, tasks, workers, now);
}

void JobEngine::markProvenWorkers(PlacementBoard &board, MonotonicTime now)
{
    const std::size_t workers = board.entries().size();
    const std::optional<MonotonicTime> since = m_failureWave.proofSince(now, workers);
    const bool wave = m_failureWave.since(now, workers).has_value();
    m_provenMarked = since.has_value();
    if (since) {
        m_usedShare = usedAcceleratorShare(board);
        for (BoardEntry &entry : board.entries()) {
            entry.proven = isProvenSince(*entry.worker, *since, now);
        }
    }
    if (wave && !m_waveInPass) {
        const auto proven = std::count_if(
            board.entries().begin(), board.entries().end(), [](const BoardEntry &entry) { return entry.proven; });
        logEvent(LogLevel::Warning,
                 "failure-wave",
                 {{"since_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count()},
                  {"workers", workers},
                  {"proven", proven}});
    }
    m_waveInPass = wave;
}

bool JobEngine::waitsForProof(const Job &job, const Task &task, MonotonicTime now) const
{
    const std::optional<int> most = maximumAttempts(job);
    return m_waveInPass && task.lastFailureAt && most && task.failures + 1 >= *most
        && decision::shouldWaitForProof(now - *task.lastFailureAt, m_usedShare);
}

void JobEngine::placeOnProvenWorkers(const Candidate &candidate,
                                     std::vector<std::size_t> &tasks,
                                     PlacementBoard &board,
                                     MonotonicTime now)
{
    const auto waits = [this, &candidate, now](std::size_t index) {
        const TaskKey key{candidate.job->spec.id, candidate.occurrence, candidate.step, index};
        const Task *task = candidate.job->task(key);
        return task != nullptr && waitsForProof(*candidate.job, *task, now);
    };
    std::stable_partition(tasks.begin(), tasks.end(), waits);
    PlacementNeed need = needOf(candidate, tasks, now);
    need.requireProven = true;
    need.excludeFailing = true;
    // A worker that does not fail what it starts is more important than a fast one.
    need.minimumSpeed = 0;
    const std::vector<std::size_t> entries = findRoom(need, candidate.job->spec.steps[candidate.step].gang, board);
    assignTo(candidate, tasks, entries, board, now);
    tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(entries.size()));
    std::erase_if(tasks, waits);
}

void JobEngine::place(const Candidate &candidate, PlacementBoard &board, MonotonicTime now)
{
    std::vector<std::size_t> tasks = waitingTasks(candidate);
    const ClaimKey claimKey{candidate.job->spec.id, candidate.occurrence, candidate.step};
    const auto claim = m_claims.find(claimKey);
    if (claim != m_claims.end()) {
        applyClaim(claim->second, board, false);
    }
    const bool gang = candidate.job->spec.steps[candidate.step].gang;
    std::vector<std::size_t> entries;
    if (claim != m_claims.end() && gang && !tasks.empty()) {
        entries = placeOnClaim(claim->second, board);
    }
    const bool preferProven = m_waveInPass || (m_provenMarked && hasFailed(candidate, tasks));
    if (preferProven && entries.empty() && !tasks.empty()) {
        placeOnProvenWorkers(candidate, tasks, board, now);
    }
    if (tasks.empty()) {
        m_claims.erase(claimKey);
        return;
    }
    PlacementNeed need = needOf(candidate, tasks, now);
    if (need.minimumSpeed > 0 && !canHold(board, need)) {
        need.minimumSpeed = 0;
    }
    // A retry prefers workers that have completed a run, because another failure may fail the job.
    need.requireCompletedRun = hasFailed(candidate, tasks);
    need.excludeFailing = gang && candidate.queue->priority == 0;
    if (entries.empty() && (need.requireCompletedRun || need.excludeFailing)) {
        entries = findRoom(need, gang, board);
    }
    need.requireCompletedRun = false;
    need.excludeFailing = false;
    if (entries.empty()) {
        entries = findRoom(need, gang, board);
    }
    if (entries.empty() && need.minimumSpeed > 0 && candidate.guaranteed && claim == m_claims.end()) {
        if (reclaim(candidate, need, board, now)) {
            return;
        }
        // The start of guaranteed work matters more than its speed.
        need.minimumSpeed = 0;
        entries = findRoom(need, gang, board);
    }
    assignTo(candidate, tasks, entries, board, now);
    if (need.approved && entries.size() < tasks.size()) {
        m_advice.ask(stepKey(candidate), board, need);
    }
    if (entries.empty() && gang && !need.urgent && !candidate.late) {
        reserveForGang(need, board);
    }
    const bool urgent = candidate.queue->priority == 0 && gang;
    const std::optional<MonotonicTime> since = waitingSince(candidate);
    const bool lastingWaits
        = candidate.job->spec.steps[candidate.step].longRunning && since && now - *since > m_times.lastingWait;
    if (entries.size() == tasks.size() || !(candidate.guaranteed || urgent || lastingWaits)) {
        m_claims.erase(claimKey);
        return;
    }
    if (claim != m_claims.end() && entries.empty()) {
        applyClaim(claim->second, board, true);
        return;
    }
    PlacementNeed missing = needOf(candidate, waitingTasks(candidate), now);
    missing.minimumSpeed = need.minimumSpeed;
    reclaim(candidate, missing, board, now);
}

void JobEngine::assign(const Candidate &candidate,
                       const std::vector<std::size_t> &tasks,
                       const std::vector<WorkerId> &workers,
                       MonotonicTime now)
{
    Job &job = *candidate.job;
    const StepSpec &step = job.spec.steps[candidate.step];
    std::int64_t gangRun = 1;
    // The checkpoint of any member is valid for the whole gang, so all members resume from the most advanced one.
    const Task *furthest = nullptr;
    if (const StepTasks *all = job.openStep({candidate.occurrence, candidate.step})) {
        for (const auto &[index, task] : all->states()) {
            gangRun = std::max(gangRun, task.run + 1);
            if (!task.checkpoint.empty()
                && (furthest == nullptr || task.checkpointPercent > furthest->checkpointPercent)) {
                furthest = &task;
            }
        }
    }
    const std::string gangCheckpoint = furthest == nullptr ? std::string() : furthest->checkpoint;
    const int gangPercent = furthest == nullptr ? 0 : furthest->checkpointPercent;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        Worker &worker = *m_workers.find(workers[i]);
        const TaskKey key{job.spec.id, candidate.occurrence, candidate.step, tasks[i]};
        Task &task = job.setPhase(key, TaskPhase::Assigned);
        task.run = step.gang ? gangRun : task.run + 1;
        task.worker = workers[i];
        task.incarnation = worker.report.incarnation;
        if (step.gang && furthest != nullptr) {
            task.checkpoint = gangCheckpoint;
            task.checkpointPercent = gangPercent;
        }
        Run run;
        run.task = key;
        run.number = task.run;
        run.resources = step.perTask;
        if (step.usesIdleCores) {
            run.resources.cores = MilliCores(0);
        }
        const RunKey runKey{run.task, run.number};
        m_workers.addRun(worker, std::move(run));
        job.pendingStarts[candidate.occurrence].emplace_back(workers[i], runKey);
    }
    job.waitingSince.erase({candidate.occurrence, candidate.step});
    job.dirtyOccurrences.insert(candidate.occurrence);
    m_dirtyJobs.insert(job.spec.id);
    job.started = true;
    if (!job.startGivenUp) {
        markState(job, JobState::Running);
    }
    logEvent(LogLevel::Info,
             "tasks-placed",
             {{"job", job.spec.id},
              {"occurrence", candidate.occurrence},
              {"step", candidate.step},
              {"tasks", workers.size()},
              {"waiting", tasks.size() - workers.size()},
              {"gang", step.gang},
              {"millicores", step.perTask.cores},
              {"accelerators", step.perTask.accelerators},
              {"priority", candidate.queue->priority},
              {"late", candidate.late},
              {"slowest_worker", slowestSpeed(workers)},
              {"slack_ms", std::chrono::duration_cast<std::chrono::milliseconds>(candidate.objective - now).count()},
              {"configuration", m_catalogue->version}});
}

} // namespace coriander::workflow
