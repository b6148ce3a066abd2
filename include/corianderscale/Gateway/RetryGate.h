#pragma once

#include <functional>

namespace coriander {

/** The retry budget as the runs of requests use it. */
struct RetryGate {
    /** Counts a first send. */
    std::function<void()> noteSend;
    /** Takes one retry out of the budget; returns false when it is used up. */
    std::function<bool()> spend;
};

} // namespace coriander
