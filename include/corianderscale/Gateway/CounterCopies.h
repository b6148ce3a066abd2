#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <functional>
#include <map>
#include <string>

namespace coriander {

/**
 * Copies of other gateways' counters, held while the store is away.
 *
 * When a gateway is dead and the store answers again, its copy is merged into its row by the larger value. Thread
 * safety: the gateway's thread.
 */
class CounterCopies
{
public:
    CounterCopies(GatewayHooks &hooks, Store &store);

    /** Takes a copy; returns false when too many are held. */
    bool hold(const CountsRecord &record);

    /** Writes the copies of gateways for which @p isDead holds into the table. Call now and then. */
    void restore(const std::function<bool(const InstanceId &)> &isDead);

    /** Forgets the copies of a gateway that lives and has the store back. */
    void forget(const InstanceId &gateway);

    std::size_t size() const;

private:
    struct Copy {
        CountsRecord record;
        bool restoring = false;
    };

    void startRestore(const std::string &key);
    void onRead(const std::string &key, const std::optional<TableRows> &rows);

    GatewayHooks &m_hooks;
    Store &m_store;
    std::map<std::string, Copy> m_copies;
};

} // namespace coriander
