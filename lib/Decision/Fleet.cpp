#include "corianderscale/Decision/Fleet.h"

#include <algorithm>
#include <cassert>

namespace coriander::decision {

Resources operator+(const Resources &left, const Resources &right)
{
    return {left.cores + right.cores, left.memory + right.memory, left.accelerators + right.accelerators};
}

Resources operator-(const Resources &left, const Resources &right)
{
    return {left.cores - right.cores, left.memory - right.memory, left.accelerators - right.accelerators};
}

Resources operator*(const Resources &resources, std::int64_t factor)
{
    return {resources.cores * factor, resources.memory * factor, resources.accelerators * factor};
}

std::int64_t countFitting(const Resources &free, const Resources &size, std::int64_t most)
{
    if (free.cores < size.cores || free.memory < size.memory || free.accelerators < size.accelerators) {
        return 0;
    }
    std::int64_t count = most;
    const auto bound = [&count](std::int64_t available, std::int64_t each) {
        if (each > 0 && available < each * count) {
            count = available / each;
        }
    };
    bound(free.accelerators.count(), size.accelerators.count());
    bound(free.cores.count(), size.cores.count());
    bound(free.memory.count(), size.memory.count());
    return count;
}

std::uint32_t Fleet::rackOf(const RackId &id)
{
    const auto [entry, added] = m_rackById.try_emplace(id, static_cast<std::uint32_t>(m_racks.size()));
    if (added) {
        m_racks.push_back({id, {}, 0});
    }
    return entry->second;
}

void Fleet::updateUsableTotals(WorkerIndex worker, std::int64_t sign)
{
    if (!usable(worker)) {
        return;
    }
    const FleetWorker &entry = m_workers[worker];
    m_usableWorkers += sign;
    m_usableCapacity = m_usableCapacity + entry.spec.capacity * sign;
    m_racks[entry.rack].freeAccelerators += free(worker).accelerators.count() * sign;
}

WorkerIndex Fleet::join(const WorkerSpec &spec)
{
    const std::optional<WorkerIndex> known = find(spec.id);
    WorkerIndex index = 0;
    if (known) {
        index = *known;
        updateUsableTotals(index, -1);
        std::vector<WorkerIndex> &neighbours = m_racks[m_workers[index].rack].workers;
        neighbours.erase(std::find(neighbours.begin(), neighbours.end(), index));
    } else if (!m_vacant.empty()) {
        index = m_vacant.back();
        m_vacant.pop_back();
        m_workers[index] = {};
    } else {
        index = static_cast<WorkerIndex>(m_workers.size());
        m_workers.emplace_back();
    }
    FleetWorker &entry = m_workers[index];
    entry.spec = spec;
    entry.rack = rackOf(spec.rack);
    entry.state = WorkerState::Live;
    entry.lostSince = NeverDue;
    m_byId[spec.id] = index;
    std::vector<WorkerIndex> &neighbours = m_racks[entry.rack].workers;
    const auto before = [this](WorkerIndex left, WorkerIndex right) {
        const WorkerSpec &a = m_workers[left].spec;
        const WorkerSpec &b = m_workers[right].spec;
        return std::tie(a.position, a.id) < std::tie(b.position, b.id);
    };
    neighbours.insert(std::upper_bound(neighbours.begin(), neighbours.end(), index, before), index);
    updateUsableTotals(index, 1);
    return index;
}

void Fleet::setState(WorkerIndex worker, WorkerState state, MonotonicTime now)
{
    updateUsableTotals(worker, -1);
    m_workers[worker].state = state;
    m_workers[worker].lostSince = state == WorkerState::Lost ? now : NeverDue;
    updateUsableTotals(worker, 1);
}

void Fleet::setQuarantined(WorkerIndex worker, bool quarantined)
{
    updateUsableTotals(worker, -1);
    m_workers[worker].quarantined = quarantined;
    updateUsableTotals(worker, 1);
}

void Fleet::removeLost(MonotonicTime horizon)
{
    for (WorkerIndex index = 0; index < m_workers.size(); ++index) {
        FleetWorker &entry = m_workers[index];
        if (entry.state != WorkerState::Lost || entry.lostSince > horizon || !entry.jobs.empty()) {
            continue;
        }
        std::vector<WorkerIndex> &neighbours = m_racks[entry.rack].workers;
        neighbours.erase(std::find(neighbours.begin(), neighbours.end(), index));
        m_byId.erase(entry.spec.id);
        entry = {};
        m_vacant.push_back(index);
    }
}

void Fleet::charge(WorkerIndex worker, const Resources &amount, std::int64_t sign)
{
    FleetWorker &entry = m_workers[worker];
    entry.used = entry.used + amount * sign;
    if (usable(worker)) {
        m_racks[entry.rack].freeAccelerators -= amount.accelerators.count() * sign;
    }
}

void Fleet::allocate(Job &job)
{
    for (const GangPart &part : job.parts) {
        charge(part.worker, job.size * part.tasks, 1);
        m_workers[part.worker].nonCheckpointable
            += job.request.canCheckpoint ? 0 : part.tasks * job.size.accelerators.count();
        m_workers[part.worker].jobs.push_back(&job);
    }
}

void Fleet::deallocate(Job &job)
{
    for (const GangPart &part : job.parts) {
        charge(part.worker, job.size * part.tasks, -1);
        m_workers[part.worker].nonCheckpointable
            -= job.request.canCheckpoint ? 0 : part.tasks * job.size.accelerators.count();
        std::vector<Job *> &jobs = m_workers[part.worker].jobs;
        const auto place = std::find(jobs.begin(), jobs.end(), &job);
        assert(place != jobs.end() && "a placed job is listed on each of its workers");
        *place = jobs.back();
        jobs.pop_back();
    }
    job.parts.clear();
}

std::optional<WorkerIndex> Fleet::find(const WorkerId &id) const
{
    const auto place = m_byId.find(id);
    if (place == m_byId.end()) {
        return std::nullopt;
    }
    return place->second;
}

Resources Fleet::free(WorkerIndex worker) const
{
    return m_workers[worker].spec.capacity - m_workers[worker].used;
}

GangPlacement Fleet::expand(const GangParts &parts) const
{
    GangPlacement placement;
    for (const GangPart &part : parts) {
        placement.insert(placement.end(), static_cast<std::size_t>(part.tasks), m_workers[part.worker].spec.id);
    }
    return placement;
}

} // namespace coriander::decision
