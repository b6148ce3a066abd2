#pragma once

#include "corianderscale/Decision/Job.h"

#include <unordered_map>
#include <vector>

namespace coriander::decision {

/**
 * Service that a caller or organisation received, halved every ServiceHalfLife, plus what it holds now.
 *
 * The unit is the dominant share of the fleet times seconds. Thread safety: not thread safe.
 */
class ServiceMeter
{
public:
    /** Changes what is held now by @p share of the fleet. */
    void change(double share, MonotonicTime now);
    /** Decayed service at @p now. */
    double service(MonotonicTime now) const;
    /** Share of the fleet held now. */
    double held() const
    {
        return m_held;
    }

private:
    double m_service = 0;
    double m_held = 0;
    MonotonicTime m_at{};
};

/** Half-life of attained service: past use matters for about the length of a working shift. */
inline constexpr Duration ServiceHalfLife = std::chrono::hours(2);

struct CallerShare {
    CallerId id;
    OrganisationIndex organisation = 0;
    ServiceMeter meter;
    /** Jobs that wait or run. */
    std::int64_t jobs = 0;
};

struct OrganisationShare {
    OrganisationId id;
    OrganisationPolicy policy;
    ServiceMeter meter;
    /** Accelerators held by its jobs. */
    std::int64_t accelerators = 0;
    /** Callers with jobs seen. */
    std::int64_t callers = 0;
    /** Jobs that wait or run. */
    std::int64_t jobs = 0;
    /** Callers with jobs that wait or run. */
    std::int64_t activeCallers = 0;
};

/**
 * Fair shares between organisations by weight and between the callers of one organisation.
 *
 * Thread safety: not thread safe.
 */
class ShareTable
{
public:
    OrganisationIndex organisation(const OrganisationId &id);
    std::uint32_t caller(OrganisationIndex organisation, const CallerId &id);
    void setPolicies(const std::vector<OrganisationPolicy> &policies);

    /** Charges the gang to its caller and organisation; @p sign is 1 or -1. */
    void charge(const Job &job, const Resources &fleet, std::int64_t sign, MonotonicTime now);

    const OrganisationShare &at(OrganisationIndex organisation) const
    {
        return m_organisations[organisation];
    }
    const CallerShare &callerAt(std::uint32_t caller) const
    {
        return m_callers[caller];
    }
    const std::vector<OrganisationShare> &organisations() const
    {
        return m_organisations;
    }
    /** Counts a job as present; @p sign is 1 or -1. Organisations and callers with jobs are active. */
    void present(const Job &job, std::int64_t sign);
    /** What the organisation holds now by its fair part among the active ones; 1 is fair. */
    double heldByOrganisation(OrganisationIndex organisation) const;
    /** What the caller holds now by its equal part of what its organisation holds or is due; 1 is fair. */
    double heldByCaller(std::uint32_t caller) const;

    /** Service of the organisation divided by its weight. */
    double weighted(OrganisationIndex organisation, MonotonicTime now) const;

private:
    std::vector<OrganisationShare> m_organisations;
    std::vector<CallerShare> m_callers;
    std::int64_t m_activeWeight = 0;
    std::unordered_map<OrganisationId, OrganisationIndex> m_organisationById;
    std::unordered_map<std::string, std::uint32_t> m_callerById;
    /** Shares charged per job, so that the same amount is taken back when the fleet changed meanwhile. */
    std::unordered_map<JobId, double> m_charged;
};

} // namespace coriander::decision
