#include "corianderscale/Decision/Packing.h"

#include "corianderscale/Decision/Scheduler.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace coriander::decision {

namespace {

/**
 * Depth-first search. Items for one worker are assigned to workers, items for one rack to racks; items without
 * closeness only need enough free accelerators in total. Rack items are split over the rack's workers after the search,
 * which is always possible when the sums per rack fit.
 */
class PackSearch
{
public:
    PackSearch(const std::vector<PackNode> &nodes, const std::vector<PackItem> &items, std::int64_t budget)
        : m_nodes(nodes)
        , m_items(items)
        , m_budget(budget)
        , m_order(items.size())
        , m_choice(items.size())
    {
        for (const PackNode &node : nodes) {
            m_rackFree[node.rack] += node.free;
            m_totalFree += node.free;
        }
        std::iota(m_order.begin(), m_order.end(), 0);
        std::stable_sort(m_order.begin(), m_order.end(), [&items](std::size_t left, std::size_t right) {
            if (items[left].closeness != items[right].closeness) {
                return items[left].closeness > items[right].closeness;
            }
            return items[left].accelerators > items[right].accelerators;
        });
    }

    bool run(std::size_t depth = 0)
    {
        m_deepest = std::max(m_deepest, depth);
        if (depth == m_order.size()) {
            return true;
        }
        if (m_budget-- <= 0) {
            return false;
        }
        const PackItem &item = m_items[m_order[depth]];
        switch (item.closeness) {
        case Closeness::Worker:
            return tryWorkers(depth, item);
        case Closeness::Rack:
            return tryRacks(depth, item);
        case Closeness::None:
            break;
        }
        if (m_totalFree < item.accelerators) {
            return false;
        }
        m_totalFree -= item.accelerators;
        if (run(depth + 1)) {
            return true;
        }
        m_totalFree += item.accelerators;
        return false;
    }

    /** Turns the choices into pins. Precondition: run() succeeded. */
    std::vector<std::vector<Pin>> pins()
    {
        std::vector<std::vector<Pin>> result(m_items.size());
        for (const std::size_t index : m_order) {
            const PackItem &item = m_items[index];
            if (item.closeness == Closeness::Worker) {
                result[index].push_back({m_nodes[m_choice[index]].worker, item.accelerators});
            } else {
                result[index] = split(item, m_choice[index]);
            }
        }
        return result;
    }

    std::size_t failedItem() const
    {
        return m_order.empty() ? 0 : m_order[std::min(m_deepest, m_order.size() - 1)];
    }

private:
    bool tryWorkers(std::size_t depth, const PackItem &item)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if (m_nodes[node].free >= item.accelerators) {
                candidates.push_back(node);
            }
        }
        std::stable_sort(candidates.begin(), candidates.end(), [this](std::size_t left, std::size_t right) {
            return m_nodes[left].free < m_nodes[right].free;
        });
        // Workers of one rack with the same free count are interchangeable.
        std::set<std::pair<std::uint32_t, std::int64_t>> seen;
        for (const std::size_t node : candidates) {
            if (!seen.emplace(m_nodes[node].rack, m_nodes[node].free).second) {
                continue;
            }
            m_choice[m_order[depth]] = node;
            allocate(node, item.accelerators);
            if (run(depth + 1)) {
                return true;
            }
            allocate(node, -item.accelerators);
            if (m_budget <= 0) {
                return false;
            }
        }
        return false;
    }

    bool tryRacks(std::size_t depth, const PackItem &item)
    {
        std::vector<std::pair<std::int64_t, std::uint32_t>> candidates;
        for (const auto &[rack, free] : m_rackFree) {
            if (free >= item.accelerators) {
                candidates.emplace_back(free, rack);
            }
        }
        std::sort(candidates.begin(), candidates.end());
        std::int64_t lastFree = -1;
        for (const auto &[free, rack] : candidates) {
            // Only rack and unconstrained items follow, for which racks with equal sums are interchangeable.
            if (free == lastFree) {
                continue;
            }
            lastFree = free;
            m_choice[m_order[depth]] = rack;
            m_rackFree[rack] -= item.accelerators;
            m_totalFree -= item.accelerators;
            if (run(depth + 1)) {
                return true;
            }
            m_rackFree[rack] += item.accelerators;
            m_totalFree += item.accelerators;
            if (m_budget <= 0) {
                return false;
            }
        }
        return false;
    }

    void allocate(std::size_t node, std::int64_t amount)
    {
        m_nodes[node].free -= amount;
        m_rackFree[m_nodes[node].rack] -= amount;
        m_totalFree -= amount;
    }

    /** Takes the workers with the most free accelerators first, so that a gang on the pins spans few workers. */
    std::vector<Pin> split(const PackItem &item, std::size_t rack)
    {
        std::vector<std::size_t> candidates;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if (m_nodes[node].free > 0 && (item.closeness == Closeness::None || m_nodes[node].rack == rack)) {
                candidates.push_back(node);
            }
        }
        std::stable_sort(candidates.begin(), candidates.end(), [this](std::size_t left, std::size_t right) {
            return m_nodes[left].free > m_nodes[right].free;
        });
        std::vector<Pin> pins;
        std::int64_t missing = item.accelerators;
        for (const std::size_t node : candidates) {
            const std::int64_t amount = std::min(missing, m_nodes[node].free);
            if (amount == 0) {
                break;
            }
            pins.push_back({m_nodes[node].worker, amount});
            m_nodes[node].free -= amount;
            missing -= amount;
        }
        return pins;
    }

    std::vector<PackNode> m_nodes;
    const std::vector<PackItem> &m_items;
    std::int64_t m_budget;
    std::vector<std::size_t> m_order;
    std::vector<std::size_t> m_choice;
    std::map<std::uint32_t, std::int64_t> m_rackFree;
    std::int64_t m_totalFree = 0;
    std::size_t m_deepest = 0;
};

const char *describe(Closeness closeness)
{
    switch (closeness) {
    case Closeness::Worker:
        return "on one worker";
    case Closeness::Rack:
        return "in one rack";
    case Closeness::None:
        break;
    }
    return "anywhere";
}

} // namespace

std::optional<std::vector<std::vector<Pin>>> packItems(const std::vector<PackNode> &nodes,
                                                       const std::vector<PackItem> &items,
                                                       std::int64_t budget,
                                                       std::size_t &failedItem)
{
    PackSearch search(nodes, items, budget);
    if (!search.run()) {
        failedItem = search.failedItem();
        return std::nullopt;
    }
    return search.pins();
}

bool packGuarantees(const std::vector<WorkerSpec> &workers,
                    const std::vector<OrganisationPolicy> &organisations,
                    std::string &reason)
{
    std::vector<PackNode> nodes;
    std::map<RackId, std::uint32_t> racks;
    for (const WorkerSpec &worker : workers) {
        const auto rack = racks.try_emplace(worker.rack, static_cast<std::uint32_t>(racks.size())).first->second;
        nodes.push_back({static_cast<WorkerIndex>(nodes.size()), rack, worker.capacity.accelerators.count()});
    }
    std::vector<PackItem> items;
    std::vector<const OrganisationPolicy *> owners;
    for (const OrganisationPolicy &organisation : organisations) {
        for (const Guarantee &guarantee : organisation.guarantees) {
            const auto count = static_cast<std::size_t>(std::max<std::int64_t>(guarantee.count, 0));
            items.insert(items.end(), count, {guarantee.accelerators.count(), guarantee.closeness});
            owners.insert(owners.end(), count, &organisation);
        }
    }
    std::size_t failed = 0;
    if (packItems(nodes, items, DocumentPackSteps, failed)) {
        return true;
    }
    reason = "the guarantee of " + std::to_string(items[failed].accelerators) + " accelerators "
        + describe(items[failed].closeness) + " of organisation " + owners[failed]->id.value()
        + " does not fit beside the other guarantees; lower a count or declare more racks";
    return false;
}

} // namespace coriander::decision
