#include "Decision/ExactPacking.h"

#include <algorithm>
#include <functional>
#include <set>

namespace coriander::decision::test {

namespace {

/** Maximum flow by augmenting paths over a dense capacity matrix; the graphs have a few dozen nodes. */
class MaximumFlow
{
public:
    explicit MaximumFlow(std::size_t nodes)
        : m_capacity(nodes, std::vector<std::int64_t>(nodes, 0))
    {
    }

    void add(std::size_t from, std::size_t to, std::int64_t capacity)
    {
        m_capacity[from][to] += capacity;
    }

    std::int64_t run(std::size_t source, std::size_t sink)
    {
        std::int64_t total = 0;
        while (true) {
            std::vector<char> seen(m_capacity.size(), 0);
            const std::int64_t pushed = augment(source, sink, INT64_MAX, seen);
            if (pushed == 0) {
                return total;
            }
            total += pushed;
        }
    }

private:
    std::int64_t augment(std::size_t node, std::size_t sink, std::int64_t limit, std::vector<char> &seen)
    {
        if (node == sink) {
            return limit;
        }
        seen[node] = 1;
        for (std::size_t next = 0; next < m_capacity.size(); ++next) {
            if (seen[next] != 0 || m_capacity[node][next] == 0) {
                continue;
            }
            const std::int64_t pushed = augment(next, sink, std::min(limit, m_capacity[node][next]), seen);
            if (pushed > 0) {
                m_capacity[node][next] -= pushed;
                m_capacity[next][node] += pushed;
                return pushed;
            }
        }
        return 0;
    }

    std::vector<std::vector<std::int64_t>> m_capacity;
};

/** Depth-first search over the worker or rack of each item. */
class Search
{
public:
    Search(const std::vector<ExactWorker> &workers, const std::vector<ExactItem> &items, const ExactClaims &claims)
        : m_workers(workers)
        , m_items(items)
        , m_claims(claims)
        , m_group(items.size())
    {
    }

    bool run(std::size_t depth = 0)
    {
        if (!feasible(depth)) {
            return false;
        }
        if (depth == m_items.size()) {
            return true;
        }
        std::set<std::string> groups = {""};
        if (m_items[depth].closeness != Closeness::None) {
            groups.clear();
            for (const ExactWorker &worker : m_workers) {
                groups.insert(m_items[depth].closeness == Closeness::Worker ? worker.id : worker.rack);
            }
        }
        return std::any_of(groups.begin(), groups.end(), [this, depth](const std::string &group) {
            m_group[depth] = group;
            return run(depth + 1);
        });
    }

private:
    bool canUse(std::size_t item, const ExactWorker &worker, std::size_t decided) const
    {
        if (item >= decided || m_items[item].closeness == Closeness::None) {
            return true;
        }
        return m_group[item] == (m_items[item].closeness == Closeness::Worker ? worker.id : worker.rack);
    }

    /** Whether the items fit when those from index @p decided on may be split over all workers. */
    bool feasible(std::size_t decided) const
    {
        std::vector<std::string> owners;
        for (const ExactItem &item : m_items) {
            owners.push_back(item.organisation);
        }
        std::sort(owners.begin(), owners.end());
        owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
        // Nodes: source, sink, super source, super sink, items, (organisation, worker) pairs, workers.
        const std::size_t itemBase = 4;
        const std::size_t pairBase = itemBase + m_items.size();
        const std::size_t workerBase = pairBase + owners.size() * m_workers.size();
        MaximumFlow flow(workerBase + m_workers.size());
        std::int64_t wanted = 0;
        std::int64_t demanded = 0;
        const auto addLowerBound = [&](std::size_t from, std::size_t to, std::int64_t bound) {
            flow.add(2, to, bound);
            flow.add(from, 3, bound);
            demanded += bound;
        };
        for (std::size_t i = 0; i < m_items.size(); ++i) {
            addLowerBound(0, itemBase + i, m_items[i].accelerators);
            wanted += m_items[i].accelerators;
            const auto owner = static_cast<std::size_t>(
                std::lower_bound(owners.begin(), owners.end(), m_items[i].organisation) - owners.begin());
            for (std::size_t w = 0; w < m_workers.size(); ++w) {
                if (canUse(i, m_workers[w], decided)) {
                    flow.add(itemBase + i, pairBase + owner * m_workers.size() + w, m_items[i].accelerators);
                }
            }
        }
        std::int64_t claimed = 0;
        for (std::size_t o = 0; o < owners.size(); ++o) {
            for (std::size_t w = 0; w < m_workers.size(); ++w) {
                const std::size_t pair = pairBase + o * m_workers.size() + w;
                const auto claim = m_claims.find({owners[o], m_workers[w].id});
                const std::int64_t bound = claim == m_claims.end() ? 0 : claim->second;
                claimed += bound;
                addLowerBound(pair, workerBase + w, bound);
                flow.add(pair, workerBase + w, std::max<std::int64_t>(wanted - bound, 0));
            }
        }
        std::int64_t allClaims = 0;
        for (const auto &[key, amount] : m_claims) {
            allClaims += amount;
        }
        if (claimed != allClaims) {
            return false;
        }
        for (std::size_t w = 0; w < m_workers.size(); ++w) {
            flow.add(workerBase + w, 1, m_workers[w].accelerators);
        }
        flow.add(1, 0, wanted);
        return flow.run(2, 3) == demanded;
    }

    const std::vector<ExactWorker> &m_workers;
    const std::vector<ExactItem> &m_items;
    const ExactClaims &m_claims;
    std::vector<std::string> m_group;
};

} // namespace

bool isPackable(const std::vector<ExactWorker> &workers, const std::vector<ExactItem> &items, const ExactClaims &claims)
{
    return Search(workers, items, claims).run();
}

} // namespace coriander::decision::test
