#pragma once

#include <functional>

namespace coriander {

/** Access of request runs to the retry budget. */
struct RetryBudgetHooks {
    /** Records the first send of a request. */
    std::function<void()> recordSend;
    /** Takes one retry from the budget; returns false when the budget is exhausted. */
    std::function<bool()> tryTakeRetry;
};

} // namespace coriander
