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

    /** Whether the advisor was asked about the step and its advice is kept. */
    bool knows(const StepKey &step) const;

    /** Forgets the approval of a worker, after the worker rejected its ticket. */
    void dropTicket(const StepKey &step, const WorkerId &worker);

    void forget(const JobId &job);
    void forget(const StepKey &step);

    /** Maximum number of steps whose advice is kept. More can't be asked about before their tickets expire; for a step
     * that was left out the advisor is asked again. */
    static constexpr std::size_t MaximumSteps = 200;

private:
    struct WorkerAdvice {
        Incarnation incarnation;
        bool isApproved = false;
        std::string ticket;
        /** Time after which the ticket is not used any more. */
        MonotonicTime usableUntil;
    };

    /** The advice on one step. */
    struct StepAdvice {
        MonotonicTime askedAt;
        std::map<WorkerId, WorkerAdvice> workers;
    };

    /** The advice on the step, added if it is not known; the step that was asked about longest ago is left out for it.
     */
    StepAdvice &adviceOn(const StepKey &step);
    bool usable(const WorkerAdvice &workerAdvice, const Worker &worker) const;
    void storeAdvice(const StepKey &step,
                     const std::map<WorkerId, Incarnation> &asked,
                     MonotonicTime sentAt,
                     const Advice &advice);

    Clock m_clock;
    std::function<void()> m_answered;
    Advisor *m_advisor = nullptr;
    std::map<StepKey, StepAdvice> m_advice;
    bool m_questionInFlight = false;
    MonotonicTime m_nextAskAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
