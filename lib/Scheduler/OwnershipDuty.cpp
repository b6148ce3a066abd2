#include "corianderscale/Scheduler/OwnershipDuty.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coriander {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(50);
/** Renewals per ownership term; several, so that one lost write does not end the ownership. */
constexpr int RenewalsPerTerm = 3;

} // namespace

OwnershipDuty::OwnershipDuty(const SchedulerSettings &settings, Store &store, Clock clock, OwnershipOutputs outputs)
    : m_store(store)
    , m_clock(std::move(clock))
    , m_outputs(std::move(outputs))
{
    m_settings.dataCentre = settings.common.dataCentre;
    m_settings.instance = settings.common.instance;
    m_settings.address = settings.common.listen;
    m_settings.peerAddress = settings.common.peerListen;
    m_settings.term = settings.ownershipTerm;
    m_settings.renewInterval = std::min(m_settings.renewInterval, settings.ownershipTerm / RenewalsPerTerm);
    m_settings.readInterval = std::min(m_settings.readInterval, settings.ownershipTerm / RenewalsPerTerm);
    m_settings.clockDriftMargin = std::max(m_settings.clockDriftMargin, settings.ownershipTerm / 100);
    m_ownership = makeOwnership();
}

OwnershipDuty::~OwnershipDuty()
{
    stop();
}

std::shared_ptr<Ownership> OwnershipDuty::makeOwnership()
{
    Ownership::Hooks hooks = ownershipHooks(m_store);
    hooks.acquired = [this](Epoch epoch) {
        m_outputs.acquired(epoch);
    };
    hooks.lost = [this](Epoch epoch, const std::string &reason) {
        logEvent(LogLevel::Warning, "ownership-lost", {{"epoch", epoch}, {"reason", reason}});
        m_outputs.lost(reason);
    };
    return std::make_shared<Ownership>(m_settings, std::move(hooks));
}

void OwnershipDuty::start()
{
    m_thread = std::make_unique<DutyThread>("ownership", [this] { step(); });
}

void OwnershipDuty::stop()
{
    m_thread.reset();
}

std::shared_ptr<Ownership> OwnershipDuty::currentOwnership() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_ownership;
}

std::optional<Epoch> OwnershipDuty::ownedEpoch() const
{
    return currentOwnership()->ownedEpoch(m_clock.now());
}

std::optional<OwnerRecord> OwnershipDuty::owner() const
{
    return currentOwnership()->owner();
}

void OwnershipDuty::stepDown(const std::string &reason)
{
    logEvent(LogLevel::Error, "ownership-step-down", {{"reason", reason}});
    m_stepDown = true;
}

void OwnershipDuty::release()
{
    m_release = true;
}

bool OwnershipDuty::released() const
{
    return m_released;
}

void OwnershipDuty::step()
{
    std::this_thread::sleep_for(StepInterval);
    const MonotonicTime now = m_clock.now();
    const std::shared_ptr<Ownership> ownership = currentOwnership();
    if (m_stepDown || m_release) {
        ownership->release(now);
    }
    ownership->step(now);
    if (!ownership->released()) {
        return;
    }
    if (m_release) {
        m_released = true;
    } else if (m_stepDown.exchange(false)) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_ownership = makeOwnership();
    }
}

} // namespace coriander
