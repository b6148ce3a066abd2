#include "corianderscale/Decision/Evacuation.h"

namespace coriander::decision {

namespace {

/** Workers often leave a little later than announced. */
constexpr Duration UsualDelay = std::chrono::milliseconds(200);

} // namespace

bool shouldEvacuate(const LeavingRun &run)
{
    return run.timeToEnd > run.timeToLeave + UsualDelay;
}

} // namespace coriander::decision
