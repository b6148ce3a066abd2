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
 * and all other jobs on pinned accelerators are lent work. The unclaimed parts of all guarantees can therefore be
 * claimed at the same time by stopping lent work only.
 *
 * Thread safety: not thread safe.
 */
class GuaranteeTable
{
public:
    /** Replaces the guarantees; instances of unchanged shape keep their pins. Call repair() afterwards. */
    void setGuarantees(Fleet &fleet, OrganisationIndex organisation, const std::vector<Guarantee> &guarantees);

    /** Result of repair(). */
    struct Repair {
        /** Organisations and workers where jobs claim more than is pinned; the caller must lend these jobs. */
        std::vector<std::pair<OrganisationIndex, WorkerIndex>> uncovered;
    };
    /**
     * Moves pins away from workers that are not usable, and places instances without pins. Pins used by running jobs
     * stay if possible.
     */
    Repair repair(Fleet &fleet);

    /** Counts the job's accelerators as claimed (@p sign 1), or as no longer claimed (-1). */
    void claim(Fleet &fleet, OrganisationIndex organisation, const Job &job, std::int64_t sign);

    /**
     * Moves unclaimed pins so that they cover @p parts of an adopted job. Changes nothing and returns false when that
     * is impossible.
     */
    bool tryCover(Fleet &fleet, OrganisationIndex organisation, const GangParts &parts, std::int64_t perTask);

    /**
     * Moves one unclaimed instance of at least the given size and closeness to accelerators that no job uses. Returns
     * whether an instance was moved.
     */
    bool tryMoveToFree(Fleet &fleet, OrganisationIndex organisation, std::int64_t accelerators, Closeness closeness);

    /**
     * Moves an unclaimed instance of the organisation that must lie on one worker to @p worker: to unpinned
     * accelerators, or in exchange for an unclaimed instance of another organisation of the same shape there. Returns
     * whether an instance was moved.
     */
    bool tryMoveToWorker(Fleet &fleet, OrganisationIndex organisation, std::int64_t accelerators, WorkerIndex worker);

    /** Pins of the organisation by worker. */
    const std::map<WorkerIndex, OrganisationPin> &pins(OrganisationIndex organisation) const;

    /** Returns the number of instances without pins; if there are any, @p reason names the first and the number. */
    std::int64_t countImpaired(OrganisationIndex organisation, std::string &reason) const;

    /** Accelerators of all guarantees of the organisation. */
    std::int64_t guaranteed(OrganisationIndex organisation) const;
    /** Pinned accelerators of the organisation that no job on its guarantee uses. */
    std::int64_t unclaimed(OrganisationIndex organisation) const
    {
        return organisation < m_unclaimed.size() ? m_unclaimed[organisation] : 0;
    }
    std::int64_t totalGuaranteed() const
    {
        return m_totalGuaranteed;
    }

private:
    struct Instance {
        OrganisationIndex organisation = 0;
        PackItem shape;
        std::vector<Pin> pins;
        bool placed = false;
    };

    void addOrganisation(OrganisationIndex organisation);
    void setPins(Fleet &fleet, Instance &instance, std::vector<Pin> pins);
    void removePins(Fleet &fleet, Instance &instance);
    /** Whether the organisation's jobs stay covered without the instance. */
    bool isMovable(const Instance &instance) const;
    std::vector<PackNode> usableNodes(const Fleet &fleet) const;
    bool placeDirectly(Fleet &fleet, Instance &instance);
    /** Packs all movable instances again, and with @p includeClaimed all others too; changes nothing on failure. */
    bool repack(Fleet &fleet, bool includeClaimed);
    std::vector<std::pair<OrganisationIndex, WorkerIndex>> findUncovered() const;

    std::vector<Instance> m_instances;
    std::vector<std::map<WorkerIndex, OrganisationPin>> m_pins;
    std::vector<std::int64_t> m_unclaimed;
    std::int64_t m_totalGuaranteed = 0;
};

} // namespace coriander::decision
