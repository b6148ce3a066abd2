#include "corianderscale/Workflow/Placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace coriander::workflow {

namespace {

/** Whether @p worker may take new runs at @p now. */
bool takesWork(const Worker &worker, MonotonicTime now)
{
    return worker.known && worker.silentCalls == 0 && worker.avoidedUntil <= now && worker.clock.has_value();
}

/** Number of tasks of @p size that fit into @p room, at most @p most. */
std::size_t countFitting(const decision::Resources &size, const decision::Resources &room, std::size_t most)
{
    auto count = static_cast<std::int64_t>(most);
    const auto bound = [&count](std::int64_t need, std::int64_t have) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(have, 0) / need);
        }
    };
    bound(size.accelerators.count(), room.accelerators.count());
    bound(size.cores.count(), room.cores.count());
    bound(size.memory.count(), room.memory.count());
    return static_cast<std::size_t>(count);
}

/** Places the tasks of one need on given entries of a board. */
class Fitting
{
public:
    Fitting(const PlacementBoard &board, const PlacementNeed &need)
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
        return entry.open && (m_need.urgent || !entry.reserved);
    }

    std::size_t slots(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        return bounded(entry, countFitting(m_need.perTask, entry.room, m_need.tasks));
    }

    /** Number of tasks that fit on the worker when it is empty. */
    std::size_t capacitySlots(std::size_t index) const
    {
        const BoardEntry &entry = m_board.entries()[index];
        return bounded(entry, countFitting(m_need.perTask, entry.worker->report.capacity, m_need.tasks));
    }

    /** Places all tasks, or as many as fit, on the entries and takes their room. */
    std::vector<std::size_t> take(PlacementBoard &board, const std::vector<std::size_t> &entries)
    {
        std::vector<std::size_t> chosen;
        for (std::size_t i = 0; i < m_need.tasks; ++i) {
            const std::optional<std::size_t> best = bestOf(entries);
            if (!best) {
                break;
            }
            BoardEntry &entry = board.entries()[*best];
            entry.room = minus(entry.room, m_need.perTask);
            if (m_need.mostPerWorker > 0) {
                ++m_need.held[entry.worker->report.id];
            }
            chosen.push_back(*best);
        }
        return chosen;
    }

private:
    std::size_t bounded(const BoardEntry &entry, std::size_t slots) const
    {
        if (m_need.mostPerWorker == 0) {
            return slots;
        }
        const auto held = m_need.held.find(entry.worker->report.id);
        const std::size_t taken = held == m_need.held.end() ? 0 : held->second;
        return std::min(slots, m_need.mostPerWorker - std::min(m_need.mostPerWorker, taken));
    }

    /**
     * Sort key of an entry, the smallest is best: workers to avoid come last, urgent work prefers reserved workers,
     * then workers with the least room left after the task come first, compared by accelerators, cores and memory.
     */
    auto leftover(const BoardEntry &entry) const
    {
        const bool avoided = entry.worker->failuresInRow > 0
            || (!m_need.avoid.empty() && m_need.avoid.count(entry.worker->report.id) > 0);
        const decision::Resources left = minus(entry.room, m_need.perTask);
        const bool elsewhere = m_need.urgent && !entry.reserved;
        return std::tuple(avoided, elsewhere, left.accelerators.count(), left.cores.count(), left.memory.count());
    }

    std::optional<std::size_t> bestOf(const std::vector<std::size_t> &entries) const
    {
        std::optional<std::size_t> best;
        for (const std::size_t index : entries) {
            const BoardEntry &entry = m_board.entries()[index];
            if (!isOpen(index) || !fitsInto(m_need.perTask, entry.room) || bounded(entry, 1) == 0) {
                continue;
            }
            if (!best || leftover(entry) < leftover(m_board.entries()[*best])) {
                best = index;
            }
        }
        return best;
    }

    const PlacementBoard &m_board;
    PlacementNeed m_need;
    std::vector<std::size_t> m_eligible;
};

/** The rack with the fewest free slots that can hold all tasks; urgent work prefers reserved racks. */
std::optional<std::size_t> tightestRack(const PlacementBoard &board, const Fitting &fitting, const PlacementNeed &need)
{
    std::vector<std::size_t> slots(board.rackCount());
    std::vector<bool> elsewhere(board.rackCount());
    for (const std::size_t index : fitting.eligible()) {
        const BoardEntry &entry = board.entries()[index];
        if (fitting.isOpen(index)) {
            slots[entry.rack] += fitting.slots(index);
            elsewhere[entry.rack] = need.urgent && !entry.reserved;
        }
    }
    const auto order = [&slots, &elsewhere](std::size_t rack) {
        return std::pair(static_cast<bool>(elsewhere[rack]), slots[rack]);
    };
    std::optional<std::size_t> best;
    for (std::size_t rack = 0; rack < slots.size(); ++rack) {
        if (slots[rack] >= need.tasks && (!best || order(rack) < order(*best))) {
            best = rack;
        }
    }
    return best;
}

/** Whether any rack could hold all tasks when empty. */
bool anyRackCouldHold(const PlacementBoard &board, const Fitting &fitting, const PlacementNeed &need)
{
    std::vector<std::size_t> slots(board.rackCount());
    for (const std::size_t index : fitting.eligible()) {
        slots[board.entries()[index].rack] += fitting.capacitySlots(index);
    }
    return std::any_of(slots.begin(), slots.end(), [&need](std::size_t count) { return count >= need.tasks; });
}

} // namespace

PlacementBoard::PlacementBoard(const WorkerBook &workers, MonotonicTime now, const std::set<DataCentreId> &silent)
{
    m_entries.reserve(workers.all().size());
    for (const auto &[id, worker] : workers.all()) {
        if (!worker.listed || worker.report.draining) {
            continue;
        }
        const std::size_t rack = m_racks.try_emplace(worker.report.rack, m_racks.size()).first->second;
        const bool open = takesWork(worker, now) && silent.count(worker.report.dataCentre) == 0;
        m_entries.push_back({&worker, WorkerBook::freeOf(worker), rack, open});
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
        const bool unsound = (need.soundOnly || need.provenOnly) && worker.failuresInRow > 0;
        const bool unproven = need.provenOnly && worker.runsDone == 0;
        const bool approved = !need.approved || need.approved->count(report.id) > 0;
        if (report.service != need.service || unsound || unproven || !approved) {
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
    Fitting fitting(board, need);
    std::size_t slots = 0;
    for (const std::size_t index : fitting.eligible()) {
        slots += fitting.isOpen(index) ? fitting.slots(index) : 0;
    }
    if (slots < need.tasks) {
        return {};
    }
    if (!need.sameRack) {
        return fitting.take(board, fitting.eligible());
    }
    const std::optional<std::size_t> rack = tightestRack(board, fitting, need);
    if (rack) {
        std::vector<std::size_t> inRack = fitting.eligible();
        std::erase_if(inRack, [&board, &rack](std::size_t index) { return board.entries()[index].rack != *rack; });
        return fitting.take(board, inRack);
    }
    if (anyRackCouldHold(board, fitting, need)) {
        return {};
    }
    return fitting.take(board, fitting.eligible());
}

std::vector<std::size_t> roomToHold(const PlacementBoard &board, const PlacementNeed &need)
{
    const Fitting fitting(board, need);
    std::vector<std::size_t> entries = fitting.eligible();
    std::erase_if(entries, [&fitting](std::size_t index) { return !fitting.isOpen(index); });
    if (need.sameRack && anyRackCouldHold(board, fitting, need)) {
        std::vector<std::size_t> slots(board.rackCount());
        std::vector<std::size_t> capacity(board.rackCount());
        for (const std::size_t index : entries) {
            slots[board.entries()[index].rack] += fitting.slots(index);
            capacity[board.entries()[index].rack] += fitting.capacitySlots(index);
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
    std::stable_sort(entries.begin(), entries.end(), [&fitting](std::size_t left, std::size_t right) {
        return fitting.slots(left) > fitting.slots(right);
    });
    std::size_t held = 0;
    std::size_t count = 0;
    while (count < entries.size() && held < need.tasks) {
        held += fitting.capacitySlots(entries[count]);
        ++count;
    }
    entries.resize(held < need.tasks ? 0 : count);
    return entries;
}

std::vector<std::size_t> placeEach(PlacementBoard &board, const PlacementNeed &need)
{
    Fitting fitting(board, need);
    std::vector<std::size_t> entries = fitting.eligible();
    const auto inDataRack = [&board, &need](std::size_t index) {
        return board.entries()[index].worker->report.rack == need.dataRack;
    };
    if (!need.dataRack.empty() && std::any_of(entries.begin(), entries.end(), inDataRack)) {
        std::erase_if(entries, [&inDataRack](std::size_t index) { return !inDataRack(index); });
    }
    return fitting.take(board, entries);
}

} // namespace coriander::workflow
