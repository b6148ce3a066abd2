#pragma once

#include "corianderscale/Decision/Types.h"

#include <set>
#include <string>
#include <vector>

namespace coriander::policybench {

/** A job of a stream, with properties that the scheduler is not told. */
struct TimedJob {
    MonotonicTime at{};
    decision::JobRequest request;
    /** Real run time without interruptions. */
    Duration run{};
    /** Real use of one task. */
    decision::Resources use;
    /** Fails on every worker. */
    bool failsEverywhere = false;
    MonotonicTime cancelAt = NeverDue;
    /** Whether the job counts as measured work; jobs of a flood or of claims do not. */
    bool measured = true;
};

/** A change of the fleet at a given time. */
struct FleetChange {
    MonotonicTime at{};
    WorkerId worker;
    enum class Kind {
        Lost,
        Joined,
        Draining,
    } kind
        = Kind::Lost;
};

/** A scripted or seeded stream of events, the same for all policies. */
struct Stream {
    std::vector<decision::WorkerSpec> workers;
    std::vector<decision::OrganisationPolicy> organisations;
    std::vector<TimedJob> jobs;
    std::vector<FleetChange> changes;
    /** Workers on which every task fails. */
    std::set<WorkerId> badWorkers;
    /** End of the period over which time averages are taken. */
    MonotonicTime horizon{};
    /** Whether to continue after the horizon until all jobs have ended. */
    bool drain = true;
};

/** A site of section 1 of the design, or the design size of its section 3. */
struct Site {
    std::string name;
    std::vector<decision::WorkerSpec> workers;
    std::int64_t organisations = 4;
    std::int64_t largestGang = 32;
    std::int64_t accelerators = 0;
};

/** Returns `trinacria`, `saltmist` or `target`; no value for other names. */
std::optional<Site> makeSite(std::string_view name);

} // namespace coriander::policybench
