#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <functional>
#include <map>
#include <string>

namespace coriander {

/**
 * Copies of other gateways' counters, held while the store is unavailable.
 *
 * When a gateway is dead and the store is available again, its copy is merged into its row; the larger value of each
 * count wins. Thread safety: the gateway's thread.
 */
class CounterCopies
{
public:
    CounterCopies(GatewayHooks &hooks, Store &store);

    /** Stores or updates a copy. When the maximum number is reached, drops the copy with the oldest flush time. */
    void hold(const CountsRecord &record);

    /** Writes the copies of gateways for which @p isDead is true into the table. Call periodically. */
    void restore(const std::function<bool(const InstanceId &)> &isDead);

    /** Drops copies whose counts are in the table. Call periodically; reads each row at most once a minute. */
    void dropStoredCopies();

    std::size_t size() const;

private:
    struct Copy {
        CountsRecord record;
        bool restoring = false;
        MonotonicTime nextCheckAt{};
    };

    void readRow(const std::string &key, std::function<void(Copy &, const std::optional<TableRows> &)> done);
    void write(const std::string &key, Copy &copy, const std::optional<TableRows> &rows);

    GatewayHooks &m_hooks;
    Store &m_store;
    std::map<std::string, Copy> m_copies;
};

} // namespace coriander
