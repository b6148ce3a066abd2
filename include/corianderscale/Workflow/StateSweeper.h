#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/RowStore.h"

#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/**
 * Removes the states of jobs that ended long ago, a page at a time. Any instance may do it; the owner does, so that it
 * is done once.
 *
 * Thread safety: only on the thread of the event loop. Completions that come after destruction are dropped.
 */
class StateSweeper
{
public:
    struct Times {
        /** How long the state of an ended job is shown; the deployment's. */
        Duration keep = std::chrono::seconds(120);
        /** Addition for wall clocks that differ, and for submissions that arrive again after the job's end. */
        Duration margin = std::chrono::seconds(60);
        /** Pause between two pages; a page has 500 rows, so 6,000 jobs a minute can be removed. */
        Duration pageEvery = std::chrono::seconds(5);
        Duration callLimit = std::chrono::milliseconds(1500);
    };

    /** @p store must outlive this object. */
    StateSweeper(Times times, Clock clock, RowStore &store);

    /** Reads the next page when it is due. */
    void step();

private:
    void takePage(const std::optional<RowPage> &page, const StateError &error);
    void remove(std::vector<Row> rows);
    bool isOld(const Row &row) const;

    Times m_times;
    Clock m_clock;
    RowStore &m_store;
    /** First key of the next page. */
    std::string m_from;
    bool m_inFlight = false;
    MonotonicTime m_nextAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
