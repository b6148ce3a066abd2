#pragma once

#include "corianderscale/Decision/Scheduler.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "Decision/ExactPacking.h"

namespace coriander::decision::test {

/** State of a job as seen by the simulated workers. */
struct SimulatedJob {
    JobRequest request;
    std::int64_t attempt = 0;
    GangPlacement placement;
    bool starting = false;
    bool running = false;
    bool stopping = false;
    bool guaranteed = false;
    bool terminal = false;
    bool claimChecked = false;
    MonotonicTime stopBy = NeverDue;
    /** When a member was lost while others kept running. */
    MonotonicTime memberLostAt = NeverDue;
};

/**
 * Feeds a scheduler with a random but seeded history of one small data centre: joins, failures, drains, borrowed work,
 * preemption, cancellations and changed guarantees. Simulates the workers and checks the scheduler's invariants after
 * every event.
 */
class GeneratedHistory
{
public:
    explicit GeneratedHistory(std::uint64_t seed);

    /** Takes one step and returns the first violated invariant, or no value. */
    std::optional<std::string> step();
    /** Brings all workers back and lets all jobs end; every accepted job must reach a terminal state. */
    std::optional<std::string> finish();

private:
    struct SimulatedWorker {
        bool live = false;
        bool draining = false;
        bool quarantined = false;
    };

    std::int64_t randomInteger(std::int64_t minimum, std::int64_t maximum);
    bool randomBool(double probability);
    Event randomEvent();
    Event randomJob();
    Event randomOrganisations();
    std::optional<Event> randomGangEvent();
    void deliver(const Event &event);
    void apply(const Decision &decision);
    void loseWorker(const std::string &id);
    void checkStart(const StartGang &start);
    void checkInvariants();
    void checkGuarantees();
    void fail(const std::string &what);

    std::mt19937_64 m_random;
    Scheduler m_scheduler;
    MonotonicTime m_now{};
    std::map<std::string, WorkerSpec> m_specs;
    std::map<std::string, SimulatedWorker> m_workers;
    std::vector<OrganisationPolicy> m_organisations;
    std::map<std::string, SimulatedJob> m_jobs;
    std::set<std::string> m_impaired;
    std::int64_t m_nextJob = 0;
    /** Whether this event may take a guarantee away from a running job. */
    bool m_guaranteeMayMove = false;
    std::map<std::string, bool> m_checkedStates;
    std::optional<std::string> m_failure;
};

} // namespace coriander::decision::test
