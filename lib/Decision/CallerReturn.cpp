#include "corianderscale/Decision/CallerReturn.h"

#include <algorithm>

namespace coriander::decision {

namespace {

/** Time that the last try needs: the way to another instance, a write to the store and the way back. */
constexpr Duration LastTryTime = std::chrono::milliseconds(200);
/** Upper limit of the wait; the store is rarely away for longer. */
constexpr std::chrono::seconds LongestWait{8};

} // namespace

std::chrono::seconds callerReturnAfter(const CallerReturnInputs &inputs)
{
    const auto possible = std::chrono::floor<std::chrono::seconds>(inputs.remaining - LastTryTime);
    if (possible < std::chrono::seconds(1)) {
        return std::chrono::seconds(0);
    }
    const auto expected
        = std::clamp(std::chrono::floor<std::chrono::seconds>(inputs.outage), std::chrono::seconds(1), LongestWait);
    // Leaves time for one more try after the next one.
    const auto half = std::max(possible / 2, std::chrono::seconds(1));
    return std::min(expected, half);
}

} // namespace coriander::decision
