#include "corianderscale/Decision/WorkerBlame.h"

namespace coriander::decision {

namespace {

constexpr int MinimumFailures = 2;

} // namespace

bool isWorkerToBlame(const FailuresOnWorker &failures)
{
    return failures.inRow >= MinimumFailures && (failures.jobs > 1 || !failures.jobFailsElsewhere);
}

} // namespace coriander::decision
