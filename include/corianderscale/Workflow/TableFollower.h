#pragma once

#include "corianderscale/Workflow/RowStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander::workflow {

/**
 * Follows one table: reports all its rows first, then the changes. All rows are reported again after the store dropped
 * the history. Failed calls are retried.
 *
 * Thread safety: only on the thread of the event loop. No hook is called after destruction.
 */
class TableFollower
{
public:
    struct Settings {
        std::string table;
        /** Range of keys `from <= key < to` of the snapshot; empty for the whole table. Changes are reported for all
         * keys. */
        std::string from;
        std::string to;
        /** How long a call waits for a change. A broken connection is not noticed before this time is over. */
        Duration wait = std::chrono::seconds(2);
        /** Pause between two calls for changes, unless there are more changes already. */
        Duration pause{};
        /** Timeout of one call, in addition to @c wait. */
        Duration storeCallTimeout = std::chrono::seconds(1);
        /** Pause after a failed call. */
        Duration retryAfter = std::chrono::milliseconds(200);
        /** Whether all rows are read again after a failed call for changes. The read is answered at once, so the rows
         * are known to be current again sooner, and it succeeds even if the store can't report the changes. */
        bool readsAllAfterFailure = false;
    };

    struct Hooks {
        /** All rows of the table, or no rows if @c page is set. */
        std::function<void(const std::vector<Row> &)> snapshot;
        /** Changed and removed rows, oldest change first. */
        std::function<void(const std::vector<Row> &)> changed;
        /** Called when calls begin to fail or to succeed again. May be empty. */
        std::function<void(bool reachable, const std::string &reason)> reachable;
        /** Called when everything that had changed by the last call was reported. May be empty. */
        std::function<void()> caughtUp;
        /** Called when a snapshot begins and when a call for changes is sent. Everything that had changed by then is
         * reported before the next call of @c caughtUp. May be empty. */
        std::function<void()> asking;
        /** Called with the rows of each page of a snapshot, which are then not collected, so that neither the memory
         * nor the time of one call grows with the table. A snapshot that fails begins again with its first page. May be
         * empty. */
        std::function<void(const std::vector<Row> &)> page;
    };

    TableFollower(boost::asio::io_context &loop, RowStore &store, Settings settings, Hooks hooks);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    void start();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander::workflow
