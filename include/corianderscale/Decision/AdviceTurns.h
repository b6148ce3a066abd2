#pragma once

#include "corianderscale/Support/Time.h"

#include <array>
#include <cstddef>

namespace coriander::decision {

/** What a waiting step can do once the advisor approves workers for it. */
enum class AdviceUse {
    /** Start urgent tasks on workers that have room now. */
    UrgentStart,
    /** Start other tasks on such workers. */
    Start,
    /** Preempt runs on workers without room. */
    Preempt,
    /** Nothing before a worker has room. */
    Later,
};

constexpr std::size_t AdviceUseCount = 4;

/** Name for logs. */
const char *adviceUseName(AdviceUse use);

/** A waiting step that the advisor should be asked about. */
struct AdviceRequest {
    AdviceUse use = AdviceUse::Later;
    /** When the step began to wait or the advisor was last asked about it, whichever is later. */
    MonotonicTime waitsSince;
};

/**
 * Shares the time of the advisor, which handles one question at a time, among the steps of all queues. A step that has
 * to wait for room is asked about only while no other step can use an answer. The other uses take turns, so that none
 * of them keeps the rest from starting; within a use, the step that waits longest comes first.
 *
 * Load pattern: large jobs that come at once and wait for whole workers, beside small jobs of queues with advice, while
 * an answer about all workers takes a quarter of the time for which it is valid.
 *
 * Thread safety: none.
 */
class AdviceTurns
{
public:
    /** Whether the advisor should be asked about @p left before @p right. */
    bool comesBefore(const AdviceRequest &left, const AdviceRequest &right) const;

    /** Called when the advisor is asked about a step with this use. */
    void asked(AdviceUse use);

private:
    /** Number of the last question of each use; 0 if there was none. */
    std::array<std::size_t, AdviceUseCount> m_lastTurn{};
    std::size_t m_questions = 0;
};

} // namespace coriander::decision
