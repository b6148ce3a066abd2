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
 * Keeps a reader informed of one table: all its rows first, then what changes. When the store dropped the history, all
 * rows come again. Failed calls are repeated.
 *
 * Thread safety: only on the thread of the event loop. No hook is called after destruction.
 */
class TableFollower
{
public:
    struct Settings {
        std::string table;
        /** Range of keys `from <= key < to`; empty texts for the whole table. Feeds bring all keys. */
        std::string from;
        std::string to;
        /** How long a call waits for a change; bounds how long a silent connection goes unnoticed. */
        Duration wait = std::chrono::seconds(2);
        /** Pause between two calls of the feed. */
        Duration pause{};
        /** How long one call may take beyond the wait. */
        Duration callLimit = std::chrono::seconds(1);
        Duration retryAfter = std::chrono::milliseconds(200);
    };

    struct Hooks {
        /** All rows of the table. */
        std::function<void(const std::vector<Row> &)> snapshot;
        /** Changed and removed rows, oldest change first. */
        std::function<void(const std::vector<Row> &)> changed;
        /** Whether the last call succeeded; called when that changes. May be empty. */
        std::function<void(bool reachable, const std::string &reason)> reachable;
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
