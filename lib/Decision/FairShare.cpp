#include "corianderscale/Decision/FairShare.h"

#include "corianderscale/Decision/Fleet.h"

#include <algorithm>
#include <cmath>

namespace coriander::decision {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Time constant of the exponential decay, in seconds. */
double decaySeconds()
{
    return seconds(ServiceHalfLife) / std::log(2.0);
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double dominantShare(const Resources &amount, const Resources &fleet)
{
    return std::max({ratio(amount.cores.count(), fleet.cores.count()),
                     ratio(amount.memory.count(), fleet.memory.count()),
                     ratio(amount.accelerators.count(), fleet.accelerators.count())});
}

} // namespace

double ServiceMeter::service(MonotonicTime now) const
{
    const double decay = std::exp(-seconds(now - m_at) / decaySeconds());
    return m_service * decay + m_held * decaySeconds() * (1.0 - decay);
}

void ServiceMeter::addShare(double share, MonotonicTime now)
{
    m_service = service(now);
    m_at = now;
    m_held = std::max(m_held + share, 0.0);
}

OrganisationIndex ShareTable::organisation(const OrganisationId &id)
{
    const auto [entry, added]
        = m_organisationById.try_emplace(id, static_cast<OrganisationIndex>(m_organisations.size()));
    if (added) {
        m_organisations.emplace_back();
        m_organisations.back().id = id;
        m_organisations.back().policy.id = id;
    }
    return entry->second;
}

std::uint32_t ShareTable::caller(OrganisationIndex organisation, const CallerId &id)
{
    const std::string key = std::to_string(organisation) + '/' + id.value();
    const auto [entry, added] = m_callerById.try_emplace(key, static_cast<std::uint32_t>(m_callers.size()));
    if (added) {
        m_callers.push_back({id, organisation, {}});
        ++m_organisations[organisation].callers;
    }
    return entry->second;
}

void ShareTable::countJob(const Job &job, std::int64_t sign)
{
    OrganisationShare &organisation = m_organisations[job.organisation];
    CallerShare &caller = m_callers[job.caller];
    const std::int64_t weight = std::max<std::int64_t>(organisation.policy.weight, 1);
    const auto activeChange = [sign](std::int64_t &jobs) {
        const bool before = jobs > 0;
        jobs += sign;
        return static_cast<std::int64_t>(jobs > 0) - static_cast<std::int64_t>(before);
    };
    organisation.activeCallers += activeChange(caller.jobs);
    m_activeWeight += weight * activeChange(organisation.jobs);
}

double ShareTable::organisationShareRatio(OrganisationIndex organisation) const
{
    const OrganisationShare &share = m_organisations[organisation];
    const auto weight = static_cast<double>(std::max<std::int64_t>(share.policy.weight, 1));
    return share.meter.held() * static_cast<double>(std::max<std::int64_t>(m_activeWeight, 1)) / weight;
}

double ShareTable::callerShareRatio(std::uint32_t caller) const
{
    const CallerShare &share = m_callers[caller];
    const OrganisationShare &organisation = m_organisations[share.organisation];
    const auto weight = static_cast<double>(std::max<std::int64_t>(organisation.policy.weight, 1));
    const double due = weight / static_cast<double>(std::max<std::int64_t>(m_activeWeight, 1));
    const double whole = std::max(organisation.meter.held(), due);
    return share.meter.held() * static_cast<double>(std::max<std::int64_t>(organisation.activeCallers, 1)) / whole;
}

void ShareTable::setPolicies(const std::vector<OrganisationPolicy> &policies)
{
    for (OrganisationShare &share : m_organisations) {
        share.policy = {};
        share.policy.id = share.id;
    }
    for (const OrganisationPolicy &policy : policies) {
        m_organisations[organisation(policy.id)].policy = policy;
    }
    m_activeWeight = 0;
    for (const OrganisationShare &share : m_organisations) {
        m_activeWeight += share.jobs > 0 ? std::max<std::int64_t>(share.policy.weight, 1) : 0;
    }
}

void ShareTable::charge(const Job &job, const Resources &fleet, std::int64_t sign, MonotonicTime now)
{
    double share = 0;
    if (sign > 0) {
        share = dominantShare(job.size * job.request.tasks, fleet);
        m_charged[job.request.id] = share;
    } else if (const auto charged = m_charged.find(job.request.id); charged != m_charged.end()) {
        share = -charged->second;
        m_charged.erase(charged);
    }
    m_callers[job.caller].meter.addShare(share, now);
    OrganisationShare &owner = m_organisations[job.organisation];
    owner.meter.addShare(share, now);
    owner.accelerators += sign * gangAccelerators(job);
}

double ShareTable::weightedService(OrganisationIndex organisation, MonotonicTime now) const
{
    const OrganisationShare &share = m_organisations[organisation];
    return share.meter.service(now) / static_cast<double>(std::max<std::int64_t>(share.policy.weight, 1));
}

} // namespace coriander::decision
