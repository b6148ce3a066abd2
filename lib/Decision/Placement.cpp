#include "corianderscale/Decision/Placement.h"

#include <algorithm>
#include <map>

namespace coriander::decision {

namespace {

/** A worker that fits at least one task. */
struct Room {
    WorkerIndex worker = 0;
    std::int64_t tasks = 0;
    /** Sort key among the workers; lower first. */
    std::int64_t preference = 0;
};

/** Sort key of a worker for a request, given its free resources; lower first. */
using Preference = std::int64_t (*)(const FleetWorker &, const Resources &free, const PlacementRequest &);

bool isAllowed(const Fleet &fleet, const PlacementRequest &request, WorkerIndex worker)
{
    if (request.probe == worker) {
        return fleet.worker(worker).state == WorkerState::Live;
    }
    if (request.probe && request.tasks == 1) {
        return false;
    }
    if (!fleet.usable(worker) || (request.reserved != nullptr && (*request.reserved)[worker] != 0)) {
        return false;
    }
    return request.avoidedWorkers.empty()
        || !std::binary_search(request.avoidedWorkers.begin(), request.avoidedWorkers.end(), worker);
}

Room findRoom(const Fleet &fleet, const PlacementRequest &request, WorkerIndex worker, Preference preference)
{
    const Resources free = request.freeOf ? request.freeOf(worker) : fleet.free(worker);
    const std::int64_t tasks = countFitting(free, request.size, request.tasks);
    if (tasks == 0 || !isAllowed(fleet, request, worker)) {
        return {worker, 0, 0};
    }
    return {worker, tasks, preference(fleet.worker(worker), free, request)};
}

/** Rooms of one rack, or of the whole fleet without a rack. */
std::vector<Room> findRooms(const Fleet &fleet,
                            const PlacementRequest &request,
                            const FleetRack *rack,
                            Preference preference)
{
    std::vector<Room> rooms;
    const auto add = [&](WorkerIndex worker) {
        const Room room = findRoom(fleet, request, worker, preference);
        if (room.tasks > 0) {
            rooms.push_back(room);
        }
    };
    if (rack != nullptr) {
        std::for_each(rack->workers.begin(), rack->workers.end(), add);
        return rooms;
    }
    for (WorkerIndex worker = 0; worker < fleet.workers().size(); ++worker) {
        add(worker);
    }
    return rooms;
}

/** Assigns the tasks to the rooms in order of preference; returns no value when the rooms are too few. */
std::optional<GangParts> fill(std::vector<Room> rooms, std::int64_t tasks)
{
    std::int64_t total = 0;
    for (const Room &room : rooms) {
        total += room.tasks;
    }
    if (total < tasks) {
        return std::nullopt;
    }
    std::stable_sort(rooms.begin(), rooms.end(), [](const Room &left, const Room &right) {
        return left.preference < right.preference;
    });
    GangParts parts;
    for (const Room &room : rooms) {
        const std::int64_t count = std::min(room.tasks, tasks);
        parts.push_back({room.worker, count});
        tasks -= count;
        if (tasks == 0) {
            break;
        }
    }
    return parts;
}

std::optional<GangParts> placeOnOneWorker(const Fleet &fleet, const PlacementRequest &request, Preference preference)
{
    std::optional<Room> best;
    for (WorkerIndex worker = 0; worker < fleet.workers().size(); ++worker) {
        const Room room = findRoom(fleet, request, worker, preference);
        if (room.tasks >= request.tasks && (!best || room.preference < best->preference)) {
            best = room;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return GangParts{{best->worker, request.tasks}};
}

/** The rack with the lowest @p rackPreference whose workers fit the gang. */
std::optional<GangParts> placeInOneRack(const Fleet &fleet,
                                        const PlacementRequest &request,
                                        Preference preference,
                                        std::int64_t (*rackPreference)(const FleetRack &))
{
    const FleetRack *best = nullptr;
    std::vector<Room> bestRooms;
    const std::int64_t wanted = request.tasks * request.size.accelerators.count();
    for (const FleetRack &rack : fleet.racks()) {
        if (best != nullptr && rackPreference(rack) >= rackPreference(*best)) {
            continue;
        }
        if (!request.freeOf && !request.probe && rack.freeAccelerators < wanted) {
            continue;
        }
        std::vector<Room> rooms = findRooms(fleet, request, &rack, preference);
        std::int64_t total = 0;
        for (const Room &room : rooms) {
            total += room.tasks;
        }
        if (total >= request.tasks) {
            best = &rack;
            bestRooms = std::move(rooms);
        }
    }
    return best == nullptr ? std::nullopt : fill(std::move(bestRooms), request.tasks);
}

std::optional<GangParts> placeBy(const Fleet &fleet,
                                 const PlacementRequest &request,
                                 Preference preference,
                                 std::int64_t (*rackPreference)(const FleetRack &),
                                 bool tryRackFirst)
{
    if (request.closeness == Closeness::Worker || request.tasks == 1) {
        return placeOnOneWorker(fleet, request, preference);
    }
    if (request.closeness == Closeness::Rack || tryRackFirst) {
        std::optional<GangParts> parts = placeInOneRack(fleet, request, preference, rackPreference);
        if (parts || request.closeness == Closeness::Rack) {
            return parts;
        }
    }
    return fill(findRooms(fleet, request, nullptr, preference), request.tasks);
}

std::int64_t freeKey(const FleetWorker &, const Resources &free, const PlacementRequest &)
{
    return free.accelerators.count() * 1000000 + free.cores.count();
}

std::int64_t fragmentationKey(const FleetWorker &worker, const Resources &free, const PlacementRequest &request)
{
    // Jobs on accelerators of unclaimed guarantees are preempted first, so such workers get a small penalty.
    const std::int64_t unclaimed = std::max<std::int64_t>(worker.pinned - worker.claimed, 0);
    // Jobs that cannot checkpoint are placed together, so that compaction can empty other workers.
    const std::int64_t mixingPenalty = (worker.nonCheckpointable > 0) == request.losesWork ? 0 : 1;
    const std::int64_t accelerators = free.accelerators.count();
    if (request.size.accelerators.count() == 0) {
        return worker.spec.capacity.accelerators.count() * 1000000000 + accelerators * 1000000 + free.cores.count();
    }
    const bool allFree = accelerators == worker.spec.capacity.accelerators.count();
    const std::int64_t rest = accelerators % request.size.accelerators.count();
    // The weights decrease from the first term to the last, so that earlier terms take precedence.
    return (allFree ? 1000000000 : 0) + mixingPenalty * 100000000 + accelerators * 1000000 + rest * 100000
        + std::min<std::int64_t>(unclaimed, 99);
}

std::int64_t anyRack(const FleetRack &)
{
    return 0;
}

std::int64_t tightestRack(const FleetRack &rack)
{
    return rack.freeAccelerators;
}

} // namespace

std::optional<GangParts> placeFirstFit(const Fleet &fleet, const PlacementRequest &request)
{
    const Preference none = [](const FleetWorker &, const Resources &, const PlacementRequest &) -> std::int64_t {
        return 0;
    };
    return placeBy(fleet, request, none, anyRack, false);
}

std::optional<GangParts> placeBestFit(const Fleet &fleet, const PlacementRequest &request)
{
    return placeBy(fleet, request, freeKey, tightestRack, false);
}

std::optional<GangParts> placeTightest(const Fleet &fleet, const PlacementRequest &request)
{
    if (request.tasks > 1 && request.closeness != Closeness::Worker) {
        // A gang on one partly used worker fragments the fleet less and is easier to move than one on several workers.
        const std::optional<GangParts> together = placeOnOneWorker(fleet, request, fragmentationKey);
        if (together && fleet.worker(together->front().worker).used.accelerators.count() > 0) {
            return together;
        }
    }
    return placeBy(fleet, request, fragmentationKey, tightestRack, true);
}

bool fitsWhenEmpty(const std::vector<const FleetWorker *> &workers, const PlacementRequest &request)
{
    std::map<std::uint32_t, std::int64_t> groups;
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        const FleetWorker &worker = *workers[index];
        std::uint32_t group = 0;
        if (request.closeness == Closeness::Worker || request.tasks == 1) {
            group = index;
        } else if (request.closeness == Closeness::Rack) {
            group = worker.rack;
        }
        std::int64_t &total = groups[group];
        total += countFitting(worker.spec.capacity, request.size, request.tasks);
        if (total >= request.tasks) {
            return true;
        }
    }
    return false;
}

} // namespace coriander::decision
