#include "corianderscale/Decision/PlacementPreference.h"

namespace coriander::decision {

namespace {

/** A job that could run stands still for at most 3 s; the rest is for its starts. */
constexpr Duration MaximumWait = std::chrono::milliseconds(2000);
/** A pool of which less is in use counts as idle. */
constexpr double IdleShare = 0.55;

} // namespace

bool endsPreferences(const PlacementWait &wait)
{
    // Each task that lasts serves users of its own, so neither other tasks nor a busy pool are a reason to wait.
    return wait.waited >= MaximumWait && (wait.lasts || (!wait.jobRuns && wait.usedShare < IdleShare));
}

} // namespace coriander::decision
