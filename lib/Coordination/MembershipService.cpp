#include "corianderscale/Coordination/MembershipService.h"

#include <utility>

namespace coriander {

struct MembershipService::State {
    State(const MembershipService::Settings &serviceSettings, Clock serviceClock, Store &serviceStore)
        : settings(serviceSettings)
        , clock(std::move(serviceClock))
        , store(serviceStore)
    {
    }

    MembershipService::Settings settings;
    Clock clock;
    Store &store;
    std::mutex mutex;
    std::unique_ptr<Membership> membership;
    MonotonicTime nextList;
};

namespace {

/** Returns the peer addresses of the entry VMs in the list, except the one of this instance. */
std::vector<std::string> entryVmAddresses(const VmList &list, const std::string &own)
{
    std::vector<std::string> contacts;
    for (const VmEntry &vm : list.vms) {
        if (vm.role == "entry" && !vm.peerAddress.empty() && vm.peerAddress != own) {
            contacts.push_back(vm.peerAddress);
        }
    }
    return contacts;
}

} // namespace

MembershipService::MembershipService(Settings settings, Clock clock, Store &store, Send send, Membership::Hooks hooks)
    : m_state(std::make_shared<State>(settings, std::move(clock), store))
{
    const std::weak_ptr<State> weak = m_state;
    hooks.send = [weak, send = std::move(send)](
                     const std::string &address, std::string body, MonotonicTime deadline, Membership::Reply done) {
        send(address,
             GossipPeerMessage,
             std::move(body),
             deadline,
             [weak, done = std::move(done)](const std::optional<std::string> &reply, const TransportError &) {
                 if (const auto state = weak.lock()) {
                     const std::lock_guard<std::mutex> lock(state->mutex);
                     done(state->clock.now(), reply);
                 }
             });
    };
    m_state->membership = std::make_unique<Membership>(settings.membership, std::move(hooks), systemRandomUnit());
}

MembershipService::~MembershipService() = default;

void MembershipService::step()
{
    bool isListDue = false;
    const MonotonicTime now = m_state->clock.now();
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->membership->step(now);
        isListDue = now >= m_state->nextList;
        if (isListDue) {
            m_state->nextList = now + m_state->settings.listInterval;
        }
    }
    if (!isListDue) {
        return;
    }
    const std::weak_ptr<State> weak = m_state;
    m_state->store.listVms(
        now + m_state->settings.listTimeout, [weak](const std::optional<VmList> &vms, const CoordinationError &) {
            const auto state = weak.lock();
            if (!state || !vms) {
                return;
            }
            const std::lock_guard<std::mutex> lock(state->mutex);
            state->membership->setSeedAddresses(entryVmAddresses(*vms, state->settings.membership.self.peerAddress));
        });
}

std::string MembershipService::handle(const InstanceId &from, const std::string &body)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->membership->handle(m_state->clock.now(), from, body);
}

void MembershipService::leave()
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->membership->leave(m_state->clock.now());
}

std::vector<Member> MembershipService::members() const
{
    return m_state->membership->members();
}

int MembershipService::count(MemberRole role) const
{
    return m_state->membership->count(role);
}

} // namespace coriander
