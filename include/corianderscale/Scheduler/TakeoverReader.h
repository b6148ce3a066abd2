#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Scheduler/CivilDay.h"
#include "corianderscale/Scheduler/SchedulerCore.h"

#include <optional>
#include <string>

namespace coriander {

/**
 * Reads the stored state that a new owner needs: job rows, the usage rows of three days, and the newest snapshot.
 *
 * Blocks until the store has answered. Returns no value and sets @p reason when job or usage rows cannot be read. A
 * snapshot that cannot be read is left out, because job rows and workers provide the same information. Thread safety:
 * any thread except those that complete store calls, which would deadlock.
 */
std::optional<TakeoverState> readTakeover(
    Store &store, const DataCentreId &dataCentre, const CivilDays &days, const Clock &clock, std::string &reason);

} // namespace coriander
