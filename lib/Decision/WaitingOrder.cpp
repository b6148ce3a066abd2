#include "corianderscale/Decision/WaitingOrder.h"

namespace coriander::decision {

namespace {

/** Ranks below that of every priority. */
constexpr double GuaranteedRank = -1;
constexpr double LastingRank = -0.5;
/** Number of priorities by which late work gives way, because it earns less than work in time. */
constexpr double LatePenalty = 1.5;

} // namespace

double waitingRank(const WaitingWork &work)
{
    if (work.guaranteed) {
        return GuaranteedRank;
    }
    if (work.lasting) {
        return LastingRank;
    }
    return work.priority + (work.endsAfter > work.objective ? LatePenalty : 0);
}

} // namespace coriander::decision
