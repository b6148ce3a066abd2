#pragma once

#include "corianderscale/Workflow/WorkerTable.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander::workflow {

/** Tasks of one step that need workers, and which workers they may use. */
struct PlacementNeed {
    std::size_t tasks = 1;
    decision::Resources perTask;
    ServiceName service;
    std::string requiredLabel;
    /** Rack that stores the step's data; empty if there is none. */
    RackId dataRack;
    bool sameRack = false;
    /** Whether the tasks may start outside of the rack that they prefer, and on workers that are avoided or reserved,
     * see decision::endsPreferences(). */
    bool preferencesEnd = false;
    /** Whether only workers in the data rack may be used. */
    bool onlyDataRack = false;
    /** Whether the tasks may use reserved workers; if so, reserved workers are preferred. */
    bool urgent = false;
    /** Whether workers whose last run failed are excluded. */
    bool excludeFailing = false;
    /** Whether workers without a completed run, and workers whose last run failed, are excluded. */
    bool requireCompletedRun = false;
    /** Whether only workers are used that have proved since the beginning of a wave of failures that they run what they
     * start. */
    bool requireProven = false;
    /** Maximum number of tasks of the step on one worker; 0 for no limit. */
    std::size_t maximumPerWorker = 0;
    /** Maximum number of runs on one worker, see decision::sharedRuns(). */
    std::size_t maximumRunsPerWorker = std::numeric_limits<std::size_t>::max();
    /** Number of tasks of the step that each worker has already; used only with a limit. */
    std::map<WorkerId, std::size_t> placedTasks;
    /** The only workers that may be used; no value if no advisor decides. */
    std::optional<std::set<WorkerId>> approved;
    /** Workers to use only when no other worker has room. */
    std::set<WorkerId> avoid;
    /** Lowest speed of a worker, see decision::speedNeeded(); 0 for any. */
    double minimumSpeed = 0;
    /** Whether the slowest workers are preferred, so that faster ones stay free for urgent work. */
    bool preferSlow = false;
};

/** Room on one worker during a planning pass. */
struct BoardEntry {
    const Worker *worker = nullptr;
    decision::Resources room;
    /** Number of runs on the worker, those of this pass included. */
    std::size_t runs = 0;
    /** Number of the worker's rack. */
    std::size_t rack = 0;
    /** Whether the worker takes new tasks now. Closed workers get no tasks, but count when it is checked whether
     * a gang could fit if the workers were empty. */
    bool open = false;
    /** Whether the worker would be open, but is avoided for a while. */
    bool avoided = false;
    /** Whether only urgent work may use the worker. */
    bool reserved = false;
    /** Whether the worker proved itself since the beginning of the present wave of failures. */
    bool proven = false;
    /** Whether the worker is reserved in this pass for a waiting gang. */
    bool reservedForGang = false;
    /** Speed of the worker relative to the typical one; 1 for all workers of an even pool. */
    double speed = 1;
    /** Whether the speed was observed. */
    bool speedKnown = false;
};

/** The listed workers that are neither draining nor in an evacuated data centre, with the room that a planning pass has
 * not used yet. */
class PlacementBoard
{
public:
    /** @p workers must outlive the board and not change. Workers in @p silent data centres take no new work. Workers in
     * @p evacuated data centres are not on the board, so their capacity does not count for gangs, racks or reserves. */
    PlacementBoard(const WorkerTable &workers,
                   MonotonicTime now,
                   const std::set<DataCentreId> &silent = {},
                   const std::set<DataCentreId> &evacuated = {});

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

    /** Indices of the entries whose worker the need allows by service, label, approval and past failures. */
    std::vector<std::size_t> eligible(const PlacementNeed &need) const;

private:
    /** In the order of the worker ids. */
    std::vector<BoardEntry> m_entries;
    std::map<RackId, std::size_t> m_racks;
};

/**
 * Places all tasks of a gang, or none, and takes their room. If the need asks for one rack, the tasks are placed across
 * racks only if no rack could hold them even when empty. Returns an entry for each task. Thread safety: none.
 */
std::vector<std::size_t> placeTogether(PlacementBoard &board, const PlacementNeed &need);

/**
 * Entries to reserve for a gang that found no room: the rack with the most room, or the workers with the most room if
 * the gang may span racks. Takes no room. Empty if the pool could not hold the gang even when empty.
 */
std::vector<std::size_t> entriesToReserve(const PlacementBoard &board, const PlacementNeed &need);

/** Whether the eligible workers, in one rack if the need asks for that, could hold all tasks if they were empty. */
bool canHold(const PlacementBoard &board, const PlacementNeed &need);

/** Places as many of the tasks as fit and takes their room. If the need's data rack has an eligible worker, only that
 * rack is used, else any. Returns an entry for each placed task. */
std::vector<std::size_t> placeEach(PlacementBoard &board, const PlacementNeed &need);

/** Gives back the room of the @p entries that placeTogether() or placeEach() took for the need. */
void returnRoom(PlacementBoard &board, const PlacementNeed &need, const std::vector<std::size_t> &entries);

} // namespace coriander::workflow
