#pragma once

#include "corianderscale/Decision/Fleet.h"

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace coriander::decision {

/** What the order of the queue may depend on. */
struct OrderInput {
    const Job *job = nullptr;
    /** Expected run time that is left. */
    Duration expectedRun{};
    /** Decayed service of the organisation by weight, relative to the mean of organisations; 1 is the mean. */
    double organisationShare = 0;
    /** The same for the caller among the callers of its organisation. */
    double callerShare = 0;
    Duration waited{};
};

/** Workers for a gang. */
struct PlacementRequest {
    std::int64_t tasks = 1;
    Resources size;
    Closeness closeness = Closeness::None;
    /** Whether the gang loses its work when it is stopped. */
    bool losesWork = false;
    /** Workers the gang must not use; sorted. */
    std::vector<WorkerIndex> avoid;
    /** When set, a worker with a non-zero entry is kept for another job. */
    const std::vector<char> *reserved = nullptr;
    /** A worker in quarantine that the job is to probe: a single task runs there, a gang may use it. */
    std::optional<WorkerIndex> probe;
    /** Free resources of a worker as the caller of the hook wants them seen; the fleet's when not set. */
    std::function<Resources(WorkerIndex)> freeOf;
};

struct VictimInput {
    const Job *victim = nullptr;
    const Job *claimant = nullptr;
    /** Whether the claimant takes its guarantee; then all lent work may be stopped. */
    bool claim = false;
    /** Time that would have to be run again. */
    Duration lost{};
    Duration victimLeft{};
    Duration claimantRun{};
    bool sameOrganisation = false;
    /** What organisation and caller hold now relative to their fair parts; 1 is fair. */
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
    std::int64_t guaranteed = 0;
    /** Accelerators of all usable workers not held by any guarantee. */
    std::int64_t notGuaranteed = 0;
    /** Accelerators held by organisations without guarantees and quota. */
    std::int64_t heldByOthers = 0;
};

/** Which jobs wait behind one that cannot start. */
enum class Blocking {
    /** None; later jobs are passed forward. */
    Nobody,
    /** The jobs of the same organisation. */
    Organisation,
    Everybody,
};

/** Cost of a victim that must not be stopped. */
inline constexpr double NotAVictim = std::numeric_limits<double>::infinity();

/**
 * A policy: hooks for what varies, and switches for the mechanisms it uses. All hooks must be set and pure.
 */
struct Policy {
    std::string name;
    /** Place of a job among the waiting jobs of its caller; lower first. Constant while the job waits. */
    std::function<double(const Job &, Duration expectedRun)> rank;
    /** Place of a job among the first jobs of all callers; lower first. */
    std::function<double(const OrderInput &)> order;
    std::function<std::optional<GangParts>(const Fleet &, const PlacementRequest &)> chooseWorkers;
    /** Cost of stopping a victim for a claimant, or NotAVictim. */
    std::function<double(const VictimInput &)> victimCost;
    /** Whether the job may start beyond its organisation's guarantee. */
    std::function<bool(const LendingInput &)> mayBorrow;
    Blocking blocking = Blocking::Nobody;
    /** Whether guarantees are pinned, claimed and reported. */
    bool honoursGuarantees = false;
    /** Whether urgent or under-served work may stop lent work. */
    bool preempts = false;
    /** Whether the first job that does not fit gets a reservation. */
    bool reserves = false;
    /** Whether learned sizes replace declared ones. */
    bool learns = false;
    /** Whether workers are compared, quarantined and probed. */
    bool quarantines = false;
    /** Share of the fleet that callers above their fair share leave free while others submit work. */
    double headroom = 0;
    /** Whether small jobs are moved to free whole workers. */
    bool compacts = false;
    /** Whether running gangs store periodic checkpoints. */
    bool checkpoints = false;
};

} // namespace coriander::decision
