#pragma once

#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/SchedulerTiming.h"
#include "corianderscale/Scheduler/Snapshot.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coriander {

/**
 * Renews the leases of the gangs in a snapshot while the store is unavailable and no owner sends snapshots.
 *
 * Each round first queries all workers. It then renews the gangs whose workers all answered and whose tasks all run or
 * have succeeded, so that a gang is renewed on all its workers or on none. No gang is placed, moved or stopped.
 * Precondition: times never go backwards. Thread safety: not thread safe.
 */
class PeerRenewer
{
public:
    PeerRenewer(InstanceId self, const SchedulerTiming &timing);

    /**
     * Takes a snapshot from the owner, or from this instance when it was the owner. Snapshots older than the current
     * one are ignored.
     */
    void offer(const Snapshot &snapshot, MonotonicTime now);

    /** The newest snapshot passed to offer(), if any. */
    const std::optional<Snapshot> &snapshot() const
    {
        return m_snapshot;
    }

    /**
     * Returns the requests that are due. @p mayRenew: the store is unavailable and this instance is not the owner.
     * Renewal begins when no snapshot was offered for one renewal interval.
     */
    std::vector<WorkerRequest> takeRequests(bool mayRenew, Instant at);

    /** Handles the answer to a request; no report means that none came. */
    void handleAnswer(const WorkerId &worker, std::int64_t request, const std::optional<WorkerReport> &report);

    /** Whether leases are being renewed. */
    bool isActive() const
    {
        return m_active;
    }

private:
    struct WorkerStatus {
        /** Id of the outstanding request of the current phase; 0 for none. */
        std::int64_t request = 0;
        /** Whether the worker answered the last request. */
        bool hasAnswered = false;
        /** Whether the worker reported a later epoch than the snapshot's. */
        bool sawLaterEpoch = false;
        /** Tasks that run or have succeeded. */
        std::set<TaskId> runningOrSucceededTasks;
        /** Tasks that run or are stopping; the worker's task digest covers these. */
        std::set<TaskId> activeTasks;
    };

    enum class Phase {
        Waiting,
        Querying,
    };

    std::vector<WorkerRequest> queryWorkers(Instant at);
    std::vector<WorkerRequest> renewLeases(Instant at);
    WorkerRequest makeRequest(const SnapshotWorker &worker, const std::set<JobId> &excepted, Instant at);
    bool isRenewable(const SnapshotGang &gang) const;
    bool allAnswered() const;

    InstanceId m_self;
    SchedulerTiming m_timing;
    std::optional<Snapshot> m_snapshot;
    MonotonicTime m_offeredAt{};
    bool m_active = false;
    Phase m_phase = Phase::Waiting;
    MonotonicTime m_queryDeadline{};
    MonotonicTime m_nextRound{};
    std::int64_t m_nextRequest = 1;
    std::map<WorkerId, WorkerStatus> m_workers;
};

} // namespace coriander
