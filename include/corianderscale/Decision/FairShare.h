#pragma once

#include "corianderscale/Decision/Job.h"

#include <unordered_map>
#include <vector>

namespace coriander::decision {

/**
 * Decayed service of a caller or organisation: the share of the fleet that it held, integrated over time, where past
 * service is halved every ServiceHalfLife.
 *
 * The unit is dominant share of the fleet times seconds. Thread safety: not thread safe.
 */
class ServiceMeter
{
public:
    /** Adds @p share of the fleet, which may be negative, to the share held. */
    void addShare(double share, MonotonicTime now);
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

/** Half-life of attained service: past use counts for about the length of a working shift. */
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
    /** Callers that have ever submitted a job. */
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

    /** Charges the gang to its caller and organisation (@p sign 1), or takes the charge back (-1). */
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
    /**
     * Counts a job that waits or runs (@p sign 1), or removes it from the counts (-1). Organisations and callers with
     * such jobs are active.
     */
    void countJob(const Job &job, std::int64_t sign);
    /** Share held by the organisation, divided by its fair share among the active organisations; 1 is fair. */
    double organisationShareRatio(OrganisationIndex organisation) const;
    /**
     * Share held by the caller, divided by its fair share; 1 is fair. The fair share is an equal part, among the active
     * callers, of the larger of what the organisation holds and what it is due.
     */
    double callerShareRatio(std::uint32_t caller) const;

    /** Service of the organisation divided by its weight. */
    double weightedService(OrganisationIndex organisation, MonotonicTime now) const;

private:
    std::vector<OrganisationShare> m_organisations;
    std::vector<CallerShare> m_callers;
    std::int64_t m_activeWeight = 0;
    std::unordered_map<OrganisationId, OrganisationIndex> m_organisationById;
    std::unordered_map<std::string, std::uint32_t> m_callerById;
    /** Share charged for each job, so that the same amount is taken back even if the fleet has changed since. */
    std::unordered_map<JobId, double> m_charged;
};

} // namespace coriander::decision
