#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Scheduler/CivilDay.h"
#include "corianderscale/Scheduler/SchedulerCore.h"

#include <optional>
#include <string>

namespace coriander {

/**
 * Reads what a new owner needs: job rows, the usage rows of three days, and the newest snapshot.
 *
 * Waits for the store. Returns no value with the reason when a row that is needed cannot be read; a snapshot that
 * cannot be read is left out, as rows and workers tell the same. Thread safety: any thread that completes no store
 * calls.
 */
std::optional<Takeover> readTakeover(
    Store &store, const DataCentreId &dataCentre, const CivilDays &days, const Clock &clock, std::string &reason);

} // namespace coriander
