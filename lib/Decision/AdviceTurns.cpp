#include "corianderscale/Decision/AdviceTurns.h"

#include <tuple>

namespace coriander::decision {

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

} // namespace coriander::decision
