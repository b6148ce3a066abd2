#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Work of a proposed question for each worker on the board, beside looking for room. */
constexpr std::size_t ProposalWorkPerWorker = 2;

} // namespace

bool JobEngine::mayPreempt(const Candidate &candidate, MonotonicTime now) const
{
    const StepSpec &step = candidate.job->spec.steps[candidate.step];
    const bool urgent = candidate.policy->priority == 0 && step.gang;
    const std::optional<MonotonicTime> since = waitingSince(candidate);
    const bool lastingWaits = step.longRunning && since && now - *since > m_times.lastingWait;
    return candidate.guaranteed || urgent || lastingWaits;
}

void JobEngine::proposeQuestion(const Candidate &candidate,
                                const PlacementNeed &need,
                                std::size_t missing,
                                PlacementBoard &board,
                                MonotonicTime now)
{
    if (!m_advice.canAsk()) {
        return;
    }
    Job &job = *candidate.job;
    const StepIndex index{candidate.occurrence, candidate.step};
    AdviceQuestion question;
    question.step = stepKey(candidate);
    question.gang = job.spec.steps[candidate.step].gang;
    question.request.waitsSince = waitingSince(candidate).value_or(now);
    if (const auto askedAt = job.adviceAskedAt.find(index); askedAt != job.adviceAskedAt.end()) {
        question.request.waitsSince = std::max(question.request.waitsSince, askedAt->second);
    }
    question.need = needOf(candidate, job.waitingTasks(index, missing), now);
    question.need.minimumSpeed = need.minimumSpeed;
    question.need.approved = m_advice.possible(question.step, m_workers);
    m_planningBudget.spend(board.entries().size() * ProposalWorkPerWorker);
    question.entries = findRoom(question.need, question.gang, board);
    returnRoom(board, question.need, question.entries);
    if (!question.entries.empty()) {
        question.request.use
            = candidate.rank < UrgentRank ? decision::AdviceUse::UrgentStart : decision::AdviceUse::Start;
    } else if (mayPreempt(candidate, now)) {
        if (const std::optional<ReclaimPlan> plan = findReclaim(candidate, question.need, board, now)) {
            question.entries = plan->entries;
            question.request.use = decision::AdviceUse::Preempt;
        }
    }
    m_advice.propose(std::move(question), board);
}

void JobEngine::askAdvisor(const PlacementBoard &board, MonotonicTime now)
{
    const std::optional<StepKey> asked = m_advice.askFirst(board);
    if (Job *job = asked ? findJob(asked->job) : nullptr) {
        job->adviceAskedAt[{asked->occurrence, asked->step}] = now;
    }
}

} // namespace coriander::workflow
