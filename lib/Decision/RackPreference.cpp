#include "corianderscale/Decision/RackPreference.h"

namespace coriander::decision {

namespace {

/** A job that could run stands still for at most 3 s; the rest is for its starts. */
constexpr Duration MaximumRackWait = std::chrono::milliseconds(2000);
/** A pool of which less is in use counts as idle. */
constexpr double IdleShare = 0.55;

} // namespace

bool mayLeaveRack(const RackWait &wait)
{
    return !wait.jobRuns && wait.waited >= MaximumRackWait && wait.usedShare < IdleShare;
}

} // namespace coriander::decision
