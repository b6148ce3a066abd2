#pragma once

#include "corianderscale/Decision/Job.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace coriander::decision {

/** Failures a worker must show within FailureWindow before it is compared with the others. */
inline constexpr std::size_t FailuresToSuspect = 3;
inline constexpr Duration FailureWindow = std::chrono::hours(6);
/** Workers on which a kind must have failed, without success, to be held a bad kind. */
inline constexpr std::size_t WorkersToBlameKind = 3;
/** First wait before a worker in quarantine is probed; doubled after each failed probe up to the longest. */
inline constexpr Duration FirstProbe = std::chrono::minutes(5);
inline constexpr Duration LongestProbe = std::chrono::hours(2);
/** Probes that must succeed in a row before the worker is let back. */
inline constexpr std::int64_t ProbesToRelease = 2;
/** Share of the fleet that may be in quarantine at once, as a divisor: one worker in eight. */
inline constexpr std::int64_t QuarantineDivisor = 8;

/**
 * Tells bad workers from bad jobs by comparison: a failure counts against a worker only when the same kind of job does
 * not fail everywhere, and only while the worker fails more often than it succeeds.
 *
 * Thread safety: not thread safe.
 */
class Quarantine
{
public:
    void recordSuccess(const Job &job, const GangParts &parts);
    void recordFailure(const Job &job, WorkerIndex worker, MonotonicTime now);
    /** The worker refused or did not answer a start. */
    void recordRefusal(const Job &job, WorkerIndex worker, MonotonicTime now);

    /** Whether the worker should be taken out; @p reason then says why. */
    bool suspicious(WorkerIndex worker, MonotonicTime now, std::string &reason) const;

    void admit(WorkerIndex worker, MonotonicTime now);
    /** Returns whether the worker is to be released. */
    bool recordProbe(WorkerIndex worker, bool succeeded, MonotonicTime now);
    void forget(WorkerIndex worker);

    bool contains(WorkerIndex worker) const
    {
        return m_quarantined.contains(worker);
    }
    std::size_t size() const
    {
        return m_quarantined.size();
    }
    /** A worker that is due for a probe and has none running. */
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
    struct Probation {
        MonotonicTime nextProbe{};
        Duration wait{};
        std::int64_t succeeded = 0;
        bool probing = false;
    };

    void record(const std::string &kind, WorkerIndex worker, MonotonicTime now);
    bool badKind(const std::string &kind) const;

    std::unordered_map<WorkerIndex, History> m_histories;
    std::unordered_map<std::string, Kind> m_kinds;
    std::map<WorkerIndex, Probation> m_quarantined;
};

} // namespace coriander::decision
