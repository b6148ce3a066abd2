#include "corianderscale/Decision/PlacementPreference.h"
#include "corianderscale/Decision/RunLimits.h"
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
    updatePools();
    WaitingSteps waiting = waitingSteps(now);
    if (waiting.empty()) {
        m_planContinuesAfter.reset();
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
    m_planningBudget = decision::PlanningBudget(m_times.planningWork);
    m_fullNeeds.clear();
    m_advice.beginPart();
    placeWaiting(waiting, board, now);
    askAdvisor(board, now);
}

void JobEngine::placeWaiting(WaitingSteps &waiting, PlacementBoard &board, MonotonicTime now)
{
    const std::optional<PlanningPosition> continuesAfter = std::exchange(m_planContinuesAfter, std::nullopt);
    std::optional<PlanningPosition> last = continuesAfter;
    while (!waiting.empty()) {
        const WaitingStep &step = waiting.first();
        const PlanningPosition position = step.position();
        const bool considered = continuesAfter && position <= *continuesAfter;
        if (considered && (step.rank >= UrgentRank || m_planningBudget.isUrgentShareSpent())) {
            waiting.skipFirstThrough(*continuesAfter);
            continue;
        }
        if (m_planningBudget.isSpent()) {
            if (!continuesAfter) {
                logEvent(LogLevel::Info,
                         "planning-divided",
                         {{"job", position.job}, {"jobs", m_jobs.size()}, {"workers", board.entries().size()}});
            }
            ++m_counts.planningContinued;
            m_planContinuesAfter = last;
            m_nextPlanAt = m_clock.now() + m_times.planningPause;
            return;
        }
        if (!considered) {
            last = position;
        }
        m_planningBudget.spend(decision::PlanningBudget::WorkPerStep
                               + step.job->waitingCount({step.occurrence, step.step})
                                   / decision::PlanningBudget::TasksPerWork);
        step.job->waitingSince.try_emplace({step.occurrence, step.step}, now);
        const Candidate candidate{step.job,
                                  step.occurrence,
                                  step.step,
                                  step.policy,
                                  step.since(),
                                  position.objective,
                                  step.late,
                                  step.guaranteed,
                                  step.rank};
        if (place(candidate, board, now) == PlaceOutcome::NoRoom && !mayDifferFromLaterOccurrences(candidate)) {
            waiting.dropFirst();
        } else {
            waiting.advanceFirst();
        }
    }
}

bool JobEngine::mayDifferFromLaterOccurrences(const Candidate &candidate) const
{
    // Without tasks that were assigned there are neither runs that count for the limit per worker nor failures.
    return candidate.job->openStep({candidate.occurrence, candidate.step}) != nullptr
        || (candidate.policy->needsAdvice && m_advice.knows(stepKey(candidate)));
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
    const decision::WorkerSpeeds *speeds = unevenSpeeds(candidate.policy->service);
    // Only a gang is placed as a whole, so that its wait for faster workers has an end.
    if (speeds == nullptr || candidate.policy->priority != 0 || !step.gang || step.longRunning) {
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
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    const bool accelerators = step.perTask.accelerators.count() > 0;
    return since
        && decision::endsPreferences({now - *since,
                                      step.longRunning,
                                      candidate.job->assignedCount() > 0,
                                      usedShare(candidate.policy->service, accelerators)});
}

PlacementNeed JobEngine::needOf(const Candidate &candidate, const std::vector<std::size_t> &tasks, MonotonicTime now)
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    PlacementNeed need;
    need.tasks = tasks.size();
    need.perTask = step.reservedResources();
    need.service = candidate.policy->service;
    need.requiredLabel = step.requiredLabel;
    need.dataRack = step.dataRack;
    need.sameRack = step.gang && step.sameRack;
    // Room that was freed for the step may be on any worker.
    const bool hasClaim
        = !step.gang && m_claims.count({candidate.job->spec.id, candidate.occurrence, candidate.step}) > 0;
    need.preferencesEnd = hasClaim || endsPreferences(candidate, now);
    need.urgent = candidate.policy->priority == 0;
    need.minimumSpeed = need.preferencesEnd ? 0 : minimumSpeed(candidate, now);
    need.preferSlow = !need.urgent && unevenSpeeds(need.service) != nullptr && canRunOnSlowWorkers(candidate, now);
    need.maximumPerWorker = step.maximumPerWorker;
    need.maximumRunsPerWorker = candidate.allowance.runsPerWorker;
    if (candidate.policy->needsAdvice) {
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
    const auto isReservedForGang = [](const BoardEntry &entry) {
        return entry.reservedForGang;
    };
    const auto reservedCount = std::count_if(board.entries().begin(), board.entries().end(), isReservedForGang);
    const auto all = static_cast<double>(board.entries().size());
    if (static_cast<double>(reservedCount) > MaximumGangReserveShare * all) {
        return;
    }
    m_planningBudget.spend(board.entries().size());
    const std::vector<std::size_t> room = entriesToReserve(board, need);
    if (static_cast<double>(room.size()) > MaximumReserveShareOfOneGang * all) {
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
    // Room only shrinks during a pass, so what found none before finds none again.
    const bool comparable = !need.approved && need.placedTasks.empty();
    const NeedKey key{need.service,
                      need.requiredLabel,
                      need.dataRack,
                      need.perTask,
                      gang ? need.tasks : 1,
                      need.maximumPerWorker,
                      need.maximumRunsPerWorker,
                      need.minimumSpeed,
                      {gang,
                       need.sameRack,
                       need.preferencesEnd,
                       need.urgent,
                       need.excludeFailing,
                       need.requireCompletedRun,
                       need.requireProven}};
    if (comparable && m_fullNeeds.count(key) > 0) {
        m_planningBudget.spend(1);
        return {};
    }
    m_planningBudget.spend(board.entries().size());
    std::vector<std::size_t> entries = gang ? placeTogether(board, need) : placeEach(board, need);
    if (comparable && entries.empty()) {
        m_fullNeeds.insert(key);
    }
    return entries;
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

JobEngine::PlaceOutcome JobEngine::place(Candidate candidate, PlacementBoard &board, MonotonicTime now)
{
    const decision::RunCounts counts{m_workers.runCount(), board.entries().size()};
    candidate.allowance = decision::sharedRuns(counts);
    const PlaceOutcome outcome = placeWithinAllowance(candidate, board, now);
    if (outcome != PlaceOutcome::NoRoom || candidate.job->assignedCount() > 0) {
        return outcome;
    }
    const bool anyFull = std::any_of(board.entries().begin(), board.entries().end(), [](const BoardEntry &entry) {
        return decision::hasNoSharedRuns(entry.runs);
    });
    if (candidate.allowance.tasks > 0 && !anyFull) {
        return outcome;
    }
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    candidate.allowance = decision::firstRuns(counts, step.gang ? step.tasks : 1);
    return placeWithinAllowance(candidate, board, now);
}

JobEngine::PlaceOutcome JobEngine::placeWithinAllowance(const Candidate &candidate,
                                                        PlacementBoard &board,
                                                        MonotonicTime now)
{
    std::vector<std::size_t> tasks = waitingTasks(candidate);
    const bool gang = candidate.job->spec.steps[candidate.step].gang;
    if (candidate.allowance.tasks == 0 || (gang && tasks.size() > candidate.allowance.tasks)) {
        return PlaceOutcome::NoRoom;
    }
    tasks.resize(std::min(tasks.size(), candidate.allowance.tasks));
    const ClaimKey claimKey{candidate.job->spec.id, candidate.occurrence, candidate.step};
    const auto claim = m_claims.find(claimKey);
    if (claim != m_claims.end()) {
        applyClaim(claim->second, board, false);
        m_fullNeeds.clear();
    }
    const std::size_t waitingBefore = tasks.size();
    std::vector<std::size_t> entries;
    if (claim != m_claims.end() && gang && !tasks.empty()) {
        entries = placeOnClaim(claim->second, board);
    }
    const bool preferProven = m_waveInPass || (m_provenMarked && hasFailed(candidate, tasks));
    if (preferProven && entries.empty() && !tasks.empty()) {
        placeOnProvenWorkers(candidate, tasks, board, now);
    }
    const bool onProven = tasks.size() < waitingBefore;
    if (tasks.empty()) {
        m_claims.erase(claimKey);
        return onProven ? PlaceOutcome::Placed : PlaceOutcome::NoRoom;
    }
    PlacementNeed need = needOf(candidate, tasks, now);
    if (need.minimumSpeed > 0 && !canHold(board, need)) {
        need.minimumSpeed = 0;
    }
    // A retry prefers workers that have completed a run, because another failure may fail the job.
    need.requireCompletedRun = hasFailed(candidate, tasks);
    need.excludeFailing = gang && candidate.policy->priority == 0;
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
            return PlaceOutcome::Reclaimed;
        }
        // The start of guaranteed work matters more than its speed.
        need.minimumSpeed = 0;
        entries = findRoom(need, gang, board);
    }
    assignTo(candidate, tasks, entries, board, now);
    if (need.approved && entries.size() < tasks.size()) {
        proposeQuestion(candidate, need, tasks.size() - entries.size(), board, now);
    }
    if (entries.empty() && gang && !need.urgent && !candidate.late) {
        reserveForGang(need, board);
    }
    if (entries.size() == tasks.size() || !mayPreempt(candidate, now)) {
        m_claims.erase(claimKey);
        return onProven || !entries.empty() ? PlaceOutcome::Placed : PlaceOutcome::NoRoom;
    }
    if (claim != m_claims.end() && entries.empty()) {
        applyClaim(claim->second, board, true);
        return PlaceOutcome::Reclaimed;
    }
    PlacementNeed missing = needOf(candidate, waitingTasks(candidate), now);
    missing.minimumSpeed = need.minimumSpeed;
    if (reclaim(candidate, missing, board, now)) {
        return PlaceOutcome::Reclaimed;
    }
    return onProven || !entries.empty() ? PlaceOutcome::Placed : PlaceOutcome::NoRoom;
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
    m_planningBudget.spend(workers.size() * decision::PlanningBudget::WorkPerAssignment);
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
        run.resources = step.reservedResources();
        const RunKey runKey{run.task, run.number};
        m_workers.addRun(worker, std::move(run));
        job.pendingStarts[candidate.occurrence].emplace_back(workers[i], runKey);
    }
    job.waitingSince.erase({candidate.occurrence, candidate.step});
    job.dirtyOccurrences.insert(candidate.occurrence);
    m_dirtyJobs.insert(job.spec.id);
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
              {"priority", candidate.policy->priority},
              {"late", candidate.late},
              {"slowest_worker", slowestSpeed(workers)},
              {"slack_ms", std::chrono::duration_cast<std::chrono::milliseconds>(candidate.objective - now).count()},
              {"configuration", m_catalogue->version}});
}

} // namespace coriander::workflow
