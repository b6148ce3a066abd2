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

    /** Takes a copy. Beyond the bound, the copy that was refreshed longest ago is dropped. */
    void hold(const CountsRecord &record);

    /** Writes the copies of gateways for which @p isDead holds into the table. Call now and then. */
    void restore(const std::function<bool(const InstanceId &)> &isDead);

    /** Forgets copies whose counts are in the table by now. Call now and then; reads each row once a minute. */
    void forgetCovered();

    std::size_t size() const;

private:
    struct Copy {
        CountsRecord record;
        bool restoring = false;
        MonotonicTime checkAt{};
    };

    void readRow(const std::string &key, std::function<void(Copy &, const std::optional<TableRows> &)> done);
    void write(const std::string &key, Copy &copy, const std::optional<TableRows> &rows);

    GatewayHooks &m_hooks;
    Store &m_store;
    std::map<std::string, Copy> m_copies;
};

} // namespace coriander
