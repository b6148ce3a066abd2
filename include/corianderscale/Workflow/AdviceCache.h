#pragma once

#include "corianderscale/Decision/AdvicePace.h"
#include "corianderscale/Decision/AdviceTurns.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Advisor.h"
#include "corianderscale/Workflow/Placement.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander::workflow {

/** A question that a planning pass would ask about a waiting step. */
struct AdviceQuestion {
    StepKey step;
    decision::AdviceRequest request;
    PlacementNeed need;
    /** Entries of the board that the step would use if their workers were approved, one for each task; empty if it has
     * to wait for room. */
    std::vector<std::size_t> entries;
    /** Whether all tasks start together, so that all their approvals have to be valid at the same time. */
    bool gang = false;
};

/**
 * Caches the advisor's answers by step and worker, and sends one question at a time: the one of each part of a planning
 * pass that comes first by decision::AdviceTurns.
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

    /** The workers that the advisor has not refused for the step; no value if it has refused none. */
    std::optional<std::set<WorkerId>> possible(const StepKey &step, const WorkerTable &workers) const;

    /** @name Questions of a part of a planning pass, which all have the same board */
    ///@{
    /** Drops the questions of earlier parts. */
    void beginPart();
    /** Whether a question can be sent now. */
    bool canAsk() const;
    /** Proposes a question; ignored unless canAsk() and an answer would say anything new. */
    void propose(AdviceQuestion question, const PlacementBoard &board);
    /** Sends the question that comes first, if any; returns its step. */
    std::optional<StepKey> askFirst(const PlacementBoard &board);
    ///@}

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
    const WorkerAdvice *find(const StepKey &step, const Worker &worker) const;
    /** Whether the advisor has to be asked before a task of the step starts on the worker; not if it was refused. */
    bool isOpen(const StepKey &step, const Worker &worker) const;
    /** The workers that a step needs an answer about before it can use @p question's entries. */
    std::vector<WorkerId> neededWorkers(const AdviceQuestion &question, const PlacementBoard &board) const;
    /** Further workers that could run a task of the step, the most useful ones first. With @p roomOnly those that have
     * room now. */
    std::vector<WorkerId> furtherWorkers(const AdviceQuestion &question,
                                         const PlacementBoard &board,
                                         bool roomOnly) const;
    void answered(const StepKey &step,
                  const std::map<WorkerId, Incarnation> &asked,
                  MonotonicTime sentAt,
                  const std::optional<Advice> &advice,
                  const std::string &reason);
    void storeAdvice(const StepKey &step,
                     const std::map<WorkerId, Incarnation> &asked,
                     MonotonicTime sentAt,
                     const Advice &advice);

    Clock m_clock;
    std::function<void()> m_answered;
    Advisor *m_advisor = nullptr;
    std::map<StepKey, StepAdvice> m_advice;
    decision::AdviceTurns m_turns;
    decision::AdvicePace m_pace;
    /** The question that comes first among those proposed, and the number of those that let a step start. */
    std::optional<AdviceQuestion> m_first;
    std::size_t m_proposedStarts = 0;
    bool m_questionInFlight = false;
    MonotonicTime m_nextAskAt;
    /** Earliest time of the next question for a step that has to wait for room. */
    MonotonicTime m_nextAskInAdvanceAt;
    /** Number of questions in a row without an answer. */
    std::size_t m_unanswered = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
