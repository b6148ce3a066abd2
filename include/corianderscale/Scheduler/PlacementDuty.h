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

/** An input of the core, applied on the placement thread. */
using CoreInput = std::function<void(SchedulerCore &core, Instant at)>;

/** Where the outputs of the core go; called on the placement thread. Precondition: all are set. */
struct PlacementOutputs {
    std::function<void(WorkerRequest request)> send;
    std::function<void(StoreWrite write)> write;
    std::function<void(JobId job)> read;
    /** The placements have changed. */
    std::function<void(Snapshot snapshot)> snapshot;
    /** Ownership has to be given up. */
    std::function<void(const std::string &reason)> stepDown;
    /** The epoch that may be used now, if any; nothing is sent or written without it. */
    std::function<std::optional<Epoch>()> ownedEpoch;
    /** One decision or change. */
    std::function<void(const CoreEvent &event)> event;
};

/** What the core holds, for metrics and shutdown. */
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
 * The duty that owns the core and the decision library: applies inputs in order and hands outputs on.
 *
 * Thread safety: post(), explain() and counts() from any thread.
 */
class PlacementDuty
{
public:
    PlacementDuty(const SchedulerSettings &settings, Clock clock, PlacementOutputs outputs);
    ~PlacementDuty();

    /** Queues an input. Returns false when the ring stays full, which is logged. */
    bool post(CoreInput input);

    /** Why a job is where it is, or no value for a job that the owner does not know. */
    std::optional<decision::Explanation> explain(const JobId &job) const;

    const PlacementCounts &counts() const
    {
        return m_counts;
    }

    /** Begins to take inputs. */
    void start();

    /** Ends the duty. */
    void stop();

private:
    DecisionHooks makeHooks();
    void step();
    void handOver(Instant at);
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
