#include "corianderscale/Workflow/Placement.h"

#include "corianderscale/Decision/PoolCapacity.h"
#include "corianderscale/Decision/WorkerSpeed.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace coriander::workflow {

namespace {

/** Whether @p worker can take new runs. */
bool takesWork(const Worker &worker)
{
    return worker.known && !worker.reportOutdated && worker.silentCalls == 0 && worker.clock.has_value();
}

/** Places the tasks of one need on given entries of a board. */
class TaskPlacer
{
public:
    TaskPlacer(const PlacementBoard &board, const PlacementNeed &need)
        : m_board(board)
        , m_need(need)
        , m_eligible(board.eligible(need))
    {
    }

    const std::vector<std::size_t> &eligible() const
    {
        return m_eligible;
    }

    bool isOpen(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        const bool open = entry.open || (entry.avoided && m_need.preferencesEnd);
        return open && (m_need.urgent || m_need.preferencesEnd || !entry.reserved);
    }

    std::size_t slots(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        return limitSlots(entry, decision::countFitting(m_need.perTask, entry.room, m_need.tasks));
    }

    /** Number of tasks that fit on the worker when it is empty. */
    std::size_t capacitySlots(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        return limitSlots(entry, decision::countFitting(m_need.perTask, entry.worker->report.capacity, m_need.tasks));
    }

    /** Places all tasks, or as many as fit, on the entries and takes their room. */
    std::vector<std::size_t> take(PlacementBoard &board, const std::vector<std::size_t> &entries)
    {
        // A task changes only the key of its own entry, so the others keep their order.
        const auto isWorse = [](const auto &left, const auto &right) {
            return left > right;
        };
        std::vector<std::pair<SortKey, std::size_t>> heap;
        for (const std::size_t index : entries) {
            if (canTake(index)) {
                heap.emplace_back(sortKey(m_board.entries()[index]), index);
            }
        }
        std::make_heap(heap.begin(), heap.end(), isWorse);
        std::vector<std::size_t> chosen;
        while (chosen.size() < m_need.tasks && !heap.empty()) {
            std::pop_heap(heap.begin(), heap.end(), isWorse);
            const std::size_t best = heap.back().second;
            heap.pop_back();
            BoardEntry &entry = board.entries()[best];
            entry.room = minus(entry.room, m_need.perTask);
            ++entry.runs;
            if (m_need.maximumPerWorker > 0) {
                ++m_need.placedTasks[entry.worker->report.id];
            }
            chosen.push_back(best);
            if (canTake(best)) {
                heap.emplace_back(sortKey(entry), best);
                std::push_heap(heap.begin(), heap.end(), isWorse);
            }
        }
        return chosen;
    }

private:
    using SortKey = std::tuple<bool, bool, bool, int, std::int64_t, std::int64_t, std::int64_t>;

    std::size_t limitSlots(const BoardEntry &entry, std::size_t slots) const
    {
        slots = std::min(slots, m_need.maximumRunsPerWorker - std::min(m_need.maximumRunsPerWorker, entry.runs));
        if (m_need.maximumPerWorker == 0) {
            return slots;
        }
        const auto placed = m_need.placedTasks.find(entry.worker->report.id);
        const std::size_t taken = placed == m_need.placedTasks.end() ? 0 : placed->second;
        return std::min(slots, m_need.maximumPerWorker - std::min(m_need.maximumPerWorker, taken));
    }

    /**
     * Sort key of an entry, the smallest is best: workers away from the data and workers to avoid come last, urgent
     * work prefers reserved workers and other work those that are not, work that can wait prefers slow ones, then
     * workers with the least room left after the task come first, compared by accelerators, cores and memory.
     */
    SortKey sortKey(const BoardEntry &entry) const
    {
        const bool avoided = entry.avoided || entry.worker->failuresInRow > 0
            || (!m_need.avoid.empty() && m_need.avoid.count(entry.worker->report.id) > 0);
        const decision::Resources left = minus(entry.room, m_need.perTask);
        const bool meantForOthers = m_need.urgent ? !entry.reserved : entry.reserved;
        const bool away = !m_need.dataRack.empty() && entry.worker->report.rack != m_need.dataRack;
        return {away,
                avoided,
                meantForOthers,
                speedRank(entry),
                left.accelerators.count(),
                left.cores.count(),
                left.memory.count()};
    }

    /** Urgent work that needs a speed prefers workers whose speed is known. Work that can wait prefers slow workers,
     * and tries unknown ones before those that are known to be fast. */
    int speedRank(const BoardEntry &entry) const
    {
        if (m_need.minimumSpeed > 0) {
            return entry.speedKnown ? 0 : 1;
        }
        if (m_need.preferSlow && entry.speedKnown) {
            return entry.speed < decision::SlowSpeed ? 0 : 2;
        }
        return m_need.preferSlow ? 1 : 0;
    }

    /** Whether the worker can take one more task. */
    bool canTake(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        return isOpen(index) && fitsInto(m_need.perTask, entry.room) && limitSlots(entry, 1) > 0;
    }

    const PlacementBoard &m_board;
    PlacementNeed m_need;
    std::vector<std::size_t> m_eligible;
};

/** The rack with the fewest free slots that can hold all tasks. Urgent work prefers racks of reserved workers; the
 * last open worker of a rack decides whether the rack counts as reserved. */
std::optional<std::size_t> tightestRack(const PlacementBoard &board,
                                        const TaskPlacer &placer,
                                        const PlacementNeed &need)
{
    std::vector<std::size_t> slots(board.rackCount());
    std::vector<bool> unreserved(board.rackCount());
    for (const std::size_t index : placer.eligible()) {
        const BoardEntry &entry = board.entries()[index];
        if (placer.isOpen(index)) {
            slots[entry.rack] += placer.slots(index);
            unreserved[entry.rack] = need.urgent && !entry.reserved;
        }
    }
    const auto order = [&slots, &unreserved](std::size_t rack) {
        return std::pair(static_cast<bool>(unreserved[rack]), slots[rack]);
    };
    std::optional<std::size_t> best;
    for (std::size_t rack = 0; rack < slots.size(); ++rack) {
        if (slots[rack] >= need.tasks && (!best || order(rack) < order(*best))) {
            best = rack;
        }
    }
    return best;
}

/** Whether there is a rack that could hold all tasks if its workers were empty. */
bool anyRackFitsWhenEmpty(const PlacementBoard &board, const TaskPlacer &placer, const PlacementNeed &need)
{
    std::vector<std::size_t> slots(board.rackCount());
    for (const std::size_t index : placer.eligible()) {
        slots[board.entries()[index].rack] += placer.capacitySlots(index);
    }
    return std::any_of(slots.begin(), slots.end(), [&need](std::size_t count) { return count >= need.tasks; });
}

} // namespace

PlacementBoard::PlacementBoard(const WorkerTable &workers,
                               MonotonicTime now,
                               const std::set<DataCentreId> &silent,
                               const std::set<DataCentreId> &evacuated)
{
    m_entries.reserve(workers.all().size());
    for (const auto &[id, worker] : workers.all()) {
        if (!worker.listed || worker.report.draining || evacuated.count(worker.report.dataCentre) > 0) {
            continue;
        }
        const std::size_t rack = m_racks.try_emplace(worker.report.rack, m_racks.size()).first->second;
        const bool usable = takesWork(worker) && silent.count(worker.report.dataCentre) == 0;
        const bool avoided = usable && worker.avoidedUntil > now;
        m_entries.push_back(
            {&worker, WorkerTable::freeCapacity(worker), worker.runs.size(), rack, usable && !avoided, avoided});
    }
}

std::optional<std::size_t> PlacementBoard::find(const WorkerId &worker) const
{
    const auto found
        = std::lower_bound(m_entries.begin(), m_entries.end(), worker, [](const BoardEntry &entry, const WorkerId &id) {
              return entry.worker->report.id < id;
          });
    if (found == m_entries.end() || found->worker->report.id != worker) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_entries.begin());
}

std::vector<std::size_t> PlacementBoard::eligible(const PlacementNeed &need) const
{
    std::vector<std::size_t> indices;
    indices.reserve(m_entries.size());
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const WorkerReport &report = m_entries[i].worker->report;
        const Worker &worker = *m_entries[i].worker;
        const bool failing = (need.excludeFailing || need.requireCompletedRun) && worker.failuresInRow > 0;
        const bool lacksCompletedRun = need.requireCompletedRun && worker.runsDone == 0;
        const bool approved = !need.approved || need.approved->count(report.id) > 0;
        const bool unproven = need.requireProven && !m_entries[i].proven;
        const bool tooSlow = m_entries[i].speed < need.minimumSpeed;
        const bool away = need.onlyDataRack && report.rack != need.dataRack;
        if (report.service != need.service || failing || lacksCompletedRun || unproven || !approved || tooSlow
            || away) {
            continue;
        }
        const std::vector<std::string> &labels = report.labels;
        if (need.requiredLabel.empty() || std::find(labels.begin(), labels.end(), need.requiredLabel) != labels.end()) {
            indices.push_back(i);
        }
    }
    return indices;
}

std::vector<std::size_t> placeTogether(PlacementBoard &board, const PlacementNeed &need)
{
    TaskPlacer placer(board, need);
    std::size_t slots = 0;
    for (const std::size_t index : placer.eligible()) {
        slots += placer.isOpen(index) ? placer.slots(index) : 0;
    }
    if (slots < need.tasks) {
        return {};
    }
    if (!need.sameRack) {
        return placer.take(board, placer.eligible());
    }
    const std::optional<std::size_t> rack = tightestRack(board, placer, need);
    if (rack) {
        std::vector<std::size_t> inRack = placer.eligible();
        std::erase_if(inRack, [&board, &rack](std::size_t index) { return board.entries()[index].rack != *rack; });
        return placer.take(board, inRack);
    }
    // Crossing racks slows a gang down more than a slow worker does.
    const bool waits = need.minimumSpeed > 0 || (!need.preferencesEnd && anyRackFitsWhenEmpty(board, placer, need));
    if (waits) {
        return {};
    }
    return placer.take(board, placer.eligible());
}

bool canHold(const PlacementBoard &board, const PlacementNeed &need)
{
    const TaskPlacer placer(board, need);
    if (need.sameRack) {
        return anyRackFitsWhenEmpty(board, placer, need);
    }
    std::size_t slots = 0;
    for (const std::size_t index : placer.eligible()) {
        slots += placer.capacitySlots(index);
    }
    return slots >= need.tasks;
}

std::vector<std::size_t> entriesToReserve(const PlacementBoard &board, const PlacementNeed &need)
{
    const TaskPlacer placer(board, need);
    std::vector<std::size_t> entries = placer.eligible();
    std::erase_if(entries, [&placer](std::size_t index) { return !placer.isOpen(index); });
    if (need.sameRack && anyRackFitsWhenEmpty(board, placer, need)) {
        std::vector<std::size_t> slots(board.rackCount());
        std::vector<std::size_t> capacity(board.rackCount());
        for (const std::size_t index : entries) {
            slots[board.entries()[index].rack] += placer.slots(index);
            capacity[board.entries()[index].rack] += placer.capacitySlots(index);
        }
        std::optional<std::size_t> best;
        for (std::size_t rack = 0; rack < slots.size(); ++rack) {
            if (capacity[rack] >= need.tasks && (!best || slots[rack] > slots[*best])) {
                best = rack;
            }
        }
        std::erase_if(entries, [&board, &best](std::size_t index) { return board.entries()[index].rack != best; });
        return entries;
    }
    std::stable_sort(entries.begin(), entries.end(), [&placer](std::size_t left, std::size_t right) {
        return placer.slots(left) > placer.slots(right);
    });
    std::size_t reservedSlots = 0;
    std::size_t count = 0;
    while (count < entries.size() && reservedSlots < need.tasks) {
        reservedSlots += placer.capacitySlots(entries[count]);
        ++count;
    }
    entries.resize(reservedSlots < need.tasks ? 0 : count);
    return entries;
}

std::vector<std::size_t> placeEach(PlacementBoard &board, const PlacementNeed &need)
{
    TaskPlacer placer(board, need);
    std::vector<std::size_t> entries = placer.eligible();
    const auto inDataRack = [&board, &placer, &need](std::size_t index) {
        return board.entries()[index].worker->report.rack == need.dataRack && placer.capacitySlots(index) > 0;
    };
    if (!need.preferencesEnd && !need.dataRack.empty() && std::any_of(entries.begin(), entries.end(), inDataRack)) {
        std::erase_if(entries, [&inDataRack](std::size_t index) { return !inDataRack(index); });
    }
    return placer.take(board, entries);
}

void returnRoom(PlacementBoard &board, const PlacementNeed &need, const std::vector<std::size_t> &entries)
{
    for (const std::size_t index : entries) {
        BoardEntry &entry = board.entries()[index];
        entry.room = plus(entry.room, need.perTask);
        --entry.runs;
    }
}

} // namespace coriander::workflow
