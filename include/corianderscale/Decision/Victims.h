#pragma once

#include "corianderscale/Decision/Placement.h"

#include <functional>
#include <vector>

namespace coriander::decision {

/** Workers for a claimant and the jobs that have to stop first. */
struct VictimChoice {
    GangParts parts;
    std::vector<Job *> victims;
    double cost = 0;
};

/** Cost of preempting a job; NotPreemptible when it must not be preempted. */
using VictimCost = std::function<double(const Job &)>;

/**
 * Chooses workers for the request and the cheapest lent jobs whose stopping makes room there, or returns no value. Jobs
 * already stopping or assigned are never chosen. Thread safety: pure function.
 */
std::optional<VictimChoice> chooseVictims(const Fleet &fleet, const PlacementRequest &request, const VictimCost &cost);

/** The cheapest victims that make room for @p parts of tasks of @p size, or no value. Thread safety: pure function. */
std::optional<VictimChoice> chooseVictimsOn(const Fleet &fleet,
                                            const GangParts &parts,
                                            const Resources &size,
                                            const VictimCost &cost);

} // namespace coriander::decision
