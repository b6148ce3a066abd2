#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/TableFollower.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace coriander::workflow {

/** Rows of the store by which the operator evacuates data centres, and their decoder. */
struct EvacuationSource {
    std::string table;
    /** Prefix of the keys of these rows; not empty. The table has other rows, too. */
    std::string keyPrefix;
    /** The data centre that a row evacuates, or no value if it names none. The reason is set in both cases if the row
     * is not as expected. */
    std::function<std::optional<DataCentreId>(const Row &, ProtocolError &)> decode;
};

/**
 * Follows the set of data centres that the operator evacuates. Rows that name no data centre are logged and ignored.
 *
 * Thread safety: only on the thread of the event loop. No hook is called after destruction.
 */
class EvacuationFollower
{
public:
    struct Times {
        /** How long a call waits for a change; the number of calls to the store is one in this time. With 700 ms, one
         * lost answer of a store that needs up to 500 ms does not exceed EngineTimes::maximumEvacuationsAge. */
        Duration wait = std::chrono::milliseconds(700);
        /** Timeout of one call, in addition to @c wait. A store that is 70 times slower still answers within 300 ms. */
        Duration storeCallTimeout = std::chrono::milliseconds(500);
        /** Pause after a failed call. */
        Duration retryAfter = std::chrono::milliseconds(50);
    };

    struct Hooks {
        /** The evacuated data centres, when they were first read and whenever they change. */
        std::function<void(const std::set<DataCentreId> &)> changed;
        /** Called after a successful call that was sent at @p asOf: all changes up to then were reported. */
        std::function<void(MonotonicTime asOf)> read;
    };

    /** @p store must outlive this object. */
    EvacuationFollower(boost::asio::io_context &loop,
                       const Times &times,
                       Clock clock,
                       RowStore &store,
                       EvacuationSource source,
                       Hooks hooks);
    EvacuationFollower(const EvacuationFollower &) = delete;
    EvacuationFollower &operator=(const EvacuationFollower &) = delete;

    /** Reads all rows, then follows the changes. Call once. */
    void start();

private:
    TableFollower::Settings settings(const Times &times) const;
    void handleRow(const Row &row);
    void report();

    Clock m_clock;
    EvacuationSource m_source;
    Hooks m_hooks;
    /** The rows that evacuate a data centre, by key. */
    std::map<std::string, DataCentreId> m_rows;
    /** The data centres last reported; no value before the first report. */
    std::optional<std::set<DataCentreId>> m_reported;
    MonotonicTime m_askedAt;
    TableFollower m_follower;
};

} // namespace coriander::workflow
