#include "corianderscale/Workflow/UrgentReserve.h"

#include "corianderscale/Decision/WorkerSpeed.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriander::workflow {

namespace {

/** Time constant of the decay of the peak; bursts of urgent work come a few times a minute. */
constexpr double PeakDecaySeconds = 10;
/** Maximum share of a pool's accelerators that is reserved; a third stays available to other work. */
constexpr double MaximumReservedShare = 0.65;
/** Nothing is reserved while a smaller share of a pool's accelerators is in use, because there is room for all work.
   The contract names one half; the rest allows for runs that end during a pass. */
constexpr double MinimumUsedShare = 0.55;

struct RackUse {
    std::vector<std::size_t> entries;
    /** Accelerators of the open workers that are fast enough for urgent work, and of all open workers. */
    std::int64_t capacity = 0;
    std::int64_t openCapacity = 0;
};

} // namespace

void UrgentReserve::apply(const Demand &demand, PlacementBoard &board, MonotonicTime now)
{
    std::map<ServiceName, std::map<RackId, RackUse>> racks;
    std::map<ServiceName, std::pair<std::int64_t, std::int64_t>> useAndCapacity;
    for (std::size_t i = 0; i < board.entries().size(); ++i) {
        const Worker &worker = *board.entries()[i].worker;
        const std::int64_t capacity = worker.report.capacity.accelerators.count();
        if (capacity == 0) {
            continue; // It can't serve the demand, which is for accelerators.
        }
        RackUse &rack = racks[worker.report.service][worker.report.rack];
        const std::int64_t open = board.entries()[i].open ? capacity : 0;
        rack.openCapacity += open;
        if (board.entries()[i].speed >= decision::SlowSpeed) {
            rack.entries.push_back(i);
            rack.capacity += open;
        }
        if (!worker.known) {
            continue; // Its entry may come from another writer.
        }
        auto &[used, total] = useAndCapacity[worker.report.service];
        used += worker.used.accelerators.count();
        total += capacity;
    }
    for (const auto &[service, requested] : demand) {
        Pool &pool = m_pools[service];
        const double seconds = std::chrono::duration<double>(now - pool.updatedAt).count();
        pool.peak = std::max(static_cast<double>(requested),
                             pool.peak * std::exp(-std::max(seconds, 0.0) / PeakDecaySeconds));
        pool.updatedAt = now;
        const auto &[used, total] = useAndCapacity[service];
        if (total == 0 || static_cast<double>(used) < MinimumUsedShare * static_cast<double>(total)) {
            continue;
        }
        const double limit = MaximumReservedShare * static_cast<double>(total);
        double reserved = 0;
        double touched = 0;
        std::size_t count = 0;
        for (const auto &[id, rack] : racks[service]) {
            if (rack.entries.empty()) {
                continue;
            }
            touched += static_cast<double>(rack.openCapacity);
            if (reserved >= std::floor(pool.peak) || touched > limit) {
                break;
            }
            reserved += static_cast<double>(rack.capacity);
            ++count;
            for (const std::size_t entry : rack.entries) {
                board.entries()[entry].reserved = true;
            }
        }
        if (std::exchange(pool.racks, count) != count) {
            logEvent(LogLevel::Info,
                     "reserve-changed",
                     {{"service", service},
                      {"racks", count},
                      {"accelerators", reserved},
                      {"demand", requested},
                      {"peak", pool.peak},
                      {"used", used},
                      {"capacity", total}});
        }
    }
}

} // namespace coriander::workflow
