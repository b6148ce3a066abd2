#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/RowStore.h"

#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/**
 * Removes expired states of ended jobs, one page at a time. Only the owner runs it, so that the work is not done more
 * than once; any instance could.
 *
 * Thread safety: only on the thread of the event loop. Completions that arrive after destruction are ignored.
 */
class StateSweeper
{
public:
    struct Times {
        /** How long the state of an ended job can be read; set by the deployment. */
        Duration retention = std::chrono::seconds(120);
        /** Added to @c retention, for differing wall clocks and for duplicate submissions that arrive after the job
         * ended.
         */
        Duration retentionMargin = std::chrono::seconds(60);
        /** Pause between two pages; a page has 500 rows, so up to 6,000 states a minute are removed. */
        Duration pageInterval = std::chrono::seconds(5);
        /** Timeout of one call to the store. */
        Duration storeCallTimeout = std::chrono::milliseconds(1500);
    };

    /** @p store must outlive this object. */
    StateSweeper(Times times, Clock clock, RowStore &store);

    /** Reads the next page when it is due. */
    void step();

private:
    void handlePage(const std::optional<RowPage> &page, const StateError &error);
    void remove(std::vector<Row> rows);
    bool isExpired(const Row &row) const;

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
