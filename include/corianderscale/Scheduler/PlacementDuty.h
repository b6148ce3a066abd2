#pragma once

#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Scheduler/SchedulerSettings.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace coriander {

/** An input of the core; runs on the placement thread. */
using CoreInput = std::function<void(SchedulerCore &core, Instant at)>;

/** Callbacks for the outputs of the core; called on the placement thread. Precondition: all are set. */
struct PlacementOutputs {
    std::function<void(WorkerRequest request)> send;
    std::function<void(StoreWrite write)> write;
    std::function<void(JobId job)> read;
    /** The placements have changed. */
    std::function<void(Snapshot snapshot)> snapshot;
    /** Ownership must be given up. */
    std::function<void(const std::string &reason)> stepDown;
    /** The epoch of the current ownership, if any; nothing is sent or written unless it is the core's epoch. */
    std::function<std::optional<Epoch>()> ownedEpoch;
    /** One decision or state change. */
    std::function<void(const CoreEvent &event)> event;
};

/** State of the core, for metrics and shutdown. */
struct PlacementCounts {
    std::atomic<std::int64_t> jobs = 0;
    std::atomic<std::int64_t> gangs = 0;
    std::atomic<std::int64_t> workers = 0;
    std::atomic<std::int64_t> impairedGuarantees = 0;
    std::atomic<bool> active = false;
    std::atomic<bool> settled = true;
    std::atomic<std::int64_t> slowestDecisionMicroseconds = 0;
};

/**
 * Thread that owns the core and the decision library: applies inputs in order and passes the outputs on.
 *
 * Thread safety: post(), explain() and counts() from any thread.
 */
class PlacementDuty
{
public:
    PlacementDuty(const SchedulerSettings &settings, Clock clock, PlacementOutputs outputs);
    ~PlacementDuty();

    /** Queues an input; waits up to 1 s while the ring is full. Logs and returns false if it is still full then. */
    bool post(CoreInput input);

    /** Explains the state of a job; no value for a job that this owner does not know. */
    std::optional<decision::Explanation> explain(const JobId &job) const;

    const PlacementCounts &counts() const
    {
        return m_counts;
    }

    /** Starts the thread, which then applies the queued inputs. */
    void start();

    /** Stops the thread. */
    void stop();

private:
    DecisionHooks makeHooks();
    void step();
    void dispatchOutputs(Instant at);
    Instant at() const;

    std::string m_policy;
    Duration m_snapshotInterval;
    Clock m_clock;
    PlacementOutputs m_outputs;
    BoundedRing<CoreInput> m_inputs;
    mutable std::mutex m_libraryMutex;
    std::shared_ptr<decision::Scheduler> m_library;
    SchedulerCore m_core;
    PlacementCounts m_counts;
    std::int64_t m_snapshotRevision = -1;
    MonotonicTime m_nextSnapshot{};
    MonotonicTime m_nextTick{};
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
