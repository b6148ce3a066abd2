#pragma once

#include "corianderscale/Coordination/Ownership.h"
#include "corianderscale/Scheduler/SchedulerSettings.h"
#include "corianderscale/Transport/DutyThread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace coriander {

/** Callbacks for changes of ownership; called on the duty's thread. Precondition: all are set. */
struct OwnershipOutputs {
    std::function<void(Epoch epoch)> acquired;
    std::function<void(const std::string &reason)> lost;
};

/**
 * Thread that acquires, renews and releases the ownership of the data centre.
 *
 * Thread safety: ownedEpoch(), owner(), stepDown(), release() and released() from any thread.
 */
class OwnershipDuty
{
public:
    OwnershipDuty(const SchedulerSettings &settings, Store &store, Clock clock, OwnershipOutputs outputs);
    ~OwnershipDuty();

    void start();
    void stop();

    /** The epoch of the current ownership, for use in orders; no value when this instance is not the owner. */
    std::optional<Epoch> ownedEpoch() const;

    /** The owner named by the ownership row when it was last read. */
    std::optional<OwnerRecord> owner() const;

    /** Releases ownership, then takes part in elections again. */
    void stepDown(const std::string &reason);

    /** Releases ownership and takes part in no further elections. */
    void release();

    /** Whether the release that release() asked for has been written or was not needed. */
    bool released() const;

private:
    std::shared_ptr<Ownership> makeOwnership();
    std::shared_ptr<Ownership> currentOwnership() const;
    void step();

    Ownership::Settings m_settings;
    Store &m_store;
    Clock m_clock;
    OwnershipOutputs m_outputs;
    mutable std::mutex m_mutex;
    std::shared_ptr<Ownership> m_ownership;
    std::atomic<bool> m_stepDown = false;
    std::atomic<bool> m_release = false;
    std::atomic<bool> m_released = false;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
