#pragma once

#include "corianderscale/Decision/Fleet.h"
#include "corianderscale/Decision/Packing.h"

#include <map>
#include <vector>

namespace coriander::decision {

/** What an organisation's guarantees hold on one worker. */
struct OrganisationPin {
    std::int64_t pinned = 0;
    /** Used by the organisation's jobs on guarantees; at most @c pinned after repair(). */
    std::int64_t claimed = 0;
};

/**
 * Keeps every guaranteed instance pinned to accelerators of usable workers. Pins of different instances never overlap,
 * and only jobs on the guarantee use pinned accelerators without being lent. So the unclaimed rest of every guarantee
 * can be had at once by stopping lent work only.
 *
 * Thread safety: not thread safe.
 */
class GuaranteeBook
{
public:
    /** Replaces the guarantees; instances that stay keep their pins. Call repair() afterwards. */
    void setGuarantees(Fleet &fleet, OrganisationIndex organisation, const std::vector<Guarantee> &guarantees);

    /** Result of repair(). */
    struct Repair {
        /** Organisations and workers where jobs use more than is pinned; these jobs become lent. */
        std::vector<std::pair<OrganisationIndex, WorkerIndex>> uncovered;
    };
    /**
     * Moves pins away from workers that cannot be used, and places instances without pins. Pins under running jobs stay
     * if they can.
     */
    Repair repair(Fleet &fleet);

    /** Charges a job to the pins; @p sign is 1 or -1. */
    void claim(Fleet &fleet, OrganisationIndex organisation, const Job &job, std::int64_t sign);

    /**
     * Moves unclaimed pins so that @p parts are covered, for a job found running. Changes nothing and returns false
     * when that is impossible.
     */
    bool cover(Fleet &fleet, OrganisationIndex organisation, const GangParts &parts, std::int64_t perTask);

    /** Moves one unclaimed instance onto accelerators that are free now, if there are any; returns whether it did. */
    bool moveToFree(Fleet &fleet, OrganisationIndex organisation, std::int64_t accelerators, Closeness closeness);

    /**
     * Moves an unclaimed instance of the organisation that must lie on one worker to @p worker: onto accelerators that
     * no guarantee holds, or in exchange for an unclaimed instance of the same shape there. Returns whether it did.
     */
    bool moveTo(Fleet &fleet, OrganisationIndex organisation, std::int64_t accelerators, WorkerIndex worker);

    /** Pins of the organisation by worker. */
    const std::map<WorkerIndex, OrganisationPin> &pins(OrganisationIndex organisation) const;

    /** Number of instances without a place, and the text that names the first of them; zero when all hold. */
    std::int64_t impaired(OrganisationIndex organisation, std::string &reason) const;

    /** Accelerators of all guarantees of the organisation. */
    std::int64_t guaranteed(OrganisationIndex organisation) const;
    /** Pinned accelerators of the organisation that no job on its guarantee uses. */
    std::int64_t unclaimed(OrganisationIndex organisation) const
    {
        return organisation < m_unclaimed.size() ? m_unclaimed[organisation] : 0;
    }
    std::int64_t guaranteedInAll() const
    {
        return m_guaranteedInAll;
    }

private:
    struct Instance {
        OrganisationIndex organisation = 0;
        PackItem shape;
        std::vector<Pin> pins;
        bool placed = false;
    };

    void ensure(OrganisationIndex organisation);
    void place(Fleet &fleet, Instance &instance, std::vector<Pin> pins);
    void lift(Fleet &fleet, Instance &instance);
    /** Whether the organisation's jobs stay covered without the instance. */
    bool movable(const Instance &instance) const;
    std::vector<PackNode> nodes(const Fleet &fleet) const;
    bool placeDirectly(Fleet &fleet, Instance &instance);
    /** Places all movable instances anew, and with @p underJobs all others too; changes nothing on failure. */
    bool repack(Fleet &fleet, bool underJobs);
    std::vector<std::pair<OrganisationIndex, WorkerIndex>> deficits() const;

    std::vector<Instance> m_instances;
    std::vector<std::map<WorkerIndex, OrganisationPin>> m_pins;
    std::vector<std::int64_t> m_unclaimed;
    std::int64_t m_guaranteedInAll = 0;
};

} // namespace coriander::decision
