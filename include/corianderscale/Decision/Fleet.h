#pragma once

#include "corianderscale/Decision/Job.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace coriander::decision {

enum class WorkerState {
    /** An unused entry of the table. */
    Vacant,
    Live,
    Draining,
    Lost,
};

/** A worker and the load placed on it. */
struct FleetWorker {
    WorkerSpec spec;
    std::uint32_t rack = 0;
    WorkerState state = WorkerState::Vacant;
    bool quarantined = false;
    /** Held by gangs in any state except waiting; may exceed the capacity while preempted gangs stop. */
    Resources used;
    /** Accelerators pinned for guarantees, whether claimed or not. */
    std::int64_t pinned = 0;
    /** Accelerators used by jobs that run on a guarantee. */
    std::int64_t claimed = 0;
    /** Accelerators used by jobs that cannot checkpoint and lose their work when they are stopped. */
    std::int64_t nonCheckpointable = 0;
    std::vector<Job *> jobs;
    MonotonicTime lostSince = NeverDue;
};

struct FleetRack {
    RackId id;
    /** Ordered by position. */
    std::vector<WorkerIndex> workers;
    /** Unused accelerators of usable workers. */
    std::int64_t freeAccelerators = 0;
};

Resources operator+(const Resources &left, const Resources &right);
Resources operator-(const Resources &left, const Resources &right);
Resources operator*(const Resources &resources, std::int64_t factor);

/** How many tasks of @p size fit into @p free at once, at most @p most. */
std::int64_t countFitting(const Resources &free, const Resources &size, std::int64_t most);

/**
 * Racks and workers of one data centre and what is placed on them.
 *
 * Thread safety: not thread safe.
 */
class Fleet
{
public:
    /** Adds a worker, or makes a known one live again with a new capacity. */
    WorkerIndex join(const WorkerSpec &spec);
    void setState(WorkerIndex worker, WorkerState state, MonotonicTime now);
    void setQuarantined(WorkerIndex worker, bool quarantined);
    /** Removes workers that were lost at or before @p horizon and hold no jobs. */
    void removeLost(MonotonicTime horizon);

    /** Allocates the resources of the job's parts on its workers. */
    void allocate(Job &job);
    /** Undoes allocate() and clears the parts. */
    void deallocate(Job &job);

    std::optional<WorkerIndex> find(const WorkerId &id) const;
    bool usable(WorkerIndex worker) const
    {
        const FleetWorker &entry = m_workers[worker];
        return entry.state == WorkerState::Live && !entry.quarantined;
    }
    /** Unused resources; may be negative while preempted gangs stop. */
    Resources free(WorkerIndex worker) const;
    const FleetWorker &worker(WorkerIndex worker) const
    {
        return m_workers[worker];
    }
    FleetWorker &worker(WorkerIndex worker)
    {
        return m_workers[worker];
    }
    const std::vector<FleetWorker> &workers() const
    {
        return m_workers;
    }
    const std::vector<FleetRack> &racks() const
    {
        return m_racks;
    }
    /** Capacity of all usable workers. */
    const Resources &usableCapacity() const
    {
        return m_usableCapacity;
    }
    std::int64_t usableWorkers() const
    {
        return m_usableWorkers;
    }
    /** Returns the worker of each task, in the order of the parts. */
    GangPlacement expand(const GangParts &parts) const;

private:
    std::uint32_t rackOf(const RackId &id);
    void updateUsableTotals(WorkerIndex worker, std::int64_t sign);
    void charge(WorkerIndex worker, const Resources &amount, std::int64_t sign);

    std::vector<FleetWorker> m_workers;
    std::vector<FleetRack> m_racks;
    std::vector<WorkerIndex> m_vacant;
    std::unordered_map<WorkerId, WorkerIndex> m_byId;
    std::unordered_map<RackId, std::uint32_t> m_rackById;
    Resources m_usableCapacity;
    std::int64_t m_usableWorkers = 0;
};

} // namespace coriander::decision
