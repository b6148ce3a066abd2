#pragma once

#include "corianderscale/Support/Time.h"

#include <cstddef>

namespace coriander::decision {

/** Maximum number of workers that the advisor accepts in a question. */
constexpr std::size_t MaximumAdviceWorkers = 100;

/** What decides the number of workers in a question. */
struct AdviceNeed {
    /** Number of workers that the step would use and needs an answer about. */
    std::size_t workers = 0;
    /** Whether the step needs all of them at the same time. */
    bool together = false;
    /** Whether other steps wait for an answer that lets them start. */
    bool othersWait = false;
};

/**
 * Chooses the size and the time limit of questions to the advisor by how it answered earlier ones.
 *
 * Load pattern: an advisor that becomes several times slower, so that an answer arrives when its tickets have expired;
 * and answers that are lost.
 *
 * Thread safety: none.
 */
class AdvicePace
{
public:
    /** Maximum number of workers in the next question. A question about more workers takes longer, so it names few
     * while other steps wait or answers take a large part of the time for which they are valid. */
    std::size_t workersPerQuestion(const AdviceNeed &need) const;

    /** How long to wait for an answer about @p workers workers. */
    Duration timeLimit(std::size_t workers) const;

    /** Called when an answer about @p workers workers arrived that is valid for @p valid from its question on. */
    void answered(std::size_t workers, Duration took, Duration valid);

    /** Called when a question got no answer within its time limit, or failed. */
    void unanswered();

private:
    /** The time limit with this number of doublings. */
    static Duration limitAfter(std::size_t workers, std::size_t doublings);

    std::size_t m_usualWorkers = 30;
    /** How often the time limit is doubled, because answers were missing. */
    std::size_t m_doublings = 0;
};

} // namespace coriander::decision
