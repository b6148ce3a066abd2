#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Advisor.h"
#include "corianderscale/Workflow/Placement.h"

#include <map>
#include <memory>
#include <set>

namespace coriander::workflow {

/**
 * Caches the advisor's answers by step and worker, and sends one question at a time.
 *
 * Thread safety: only on the thread of the event loop. Answers that arrive after destruction are ignored.
 */
class AdviceCache
{
public:
    /** @p answered is called after each answer of the advisor and after each failed question. */
    AdviceCache(Clock clock, std::function<void()> answered);

    /** Without an advisor, steps that need advice wait. @p advisor must outlive this object. */
    void setAdvisor(Advisor *advisor);

    /** The workers with a valid approval for the step. */
    std::set<WorkerId> approved(const StepKey &step, const WorkerTable &workers) const;

    /** The ticket that a start on the worker has to carry; empty if there is none. */
    std::string ticket(const StepKey &step, const Worker &worker) const;

    /** Asks the advisor about workers of @p board that could run a task of the step, unless a question is in flight. */
    void ask(const StepKey &step, const PlacementBoard &board, PlacementNeed need);

    /** Forgets the approval of a worker, after the worker rejected its ticket. */
    void dropTicket(const StepKey &step, const WorkerId &worker);

    void forget(const JobId &job);

private:
    struct WorkerAdvice {
        Incarnation incarnation;
        bool isApproved = false;
        std::string ticket;
        /** Time after which the ticket is not used any more. */
        MonotonicTime usableUntil;
    };

    bool usable(const WorkerAdvice &workerAdvice, const Worker &worker) const;
    void storeAdvice(const StepKey &step,
                     const std::map<WorkerId, Incarnation> &asked,
                     MonotonicTime sentAt,
                     const Advice &advice);

    Clock m_clock;
    std::function<void()> m_answered;
    Advisor *m_advisor = nullptr;
    std::map<StepKey, std::map<WorkerId, WorkerAdvice>> m_advice;
    bool m_questionInFlight = false;
    MonotonicTime m_nextAskAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
