#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"
#include "corianderscale/Workflow/Reclaim.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Number of cores that weigh as much as one accelerator in the cost of lost work; the users' price counts the same. */
constexpr double CoresPerAccelerator = 8;

double coreEquivalents(const decision::Resources &resources)
{
    return static_cast<double>(resources.cores.count()) / 1000.0
        + CoresPerAccelerator * static_cast<double>(resources.accelerators.count());
}

std::int64_t largestStepAccelerators(const JobSpec &job)
{
    std::int64_t largest = 0;
    for (const StepSpec &step : job.steps) {
        largest = std::max(largest, static_cast<std::int64_t>(step.tasks) * step.perTask.accelerators.count());
    }
    return largest;
}

/** Factor of the cost of a run of the claimant's own priority, which is stopped only where others do not make room. */
constexpr double SamePriorityReluctance = 100;

/** Planning a preemption compares the runs of each worker too. */
constexpr std::size_t ReclaimWorkPerWorker = 8;

/** Urgent work beyond a guarantee preempts other runs only if they lose at most this share of its own work. */
constexpr double MaximumLostWorkShare = 0.7;

} // namespace

void JobEngine::applyClaim(const Claim &claim, PlacementBoard &board, bool taken)
{
    for (const WorkerId &worker : claim.workers) {
        if (const std::optional<std::size_t> entry = board.find(worker)) {
            decision::Resources &room = board.entries()[*entry].room;
            room = taken ? minus(room, claim.perTask) : plus(room, claim.perTask);
        }
    }
}

std::vector<std::size_t> JobEngine::placeOnClaim(const Claim &claim, PlacementBoard &board)
{
    std::vector<std::size_t> entries;
    for (const WorkerId &worker : claim.workers) {
        const std::optional<std::size_t> entry = board.find(worker);
        const bool fits
            = entry && board.entries()[*entry].open && fitsInto(claim.perTask, board.entries()[*entry].room);
        if (!fits) {
            for (const std::size_t taken : entries) {
                board.entries()[taken].room = plus(board.entries()[taken].room, claim.perTask);
            }
            return {};
        }
        board.entries()[*entry].room = minus(board.entries()[*entry].room, claim.perTask);
        entries.push_back(*entry);
    }
    return entries;
}

void JobEngine::dropExpiredClaims(MonotonicTime now)
{
    std::erase_if(m_claims, [this, now](const auto &each) {
        const Job *job = this->job(std::get<JobId>(each.first));
        return job == nullptr || isFinal(job->state) || now - each.second.madeAt > m_times.claimTimeout;
    });
}

std::set<JobId> JobEngine::guaranteedJobs() const
{
    std::map<OrganisationId, std::vector<const Job *>> urgent;
    for (const auto &[id, job] : m_jobs) {
        if (job.spec.policy && job.spec.policy->priority == 0 && !isFinal(job.state)) {
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
            const std::int64_t wanted = largestStepAccelerators(job->spec);
            if (wanted <= left) {
                left -= wanted;
                covered.insert(job->spec.id);
            }
        }
    }
    return covered;
}

UrgentReserve::Demand JobEngine::urgentDemand() const
{
    std::map<ServiceName, std::int64_t> largestWorker;
    for (const auto &[id, worker] : m_workers.all()) {
        if (isEvacuated(worker)) {
            continue;
        }
        std::int64_t &largest = largestWorker[worker.report.service];
        largest = std::max(largest, worker.report.capacity.accelerators.count());
    }
    UrgentReserve::Demand demand;
    for (const auto &[id, job] : m_jobs) {
        if (!job.spec.policy || job.spec.policy->priority != 0 || isFinal(job.state)) {
            continue;
        }
        // Nothing is reserved for a job that no worker is large enough for.
        const std::int64_t largest = largestWorker[job.spec.policy->service];
        const bool canRun = std::all_of(job.spec.steps.begin(), job.spec.steps.end(), [largest](const StepSpec &step) {
            return step.perTask.accelerators.count() <= largest;
        });
        if (canRun) {
            demand[job.spec.policy->service] += largestStepAccelerators(job.spec);
        }
    }
    return demand;
}

std::optional<double> JobEngine::victimCost(const Run &run, const Candidate &claimant, MonotonicTime now) const
{
    const Job *job = findJobOf(run.task);
    if (job == nullptr || !job->spec.policy) {
        return std::nullopt;
    }
    const bool lower = job->spec.policy->priority > claimant.policy->priority;
    const bool beyondGuarantee = claimant.guaranteed && m_coveredJobs.count(run.task.job) == 0;
    if (!lower && !beyondGuarantee) {
        return std::nullopt;
    }
    const StepSpec &step = job->step(run.task);
    const double seconds = run.seenRunning ? std::chrono::duration<double>(now - run.runningSince).count() : 0.0;
    const double lost = step.checkpoints ? 1.0 : 1.0 + seconds;
    const double reluctance = lower ? 1.0 : SamePriorityReluctance;
    return coreEquivalents(run.resources) * lost * (step.gang ? static_cast<double>(step.tasks) : 1.0) * reluctance;
}

bool JobEngine::isWorthPreempting(const Candidate &candidate,
                                  const ReclaimPlan &plan,
                                  const PlacementBoard &board) const
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    if (step.longRunning) {
        return true; // Its work has no end, so an estimate says nothing.
    }
    const double seconds = std::chrono::duration<double>(step.estimate).count();
    const double ownWork = coreEquivalents(step.perTask) * seconds * static_cast<double>(step.tasks);
    if (plan.cost > ownWork * MaximumLostWorkShare) {
        return false;
    }
    if (!step.sameRack) {
        return true;
    }
    return std::all_of(plan.entries.begin(), plan.entries.end(), [&plan, &board](std::size_t entry) {
        return board.entries()[entry].rack == board.entries()[plan.entries.front()].rack;
    });
}

std::optional<ReclaimPlan> JobEngine::findReclaim(const Candidate &candidate,
                                                  const PlacementNeed &need,
                                                  const PlacementBoard &board,
                                                  MonotonicTime now)
{
    m_planningBudget.spend(board.entries().size() * ReclaimWorkPerWorker);
    std::optional<ReclaimPlan> plan = planReclaim(board, need, [this, &candidate, now](const Worker &, const Run &run) {
        return victimCost(run, candidate, now);
    });
    const bool mustBegin = candidate.guaranteed && need.minimumSpeed == 0;
    if (plan && !mustBegin && !isWorthPreempting(candidate, *plan, board)) {
        plan.reset();
    }
    return plan;
}

bool JobEngine::reclaim(const Candidate &candidate, const PlacementNeed &need, PlacementBoard &board, MonotonicTime now)
{
    std::optional<ReclaimPlan> plan;
    if (!need.dataRack.empty()) {
        // The tasks take several times as long elsewhere.
        PlacementNeed inDataRack = need;
        inDataRack.onlyDataRack = true;
        plan = findReclaim(candidate, inDataRack, board, now);
    }
    if (!plan) {
        plan = findReclaim(candidate, need, board, now);
    }
    if (!plan) {
        return false;
    }
    for (const auto &[worker, key] : plan->victims) {
        logEvent(LogLevel::Info,
                 "run-preempted",
                 {{"task", toString(key.first)},
                  {"run", key.second},
                  {"worker", worker},
                  {"for_job", candidate.job->spec.id},
                  {"organisation", candidate.job->spec.organisation}});
        ++m_counts.preempted;
        stopRun(worker, key);
        Job *victim = findJobOf(key.first);
        if (victim != nullptr && victim->step(key.first).gang) {
            stopGang(*victim, key.first, key.second);
        }
    }
    Claim claim;
    claim.perTask = need.perTask;
    claim.madeAt = now;
    for (const std::size_t entry : plan->entries) {
        claim.workers.push_back(board.entries()[entry].worker->report.id);
    }
    applyClaim(claim, board, true);
    m_claims[{candidate.job->spec.id, candidate.occurrence, candidate.step}] = std::move(claim);
    return true;
}

} // namespace coriander::workflow
