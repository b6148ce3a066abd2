#pragma once

#include "corianderscale/Decision/Policy.h"

#include <optional>

namespace coriander::decision {

/** Chooses the first workers that fit: by joining order, or rack by rack for one-rack gangs. Pure function. */
std::optional<GangParts> placeFirstFit(const Fleet &fleet, const PlacementRequest &request);

/** Chooses the workers with the least free resources that fit. Pure function. */
std::optional<GangParts> placeBestFit(const Fleet &fleet, const PlacementRequest &request);

/**
 * Chooses workers so that the fleet fragments least: gangs go to the rack with the fewest free accelerators, partly
 * used workers are filled first, and workers whose accelerators are all free last. Jobs without accelerators prefer
 * workers with few accelerators. Pure function.
 */
std::optional<GangParts> placeTightest(const Fleet &fleet, const PlacementRequest &request);

/** Whether the gang could run on the given workers if they were empty. Pure function. */
bool fitsWhenEmpty(const std::vector<const FleetWorker *> &workers, const PlacementRequest &request);

} // namespace coriander::decision
