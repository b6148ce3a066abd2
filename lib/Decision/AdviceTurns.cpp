#include "corianderscale/Decision/AdviceTurns.h"

#include <algorithm>
#include <tuple>

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
/** Maximum number of times that the limit is doubled. */
constexpr std::size_t MaximumDoublings = 3;

} // namespace

const char *adviceUseName(AdviceUse use)
{
    switch (use) {
    case AdviceUse::UrgentStart:
        return "urgent-start";
    case AdviceUse::Start:
        return "start";
    case AdviceUse::Preempt:
        return "preempt";
    case AdviceUse::Later:
        return "later";
    }
    return "unknown";
}

bool AdviceTurns::comesBefore(const AdviceRequest &left, const AdviceRequest &right) const
{
    const auto order = [this](const AdviceRequest &request) {
        return std::tuple(request.use == AdviceUse::Later,
                          m_lastTurn[static_cast<std::size_t>(request.use)],
                          request.use,
                          request.waitsSince);
    };
    return order(left) < order(right);
}

void AdviceTurns::asked(AdviceUse use)
{
    m_lastTurn[static_cast<std::size_t>(use)] = ++m_questions;
}

std::size_t workersPerQuestion(const AdviceNeed &need)
{
    const std::size_t few = std::clamp(WorkersPerNeeded * need.workers, MinimumWorkers, UsualWorkers);
    const std::size_t usual = need.othersWait ? few : UsualWorkers;
    return need.together ? std::clamp(need.workers, usual, MaximumAdviceWorkers) : usual;
}

Duration adviceTimeLimit(std::size_t workers, std::size_t unanswered)
{
    const Duration usual = AnswerTimeLimit + AnswerTimeLimitPerWorker * static_cast<std::int64_t>(workers);
    return usual * (std::int64_t(1) << std::min(unanswered, MaximumDoublings));
}

} // namespace coriander::decision
