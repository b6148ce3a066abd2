#pragma once

#include "corianderscale/Decision/Job.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace coriander::decision {

/** Minimum number of failures within FailureWindow before a worker is suspected. */
inline constexpr std::size_t FailuresToSuspect = 3;
inline constexpr Duration FailureWindow = std::chrono::hours(6);
/** Number of workers on which a kind of job must fail, without a success in between, to be considered faulty. */
inline constexpr std::size_t WorkersToSuspectKind = 3;
/** Delay before the first probe of a quarantined worker; doubled after each failed probe, up to MaximumProbeDelay. */
inline constexpr Duration InitialProbeDelay = std::chrono::minutes(5);
inline constexpr Duration MaximumProbeDelay = std::chrono::hours(2);
/** Number of consecutive successful probes before the worker is released. */
inline constexpr std::int64_t SuccessfulProbesToRelease = 2;
/** At most one usable worker in this many may be in quarantine at once. */
inline constexpr std::int64_t QuarantineDivisor = 8;

/**
 * Distinguishes faulty workers from faulty jobs. A failure counts against a worker only if the same kind of job does
 * not fail on several other workers too, and a worker is suspected only while it fails more often than it succeeds.
 *
 * Thread safety: not thread safe.
 */
class Quarantine
{
public:
    void recordSuccess(const Job &job, const GangParts &parts);
    void recordFailure(const Job &job, WorkerIndex worker, MonotonicTime now);
    /** Records that the worker refused or did not answer a start. */
    void recordRefusal(const Job &job, WorkerIndex worker, MonotonicTime now);

    /** Whether the worker should be quarantined; if so, sets @p reason to the explanation. */
    bool isSuspect(WorkerIndex worker, MonotonicTime now, std::string &reason) const;

    void admit(WorkerIndex worker, MonotonicTime now);
    /** Returns whether the worker is to be released. */
    bool recordProbe(WorkerIndex worker, bool succeeded, MonotonicTime now);
    void removeWorker(WorkerIndex worker);

    bool contains(WorkerIndex worker) const
    {
        return m_quarantined.contains(worker);
    }
    std::size_t size() const
    {
        return m_quarantined.size();
    }
    /** Returns a quarantined worker whose next probe is due and that has no probe running. */
    std::optional<WorkerIndex> dueForProbe(MonotonicTime now) const;
    void beginProbe(WorkerIndex worker);

private:
    struct Failure {
        std::string kind;
        MonotonicTime at{};
    };
    struct History {
        std::deque<Failure> failures;
        std::int64_t successesSince = 0;
    };
    struct Kind {
        std::set<WorkerIndex> failedOn;
        std::int64_t successes = 0;
    };
    struct ProbeState {
        MonotonicTime nextProbe{};
        Duration delay{};
        std::int64_t succeeded = 0;
        bool probeRunning = false;
    };

    void record(const std::string &kind, WorkerIndex worker, MonotonicTime now);
    bool isFaultyKind(const std::string &kind) const;

    std::unordered_map<WorkerIndex, History> m_histories;
    std::unordered_map<std::string, Kind> m_kinds;
    std::map<WorkerIndex, ProbeState> m_quarantined;
};

} // namespace coriander::decision
