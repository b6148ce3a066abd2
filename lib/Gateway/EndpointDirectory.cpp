#include "corianderscale/Gateway/EndpointDirectory.h"

#include <algorithm>
#include <cassert>

namespace coriander {

namespace {

/** An endpoint that has not answered a poll for longer than this gets no new work. */
constexpr Duration PollValidity = std::chrono::seconds(8);
constexpr std::int64_t ConsecutiveBadSendsLimit = 5;
constexpr std::int64_t MinimumSendsForShare = 10;
constexpr double BadSendShareLimit = 0.5;
constexpr double BadSendShareWeight = 1.0 / 16;
constexpr Duration EjectionTimeStep = std::chrono::seconds(5);
constexpr Duration MaximumEjectionTime = std::chrono::seconds(60);
/** Maximum percentage of a service's endpoints that may be ejected at the same time. */
constexpr std::int64_t MaximumEjectedPercent = 30;
constexpr Duration SlowStartTime = std::chrono::seconds(10);
constexpr double MinimumSlowStartShare = 0.1;

} // namespace

EndpointDirectory::EndpointDirectory(InstanceId self)
    : m_self(std::move(self))
{
}

std::vector<EndpointId> EndpointDirectory::applyVmList(const VmList &list)
{
    std::vector<EndpointId> leaving;
    for (auto &[id, entry] : m_entries) {
        entry.listed = false;
    }
    for (const VmEntry &vm : list.vms) {
        if (vm.role != "endpoint") {
            continue;
        }
        EndpointEntry &entry = m_entries[EndpointId(vm.id)];
        entry.id = EndpointId(vm.id);
        entry.listed = true;
        entry.dataCentre = vm.dataCentre;
        if (entry.address != vm.address) {
            entry.address = vm.address;
            entry.answered = false;
        }
        const bool isLeaving = vm.state == "leaving";
        if (isLeaving && !entry.listedLeaving && !entry.reportedLeaving) {
            leaving.push_back(entry.id);
        }
        entry.listedLeaving = isLeaving;
    }
    std::erase_if(m_entries, [](const auto &item) { return !item.second.listed && item.second.used == 0; });
    rebuildServices();
    return leaving;
}

void EndpointDirectory::setGateways(std::vector<InstanceId> gateways)
{
    m_position = findGatewayPosition(std::move(gateways), m_self);
}

bool EndpointDirectory::applyPollAnswer(const EndpointInfo &info, MonotonicTime now)
{
    const auto found = m_entries.find(info.id);
    if (found == m_entries.end()) {
        return false;
    }
    EndpointEntry &entry = found->second;
    if (entry.incarnation != info.incarnation) {
        // A new incarnation starts without the leaving mark and the health history of the previous one.
        entry.incarnation = info.incarnation;
        entry.reportedLeaving = false;
        entry.ejected = false;
        entry.consecutiveBadSends = 0;
        entry.badSendShare = 0;
        entry.sends = 0;
    }
    entry.slots = info.slots;
    entry.answered = true;
    entry.answeredAt = now;
    if (entry.services != info.services) {
        entry.services = info.services;
        rebuildServices();
    }
    return info.state == "leaving" && setLeaving(info.id, info.incarnation);
}

bool EndpointDirectory::setLeaving(const EndpointId &endpoint, const InstanceId &incarnation)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || found->second.reportedLeaving
        || (!incarnation.empty() && found->second.incarnation != incarnation)) {
        return false;
    }
    found->second.reportedLeaving = true;
    return true;
}

void EndpointDirectory::recordSend(const EndpointId &endpoint, SendHealth health, MonotonicTime now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end()) {
        return;
    }
    EndpointEntry &entry = found->second;
    const bool bad = health == SendHealth::Bad;
    ++entry.sends;
    entry.badSendShare += ((bad ? 1.0 : 0.0) - entry.badSendShare) * BadSendShareWeight;
    entry.consecutiveBadSends = bad ? entry.consecutiveBadSends + 1 : 0;
    if (!bad || (entry.ejected && now < entry.ejectedUntil)) {
        return;
    }
    if (entry.consecutiveBadSends >= ConsecutiveBadSendsLimit
        || (entry.sends >= MinimumSendsForShare && entry.badSendShare > BadSendShareLimit)) {
        ejectIfAllowed(entry, now);
    }
}

bool EndpointDirectory::canEject(const EndpointEntry &endpoint, MonotonicTime now) const
{
    return std::all_of(endpoint.services.begin(), endpoint.services.end(), [&](const ServiceName &service) {
        const std::vector<EndpointId> &all = endpointsOfService(service);
        const auto ejected = std::count_if(all.begin(), all.end(), [&](const EndpointId &id) {
            const EndpointEntry &entry = m_entries.at(id);
            return entry.ejected && now < entry.ejectedUntil;
        });
        return (ejected + 1) * 100 <= MaximumEjectedPercent * static_cast<std::int64_t>(all.size());
    });
}

void EndpointDirectory::ejectIfAllowed(EndpointEntry &endpoint, MonotonicTime now)
{
    if (!canEject(endpoint, now)) {
        return;
    }
    ++endpoint.ejections;
    endpoint.ejected = true;
    endpoint.ejectedUntil = now + std::min<Duration>(EjectionTimeStep * endpoint.ejections, MaximumEjectionTime);
    endpoint.returnedAt = endpoint.ejectedUntil;
    endpoint.slowStart = true;
    endpoint.consecutiveBadSends = 0;
    endpoint.badSendShare = 0;
    endpoint.sends = 0;
}

void EndpointDirectory::takeSlot(const EndpointId &endpoint)
{
    const auto found = m_entries.find(endpoint);
    assert(found != m_entries.end() && "only slots of known endpoints are taken");
    ++found->second.used;
}

void EndpointDirectory::freeSlot(const EndpointId &endpoint)
{
    const auto found = m_entries.find(endpoint);
    assert(found != m_entries.end() && found->second.used > 0 && "an endpoint with used slots stays known");
    --found->second.used;
}

bool EndpointDirectory::isUsable(const EndpointEntry &endpoint, MonotonicTime now) const
{
    return endpoint.listed && endpoint.answered && !endpoint.listedLeaving && !endpoint.reportedLeaving
        && now - endpoint.answeredAt <= PollValidity && !(endpoint.ejected && now < endpoint.ejectedUntil);
}

std::int64_t EndpointDirectory::share(const EndpointEntry &endpoint, MonotonicTime now) const
{
    const std::int64_t fullShare = slotShare(endpoint.id, endpoint.slots, m_position);
    if (!endpoint.slowStart || now >= endpoint.returnedAt + SlowStartTime) {
        return fullShare;
    }
    const double restoredShare
        = static_cast<double>((now - endpoint.returnedAt).count()) / static_cast<double>(SlowStartTime.count());
    const auto reduced
        = static_cast<std::int64_t>(static_cast<double>(fullShare) * std::max(MinimumSlowStartShare, restoredShare));
    return std::min(fullShare, std::max<std::int64_t>(1, reduced));
}

std::int64_t EndpointDirectory::freeShare(const EndpointEntry &endpoint, MonotonicTime now) const
{
    return isUsable(endpoint, now) ? std::max<std::int64_t>(0, share(endpoint, now) - endpoint.used) : 0;
}

Json EndpointDirectory::toJson(MonotonicTime now) const
{
    Json list = Json::array();
    for (const auto &[id, entry] : m_entries) {
        Json services = Json::array();
        for (const ServiceName &service : entry.services) {
            services.push_back(service.value());
        }
        list.push_back({{"id", id.value()},
                        {"address", entry.address},
                        {"dataCentre", entry.dataCentre.value()},
                        {"incarnation", entry.incarnation.value()},
                        {"state", entry.listedLeaving || entry.reportedLeaving ? "leaving" : "live"},
                        {"usable", isUsable(entry, now)},
                        {"ejected", entry.ejected && now < entry.ejectedUntil},
                        {"services", std::move(services)},
                        {"slots", entry.slots},
                        {"share", share(entry, now)},
                        {"used", entry.used}});
    }
    return list;
}

const EndpointEntry *EndpointDirectory::find(const EndpointId &endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second;
}

const std::map<EndpointId, EndpointEntry> &EndpointDirectory::entries() const
{
    return m_entries;
}

const std::vector<EndpointId> &EndpointDirectory::endpointsOfService(const ServiceName &service) const
{
    static const std::vector<EndpointId> NoEndpoints;
    const auto found = m_services.find(service);
    return found == m_services.end() ? NoEndpoints : found->second;
}

std::int64_t EndpointDirectory::totalShare(const ServiceName &service, MonotonicTime now) const
{
    std::int64_t total = 0;
    for (const EndpointId &id : endpointsOfService(service)) {
        const EndpointEntry &entry = m_entries.at(id);
        total += isUsable(entry, now) ? share(entry, now) : 0;
    }
    return total;
}

void EndpointDirectory::rebuildServices()
{
    m_services.clear();
    for (const auto &[id, entry] : m_entries) {
        for (const ServiceName &service : entry.services) {
            m_services[service].push_back(id);
        }
    }
}

} // namespace coriander
