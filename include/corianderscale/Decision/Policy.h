#pragma once

#include "corianderscale/Decision/Fleet.h"

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace coriander::decision {

/** Input of Policy::order. */
struct OrderInput {
    const Job *job = nullptr;
    /** Expected remaining run time. */
    Duration expectedRun{};
    /** Decayed service of the organisation divided by its weight, relative to the mean of all organisations. */
    double organisationShare = 0;
    /** Decayed service of the caller, relative to the mean of the callers of its organisation. */
    double callerShare = 0;
    Duration waited{};
};

/** What a gang needs from the workers chosen for it. */
struct PlacementRequest {
    std::int64_t tasks = 1;
    Resources size;
    Closeness closeness = Closeness::None;
    /** Whether the gang loses its work when it is stopped. */
    bool losesWork = false;
    /** Workers the gang must not use; sorted. */
    std::vector<WorkerIndex> avoidedWorkers;
    /** When set, a worker with a non-zero entry is kept for another job. */
    const std::vector<char> *reserved = nullptr;
    /** A quarantined worker that the job is to probe: a single task must run there, a gang may also run there. */
    std::optional<WorkerIndex> probe;
    /** Returns the free resources to assume for a worker; the fleet's are used when not set. */
    std::function<Resources(WorkerIndex)> freeOf;
};

struct VictimInput {
    const Job *victim = nullptr;
    const Job *claimant = nullptr;
    /** Whether the claimant claims its guarantee; any lent work may then be stopped. */
    bool claim = false;
    /** Run time of the victim that would have to be repeated. */
    Duration lostRunTime{};
    Duration victimRemaining{};
    Duration claimantRemaining{};
    bool sameOrganisation = false;
    /** Share that the organisation or caller holds now, divided by its fair share; 1 is fair. */
    double victimOrganisationShare = 0;
    double claimantOrganisationShare = 0;
    double victimCallerShare = 0;
    double claimantCallerShare = 0;
    Duration victimRan{};
    Duration claimantWaited{};
};

struct LendingInput {
    const Job *job = nullptr;
    std::int64_t heldByOrganisation = 0;
    std::int64_t quota = 0;
    /** Accelerators of all guarantees of the organisation. */
    std::int64_t guaranteedAccelerators = 0;
    /** Accelerators of all usable workers not held by any guarantee. */
    std::int64_t notGuaranteed = 0;
    /** Accelerators held by organisations without guarantees and quota. */
    std::int64_t heldByOthers = 0;
};

/** Which jobs have to wait behind a job that cannot start. */
enum class Blocking {
    /** None; later jobs may start first. */
    Nobody,
    /** The jobs of the same organisation. */
    Organisation,
    Everybody,
};

/** Cost of a job that must not be preempted. */
inline constexpr double NotPreemptible = std::numeric_limits<double>::infinity();

/**
 * A scheduling policy: hooks for the rules that differ between policies, and switches for the mechanisms it uses. All
 * hooks must be set and be pure functions.
 */
struct Policy {
    std::string name;
    /** Sort key of a job among the waiting jobs of its caller; lower first. Constant while the job waits. */
    std::function<double(const Job &, Duration expectedRun)> rank;
    /** Sort key of a job among the first jobs of all callers; lower first. */
    std::function<double(const OrderInput &)> order;
    std::function<std::optional<GangParts>(const Fleet &, const PlacementRequest &)> chooseWorkers;
    /** Cost of stopping a victim for a claimant, or NotPreemptible. */
    std::function<double(const VictimInput &)> victimCost;
    /** Whether the job may start beyond its organisation's guarantee. */
    std::function<bool(const LendingInput &)> mayBorrow;
    Blocking blocking = Blocking::Nobody;
    /** Whether guarantees are pinned, claimed and reported. */
    bool honoursGuarantees = false;
    /** Whether urgent jobs and jobs of under-served callers may preempt lent work. */
    bool preempts = false;
    /** Whether the first job that does not fit gets a reservation. */
    bool reserves = false;
    /** Whether learned sizes replace declared ones. */
    bool learns = false;
    /** Whether suspect workers are quarantined and probed. */
    bool quarantines = false;
    /** Share of accelerators that callers above their fair share leave free while callers below theirs submit work. */
    double headroom = 0;
    /** Whether jobs are moved so that whole workers become free. */
    bool compacts = false;
    /** Whether running gangs store periodic checkpoints. */
    bool checkpoints = false;
};

} // namespace coriander::decision
