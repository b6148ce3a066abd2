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

/** What the duty reports; called on its thread. Precondition: all are set. */
struct OwnershipOutputs {
    std::function<void(Epoch epoch)> acquired;
    std::function<void(const std::string &reason)> lost;
};

/**
 * The duty that takes, renews and gives up the ownership of the data centre.
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

    /** The epoch that orders may carry now, if any. */
    std::optional<Epoch> ownedEpoch() const;

    /** The owner that the row last named. */
    std::optional<OwnerRecord> owner() const;

    /** Gives ownership up, and takes part in the next election again. */
    void stepDown(const std::string &reason);

    /** Gives ownership up for good. */
    void release();

    /** Whether a release has been written or was not needed. */
    bool released() const;

private:
    std::shared_ptr<Ownership> make();
    std::shared_ptr<Ownership> current() const;
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
