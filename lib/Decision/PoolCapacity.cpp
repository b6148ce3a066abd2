#include "corianderscale/Decision/PoolCapacity.h"

#include <algorithm>

namespace coriander::decision {

std::size_t countFitting(const Resources &size, const Resources &room, std::size_t most)
{
    auto count = static_cast<std::int64_t>(most);
    const auto limit = [&count](std::int64_t need, std::int64_t have) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(size.accelerators.count(), room.accelerators.count());
    limit(size.cores.count(), room.cores.count());
    limit(size.memory.count(), room.memory.count());
    return static_cast<std::size_t>(count);
}

void PoolCapacity::add(const Resources &capacity, const std::vector<std::string> &labels)
{
    ++m_workers[{}][capacity];
    for (const std::string &label : labels) {
        if (!label.empty()) {
            ++m_workers[label][capacity];
        }
    }
}

bool PoolCapacity::canHold(const Need &need) const
{
    const auto workers = m_workers.find(need.label);
    if (workers == m_workers.end()) {
        return false;
    }
    std::size_t slots = 0;
    for (const auto &[capacity, count] : workers->second) {
        const std::size_t most = need.maximumPerWorker == 0 ? need.tasks : std::min(need.maximumPerWorker, need.tasks);
        slots += count * countFitting(need.perTask, capacity, most);
        if (slots >= need.tasks) {
            return true;
        }
    }
    return false;
}

} // namespace coriander::decision
