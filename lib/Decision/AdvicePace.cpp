#include "corianderscale/Decision/AdvicePace.h"

#include <algorithm>

namespace coriander::decision {

namespace {

/** Number of workers in a question while no other step can start; the deployments' latency objectives allow for one
 * question about 30. */
constexpr std::size_t UsualWorkers = 30;
/** Number of workers in a question, for each that is needed, while other steps can start; some may not be approved. */
constexpr std::size_t WorkersPerNeeded = 2;
constexpr std::size_t MinimumWorkers = 6;

/** Several times what the deployments' advisors take for an answer: 0.2 s, and 20 ms for each worker. */
constexpr Duration AnswerTimeLimit = std::chrono::milliseconds(1000);
constexpr Duration AnswerTimeLimitPerWorker = std::chrono::milliseconds(40);
/** The limit is not doubled beyond this. */
constexpr Duration LongestTimeLimit = std::chrono::seconds(5);
constexpr std::size_t MaximumDoublings = 3;

} // namespace

std::size_t AdvicePace::workersPerQuestion(const AdviceNeed &need) const
{
    const std::size_t few = std::clamp(WorkersPerNeeded * need.workers, MinimumWorkers, UsualWorkers);
    const std::size_t usual = std::min(need.othersWait ? few : UsualWorkers, m_usualWorkers);
    return need.together ? std::clamp(need.workers, usual, MaximumAdviceWorkers) : usual;
}

Duration AdvicePace::limitAfter(std::size_t workers, std::size_t doublings)
{
    const Duration usual = AnswerTimeLimit + AnswerTimeLimitPerWorker * static_cast<std::int64_t>(workers);
    return std::max(usual, std::min(usual * (std::int64_t(1) << doublings), LongestTimeLimit));
}

Duration AdvicePace::timeLimit(std::size_t workers) const
{
    return limitAfter(workers, m_doublings);
}

void AdvicePace::answered(std::size_t workers, Duration took, Duration valid)
{
    // A limit that is lowered too early would miss the next answer of a slow advisor.
    if (m_doublings > 0 && took < limitAfter(workers, m_doublings - 1) / 2) {
        --m_doublings;
    }
    if (took > valid / 2) {
        m_usualWorkers = std::max<std::size_t>(std::min(m_usualWorkers, workers) / 2, 1);
    } else if (took < valid / 4) {
        m_usualWorkers = std::min(2 * m_usualWorkers, UsualWorkers);
    }
}

void AdvicePace::unanswered()
{
    m_doublings = std::min(m_doublings + 1, MaximumDoublings);
}

} // namespace coriander::decision
