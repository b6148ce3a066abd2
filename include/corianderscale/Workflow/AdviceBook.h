#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Advisor.h"
#include "corianderscale/Workflow/Placement.h"

#include <map>
#include <memory>
#include <set>

namespace coriander::workflow {

/**
 * What the advisor said of workers and steps, and the next question to it.
 *
 * Thread safety: only on the thread of the event loop. Answers that come after destruction are dropped.
 */
class AdviceBook
{
public:
    /** @p answered is called when the advisor has answered. */
    AdviceBook(Clock clock, std::function<void()> answered);

    /** Without an advisor, steps that need advice wait. @p advisor must outlive this object. */
    void setAdvisor(Advisor *advisor);

    /** The workers that may run the step now. */
    std::set<WorkerId> approved(const StepKey &step, const WorkerBook &workers) const;

    /** The ticket for a start; empty when there is none. */
    std::string ticket(const StepKey &step, const Worker &worker) const;

    /** Asks about workers of @p board that could run a task of the step, unless a question is open. */
    void ask(const StepKey &step, const PlacementBoard &board, PlacementNeed need);

    /** The worker rejected the ticket. */
    void dropTicket(const StepKey &step, const WorkerId &worker);

    void forget(const JobId &job);

private:
    struct Opinion {
        Incarnation incarnation;
        bool good = false;
        std::string ticket;
        /** When a start with the ticket is sent at the latest. */
        MonotonicTime usableUntil;
    };

    bool usable(const Opinion &opinion, const Worker &worker) const;
    void take(const StepKey &step,
              const std::map<WorkerId, Incarnation> &asked,
              MonotonicTime sentAt,
              const Advice &advice);

    Clock m_clock;
    std::function<void()> m_answered;
    Advisor *m_advisor = nullptr;
    std::map<StepKey, std::map<WorkerId, Opinion>> m_opinions;
    bool m_asking = false;
    MonotonicTime m_nextAskAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
