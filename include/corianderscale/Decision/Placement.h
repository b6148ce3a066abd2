#pragma once

#include "corianderscale/Decision/Policy.h"

#include <optional>

namespace coriander::decision {

/** The first workers in the order of joining that fit, rack by rack for rack gangs. Pure function. */
std::optional<GangParts> placeFirstFit(const Fleet &fleet, const PlacementRequest &request);

/** The workers with the least free resources that fit. Pure function. */
std::optional<GangParts> placeBestFit(const Fleet &fleet, const PlacementRequest &request);

/**
 * Small jobs go where they fragment least and gangs into the tightest rack: partly used workers first, workers whose
 * accelerators are all free last. Work without accelerators keeps away from workers that have them. Pure function.
 */
std::optional<GangParts> placeTightest(const Fleet &fleet, const PlacementRequest &request);

/** Whether the gang could run on the given workers if they were empty. Pure function. */
bool fitsEmpty(const std::vector<const FleetWorker *> &workers, const PlacementRequest &request);

} // namespace coriander::decision
