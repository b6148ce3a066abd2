#pragma once

#include <functional>

namespace coriander {

/** Access of request runs to the retry budget. */
struct RetryGate {
    /** Records the first send of a request. */
    std::function<void()> noteSend;
    /** Takes one retry from the budget; returns false when the budget is exhausted. */
    std::function<bool()> spend;
};

} // namespace coriander
