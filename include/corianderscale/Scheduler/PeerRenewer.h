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
 * Renews the leases of a snapshot's gangs while the store is away and no owner is heard of.
 *
 * Each round first asks all workers and then renews the gangs of which every member answered and runs, so that a gang
 * is renewed wholly or not at all. It places, moves and stops nothing. Precondition: times never go backwards. Thread
 * safety: not thread safe.
 */
class PeerRenewer
{
public:
    PeerRenewer(InstanceId self, const SchedulerTiming &timing);

    /** Takes a snapshot of an owner, or of this instance when it was the owner. Older ones are ignored. */
    void offer(const Snapshot &snapshot, MonotonicTime now);

    /** The newest snapshot, if any. */
    const std::optional<Snapshot> &snapshot() const
    {
        return m_snapshot;
    }

    /**
     * The requests that are due. @p mayRenew says that the store is away and this instance is not the owner. Renewal
     * begins when no owner has offered a snapshot for one interval.
     */
    std::vector<WorkerRequest> takeRequests(bool mayRenew, Instant at);

    /** The answer to a request, or none. */
    void answered(const WorkerId &worker, std::int64_t request, const std::optional<WorkerReport> &report);

    /** Whether rounds take place. */
    bool isActive() const
    {
        return m_active;
    }

private:
    struct Peer {
        /** Request of the present phase that awaits its answer; 0 for none. */
        std::int64_t request = 0;
        bool heard = false;
        bool refused = false;
        /** Tasks that run, or have ended well. */
        std::set<TaskId> tasks;
        /** Tasks that run. */
        std::set<TaskId> active;
    };

    enum class Phase {
        Waiting,
        Asking,
    };

    std::vector<WorkerRequest> ask(Instant at);
    std::vector<WorkerRequest> renew(Instant at);
    WorkerRequest makeRequest(const SnapshotWorker &worker, const std::set<JobId> &excepted, Instant at);
    bool isWhole(const SnapshotGang &gang) const;
    bool allAnswered() const;

    InstanceId m_self;
    SchedulerTiming m_timing;
    std::optional<Snapshot> m_snapshot;
    MonotonicTime m_offeredAt{};
    bool m_active = false;
    Phase m_phase = Phase::Waiting;
    MonotonicTime m_phaseUntil{};
    MonotonicTime m_nextRound{};
    std::int64_t m_nextRequest = 1;
    std::map<WorkerId, Peer> m_peers;
};

} // namespace coriander
