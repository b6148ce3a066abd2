#pragma once

#include "corianderscale/Workflow/WorkerBook.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander::workflow {

/** Tasks of one step that want workers. */
struct PlacementNeed {
    std::size_t tasks = 1;
    decision::Resources perTask;
    ServiceName service;
    std::string requiredLabel;
    RackId dataRack;
    bool sameRack = false;
    /** Whether the tasks may use reserved workers, and prefer them. */
    bool urgent = false;
    /** Whether workers whose last run failed are left out. */
    bool soundOnly = false;
    /** Whether workers on which no run was done yet are left out as well. */
    bool provenOnly = false;
    /** Most tasks of the step on one worker; 0 for no bound. */
    std::size_t mostPerWorker = 0;
    /** Tasks of the step that workers hold already; read only with a bound. */
    std::map<WorkerId, std::size_t> held;
    /** The only workers that may be used, where an advisor decides. */
    std::optional<std::set<WorkerId>> approved;
    /** Workers to use only when nothing else is left. */
    std::set<WorkerId> avoid;
};

/** Room on one worker while a pass places tasks. */
struct BoardEntry {
    const Worker *worker = nullptr;
    decision::Resources room;
    /** Number of the worker's rack. */
    std::size_t rack = 0;
    /** Whether new tasks may go there now; others count only for what could ever fit. */
    bool open = false;
    /** Whether only urgent work goes there. */
    bool reserved = false;
    /** Whether it is reserved in this pass because a gang waits for it. */
    bool held = false;
};

/** The listed workers that do not drain, with the room that a pass has not used yet. */
class PlacementBoard
{
public:
    /** @p workers must outlive the board and not change. Workers in @p silent data centres take no new work. */
    PlacementBoard(const WorkerBook &workers, MonotonicTime now, const std::set<DataCentreId> &silent = {});

    std::vector<BoardEntry> &entries()
    {
        return m_entries;
    }

    const std::vector<BoardEntry> &entries() const
    {
        return m_entries;
    }

    std::size_t rackCount() const
    {
        return m_racks.size();
    }

    /** The entry of a worker that is on the board. */
    std::optional<std::size_t> find(const WorkerId &worker) const;

    /** Indices of the entries whose worker fits service and label of the need. */
    std::vector<std::size_t> eligible(const PlacementNeed &need) const;

private:
    /** In the order of the worker ids. */
    std::vector<BoardEntry> m_entries;
    std::map<RackId, std::size_t> m_racks;
};

/**
 * Entries for all tasks at once, or none: in one rack when the need says so, or across racks when no rack could ever
 * hold the tasks. Takes the room. Thread safety: none.
 */
std::vector<std::size_t> placeTogether(PlacementBoard &board, const PlacementNeed &need);

/**
 * Entries that come closest to holding all tasks of a gang that found no room: a rack, or the emptiest workers when the
 * gang may span racks. Takes no room. Empty when the pool could never hold the gang.
 */
std::vector<std::size_t> roomToHold(const PlacementBoard &board, const PlacementNeed &need);

/** Entries for as many of the tasks as there is room for, in the data's rack when there is one. Takes the room. */
std::vector<std::size_t> placeEach(PlacementBoard &board, const PlacementNeed &need);

} // namespace coriander::workflow
