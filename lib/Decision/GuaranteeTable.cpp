#include "corianderscale/Decision/GuaranteeTable.h"

#include <algorithm>
#include <set>

namespace coriander::decision {

namespace {

const std::map<WorkerIndex, OrganisationPin> NoPins;

struct Candidate {
    WorkerIndex worker = 0;
    /** Accelerators that are not pinned. */
    std::int64_t unpinned = 0;
    /** Accelerators that the organisation's own jobs claim beyond its pins. */
    std::int64_t uncovered = 0;
    /** Open accelerators that no job uses. */
    std::int64_t idle = 0;
};

std::vector<Pin> takeFrom(std::vector<Candidate> candidates, std::int64_t wanted)
{
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.uncovered, left.unpinned, left.idle)
            > std::tie(right.uncovered, right.unpinned, right.idle);
    });
    std::vector<Pin> pins;
    for (const Candidate &candidate : candidates) {
        const std::int64_t amount = std::min(wanted, candidate.unpinned);
        if (amount > 0) {
            pins.push_back({candidate.worker, amount});
            wanted -= amount;
        }
    }
    return pins;
}

} // namespace

const std::map<WorkerIndex, OrganisationPin> &GuaranteeTable::pins(OrganisationIndex organisation) const
{
    return organisation < m_pins.size() ? m_pins[organisation] : NoPins;
}

void GuaranteeTable::addOrganisation(OrganisationIndex organisation)
{
    if (m_pins.size() <= organisation) {
        m_pins.resize(organisation + 1);
        m_unclaimed.resize(organisation + 1, 0);
    }
}

void GuaranteeTable::setPins(Fleet &fleet, Instance &instance, std::vector<Pin> pins)
{
    instance.pins = std::move(pins);
    instance.placed = true;
    for (const Pin &pin : instance.pins) {
        m_pins[instance.organisation][pin.worker].pinned += pin.accelerators;
        m_unclaimed[instance.organisation] += pin.accelerators;
        fleet.worker(pin.worker).pinned += pin.accelerators;
    }
}

void GuaranteeTable::removePins(Fleet &fleet, Instance &instance)
{
    std::map<WorkerIndex, OrganisationPin> &own = m_pins[instance.organisation];
    for (const Pin &pin : instance.pins) {
        fleet.worker(pin.worker).pinned -= pin.accelerators;
        m_unclaimed[instance.organisation] -= pin.accelerators;
        const auto entry = own.find(pin.worker);
        entry->second.pinned -= pin.accelerators;
        if (entry->second.pinned == 0 && entry->second.claimed == 0) {
            own.erase(entry);
        }
    }
    instance.pins.clear();
    instance.placed = false;
}

void GuaranteeTable::setGuarantees(Fleet &fleet,
                                   OrganisationIndex organisation,
                                   const std::vector<Guarantee> &guarantees)
{
    addOrganisation(organisation);
    std::map<std::pair<std::int64_t, Closeness>, std::int64_t> wanted;
    for (const Guarantee &guarantee : guarantees) {
        if (guarantee.accelerators.count() > 0 && guarantee.count > 0) {
            wanted[{guarantee.accelerators.count(), guarantee.closeness}] += guarantee.count;
        }
    }
    // Instances used by running jobs are kept in preference to others of the same shape. A negative number of
    // accelerators marks an instance that is kept.
    for (const bool inUse : {true, false}) {
        for (Instance &instance : m_instances) {
            if (instance.organisation != organisation || instance.shape.accelerators <= 0) {
                continue;
            }
            if (inUse && (!instance.placed || isMovable(instance))) {
                continue;
            }
            std::int64_t &left = wanted[{instance.shape.accelerators, instance.shape.closeness}];
            if (left > 0) {
                --left;
                instance.shape.accelerators = -instance.shape.accelerators;
            } else {
                removePins(fleet, instance);
                instance.shape.accelerators = 0;
            }
        }
    }
    std::erase_if(m_instances, [organisation](const Instance &instance) {
        return instance.organisation == organisation && instance.shape.accelerators == 0;
    });
    for (Instance &instance : m_instances) {
        instance.shape.accelerators = std::abs(instance.shape.accelerators);
    }
    for (const auto &[shape, count] : wanted) {
        for (std::int64_t i = 0; i < count; ++i) {
            m_instances.push_back({organisation, {shape.first, shape.second}, {}, false});
        }
    }
    m_totalGuaranteed = 0;
    for (const Instance &instance : m_instances) {
        m_totalGuaranteed += instance.shape.accelerators;
    }
}

bool GuaranteeTable::isMovable(const Instance &instance) const
{
    const std::map<WorkerIndex, OrganisationPin> &own = m_pins[instance.organisation];
    return std::all_of(instance.pins.begin(), instance.pins.end(), [&own](const Pin &pin) {
        const OrganisationPin &entry = own.at(pin.worker);
        return entry.pinned - pin.accelerators >= entry.claimed;
    });
}

std::vector<PackNode> GuaranteeTable::usableNodes(const Fleet &fleet) const
{
    std::vector<PackNode> result;
    for (WorkerIndex index = 0; index < fleet.workers().size(); ++index) {
        const FleetWorker &worker = fleet.worker(index);
        const std::int64_t unpinned = worker.spec.capacity.accelerators.count() - worker.pinned;
        if (fleet.usable(index) && unpinned > 0) {
            result.push_back({index, worker.rack, unpinned});
        }
    }
    return result;
}

bool GuaranteeTable::placeDirectly(Fleet &fleet, Instance &instance)
{
    const std::map<WorkerIndex, OrganisationPin> &own = m_pins[instance.organisation];
    std::map<std::uint32_t, std::vector<Candidate>> groups;
    for (const PackNode &node : usableNodes(fleet)) {
        std::uint32_t group = 0;
        if (instance.shape.closeness == Closeness::Worker) {
            group = node.worker;
        } else if (instance.shape.closeness == Closeness::Rack) {
            group = node.rack;
        }
        const auto entry = own.find(node.worker);
        const std::int64_t uncovered
            = entry == own.end() ? 0 : std::max<std::int64_t>(entry->second.claimed - entry->second.pinned, 0);
        const std::int64_t idle = std::clamp<std::int64_t>(fleet.free(node.worker).accelerators.count(), 0, node.free);
        groups[group].push_back({node.worker, node.free, uncovered, idle});
    }
    const std::vector<Candidate> *best = nullptr;
    std::tuple<std::int64_t, std::int64_t, std::int64_t> bestKey;
    for (const auto &[group, candidates] : groups) {
        std::int64_t unpinned = 0;
        std::int64_t uncovered = 0;
        std::int64_t idle = 0;
        for (const Candidate &candidate : candidates) {
            unpinned += candidate.unpinned;
            uncovered += std::min(candidate.uncovered, candidate.unpinned);
            idle += candidate.idle;
        }
        // Prefers groups that cover running jobs, then groups with few unpinned accelerators so that large ones stay
        // whole, then groups with many idle accelerators.
        const std::tuple key(-uncovered, unpinned, -idle);
        if (unpinned >= instance.shape.accelerators && (best == nullptr || key < bestKey)) {
            best = &candidates;
            bestKey = key;
        }
    }
    if (best == nullptr) {
        return false;
    }
    setPins(fleet, instance, takeFrom(*best, instance.shape.accelerators));
    return true;
}

bool GuaranteeTable::repack(Fleet &fleet, bool includeClaimed)
{
    std::vector<std::size_t> moving;
    std::vector<std::vector<Pin>> before;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance &instance = m_instances[i];
        if (includeClaimed || !instance.placed || isMovable(instance)) {
            moving.push_back(i);
            before.push_back(instance.pins);
            removePins(fleet, instance);
        }
    }
    std::vector<PackItem> items;
    items.reserve(moving.size());
    for (const std::size_t i : moving) {
        items.push_back(m_instances[i].shape);
    }
    std::size_t failed = 0;
    const auto packed = packItems(usableNodes(fleet), items, RepairPackSteps, failed);
    for (std::size_t i = 0; i < moving.size(); ++i) {
        if (packed) {
            setPins(fleet, m_instances[moving[i]], (*packed)[i]);
        } else if (!before[i].empty()) {
            setPins(fleet, m_instances[moving[i]], before[i]);
        }
    }
    return packed.has_value();
}

std::vector<std::pair<OrganisationIndex, WorkerIndex>> GuaranteeTable::findUncovered() const
{
    std::vector<std::pair<OrganisationIndex, WorkerIndex>> result;
    for (OrganisationIndex organisation = 0; organisation < m_pins.size(); ++organisation) {
        for (const auto &[worker, pin] : m_pins[organisation]) {
            if (pin.claimed > pin.pinned) {
                result.emplace_back(organisation, worker);
            }
        }
    }
    return result;
}

GuaranteeTable::Repair GuaranteeTable::repair(Fleet &fleet)
{
    bool complete = true;
    for (Instance &instance : m_instances) {
        const bool broken = std::any_of(instance.pins.begin(), instance.pins.end(), [&fleet](const Pin &pin) {
            const FleetWorker &worker = fleet.worker(pin.worker);
            return !fleet.usable(pin.worker) || worker.pinned > worker.spec.capacity.accelerators.count();
        });
        if (broken) {
            removePins(fleet, instance);
        }
    }
    std::vector<Instance *> missing;
    for (Instance &instance : m_instances) {
        if (!instance.placed) {
            missing.push_back(&instance);
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Instance *left, const Instance *right) {
        return std::tie(left->shape.closeness, left->shape.accelerators)
            > std::tie(right->shape.closeness, right->shape.accelerators);
    });
    for (Instance *instance : missing) {
        complete = placeDirectly(fleet, *instance) && complete;
    }
    // A guarantee is impaired only when no packing provides it. As a last resort, pins used by running jobs are
    // therefore moved too: these jobs become lent, and their organisation has its guarantee on other workers.
    if (!complete && !repack(fleet, false)) {
        repack(fleet, true);
    }
    return {findUncovered()};
}

void GuaranteeTable::claim(Fleet &fleet, OrganisationIndex organisation, const Job &job, std::int64_t sign)
{
    addOrganisation(organisation);
    for (const GangPart &part : job.parts) {
        const std::int64_t amount = part.tasks * job.size.accelerators.count() * sign;
        OrganisationPin &pin = m_pins[organisation][part.worker];
        pin.claimed += amount;
        m_unclaimed[organisation] -= amount;
        fleet.worker(part.worker).claimed += amount;
        if (pin.pinned == 0 && pin.claimed == 0) {
            m_pins[organisation].erase(part.worker);
        }
    }
}

bool GuaranteeTable::tryCover(Fleet &fleet,
                              OrganisationIndex organisation,
                              const GangParts &parts,
                              std::int64_t perTask)
{
    if (m_pins.size() <= organisation) {
        return false;
    }
    Job probe;
    probe.parts = parts;
    probe.size.accelerators = Accelerators(perTask);
    claim(fleet, organisation, probe, 1);
    const auto uncovered = [this, organisation] {
        const auto &own = m_pins[organisation];
        return std::any_of(
            own.begin(), own.end(), [](const auto &entry) { return entry.second.claimed > entry.second.pinned; });
    };
    if (!uncovered()) {
        claim(fleet, organisation, probe, -1);
        return true;
    }
    std::vector<std::vector<Pin>> before;
    before.reserve(m_instances.size());
    for (Instance &instance : m_instances) {
        before.push_back(instance.pins);
    }
    for (Instance &instance : m_instances) {
        if (instance.placed && isMovable(instance)) {
            removePins(fleet, instance);
        }
    }
    for (Instance &instance : m_instances) {
        if (!instance.placed && instance.organisation == organisation && uncovered()) {
            placeDirectly(fleet, instance);
        }
    }
    bool covered = !uncovered();
    covered = covered && repack(fleet, false);
    claim(fleet, organisation, probe, -1);
    if (covered) {
        return true;
    }
    for (Instance &instance : m_instances) {
        if (instance.placed) {
            removePins(fleet, instance);
        }
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (!before[i].empty()) {
            setPins(fleet, m_instances[i], before[i]);
        }
    }
    return false;
}

bool GuaranteeTable::tryMoveToFree(Fleet &fleet,
                                   OrganisationIndex organisation,
                                   std::int64_t accelerators,
                                   Closeness closeness)
{
    if (m_pins.size() <= organisation) {
        return false;
    }
    for (Instance &instance : m_instances) {
        if (instance.organisation != organisation || !instance.placed || instance.shape.accelerators < accelerators
            || instance.shape.closeness < closeness || !isMovable(instance)) {
            continue;
        }
        std::map<std::uint32_t, std::vector<Candidate>> groups;
        for (const PackNode &node : usableNodes(fleet)) {
            const std::int64_t idle = std::min(fleet.free(node.worker).accelerators.count(), node.free);
            if (idle > 0) {
                const bool byWorker = instance.shape.closeness == Closeness::Worker;
                const bool byRack = instance.shape.closeness == Closeness::Rack;
                groups[byWorker ? node.worker : (byRack ? node.rack : 0)].push_back({node.worker, idle, 0, idle});
            }
        }
        for (const auto &[group, candidates] : groups) {
            std::int64_t idle = 0;
            for (const Candidate &candidate : candidates) {
                idle += candidate.unpinned;
            }
            if (idle >= instance.shape.accelerators) {
                removePins(fleet, instance);
                setPins(fleet, instance, takeFrom(candidates, instance.shape.accelerators));
                return true;
            }
        }
        return false;
    }
    return false;
}

bool GuaranteeTable::tryMoveToWorker(Fleet &fleet,
                                     OrganisationIndex organisation,
                                     std::int64_t accelerators,
                                     WorkerIndex worker)
{
    const auto unclaimedOnOneWorker = [this](const Instance &instance) {
        return instance.placed && instance.shape.closeness == Closeness::Worker && isMovable(instance);
    };
    const auto own = std::find_if(m_instances.begin(), m_instances.end(), [&](const Instance &instance) {
        return instance.organisation == organisation && instance.shape.accelerators >= accelerators
            && unclaimedOnOneWorker(instance) && instance.pins.front().worker != worker;
    });
    if (own == m_instances.end()) {
        return false;
    }
    const std::int64_t size = own->shape.accelerators;
    const FleetWorker &target = fleet.worker(worker);
    const std::vector<Pin> there = {{worker, size}};
    if (target.spec.capacity.accelerators.count() - target.pinned >= size) {
        removePins(fleet, *own);
        setPins(fleet, *own, there);
        return true;
    }
    const auto other = std::find_if(m_instances.begin(), m_instances.end(), [&](const Instance &instance) {
        return instance.organisation != organisation && instance.shape.accelerators == size
            && unclaimedOnOneWorker(instance) && instance.pins.front().worker == worker;
    });
    if (other == m_instances.end()) {
        return false;
    }
    const std::vector<Pin> here = own->pins;
    removePins(fleet, *own);
    removePins(fleet, *other);
    setPins(fleet, *own, there);
    setPins(fleet, *other, here);
    return true;
}

std::int64_t GuaranteeTable::countImpaired(OrganisationIndex organisation, std::string &reason) const
{
    std::int64_t count = 0;
    for (const Instance &instance : m_instances) {
        if (instance.organisation != organisation || instance.placed) {
            continue;
        }
        if (count++ == 0) {
            reason = "no place for " + std::to_string(instance.shape.accelerators) + " accelerators"
                + (instance.shape.closeness == Closeness::Worker     ? " on one worker"
                       : instance.shape.closeness == Closeness::Rack ? " in one rack"
                                                                     : "");
        }
    }
    if (count > 0) {
        reason += "; " + std::to_string(count) + " guaranteed instances are missing until workers return";
    }
    return count;
}

std::int64_t GuaranteeTable::guaranteed(OrganisationIndex organisation) const
{
    std::int64_t sum = 0;
    for (const Instance &instance : m_instances) {
        sum += instance.organisation == organisation ? instance.shape.accelerators : 0;
    }
    return sum;
}

} // namespace coriander::decision
