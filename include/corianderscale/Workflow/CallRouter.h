#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/CallerCall.h"
#include "corianderscale/Workflow/NeighbourTable.h"
#include "corianderscale/Workflow/StoreWatch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

/** Answer of a neighbour; no value if none arrived. @c sent tells whether the neighbour may have received the call. */
struct RelayResult {
    std::optional<RoutedAnswer> answer;
    bool sent = true;
    std::string reason;
};

using RelayDone = std::function<void(const RelayResult &)>;

/** Numbers of routed calls since the start. */
struct RoutingCounts {
    std::size_t relayed = 0;
    std::size_t relayedServed = 0;
    std::size_t servedForNeighbours = 0;
    std::size_t refusedWithoutStore = 0;
};

/**
 * Serves calls here or through a neighbour. An instance that cannot reach the store hands a call to one that can,
 * within the caller's time limit. All calls are idempotent by their job id, so a call may be served by several
 * instances. If the outcome at one of them is unknown, a later rejection of any kind is reported as unclear.
 *
 * Thread safety: only on the thread of the event loop.
 */
class CallRouter
{
public:
    struct Settings {
        /** Maximum number of neighbours that are asked for one call. */
        std::size_t neighboursPerCall = 3;
        /** Time limit of one neighbour; an answer normally takes 10 to 20 ms. */
        Duration relayTimeout = std::chrono::milliseconds(600);
        /** Time that the store has for a call before a neighbour is asked, unless it is known to be slow. */
        Duration localTimeout = std::chrono::milliseconds(600);
        /** No further neighbour is asked when less time is left to the caller. */
        Duration minimumRelayTime = std::chrono::milliseconds(60);
    };

    struct Hooks {
        /** Serves a call on this instance; answers by the deadline. */
        std::function<void(const CallerCall &, MonotonicTime deadline, CallDone)> serve;
        /** Sends a call to the neighbour at an address. */
        std::function<void(
            const std::string &address, const CallerCall &, ConfigurationVersion atLeast, Duration limit, RelayDone)>
            relay;
        std::function<std::vector<Neighbour>()> neighbours;
        /** Version of the configuration in force here; 0 if there is none. */
        std::function<ConfigurationVersion()> configuration;
    };

    /** @p store must outlive this object. */
    CallRouter(Settings settings, Clock clock, const StoreWatch &store, DataCentreId dataCentre, Hooks hooks);

    /** Routes a call that arrived from a caller. */
    void route(const CallerCall &call, CallDone done);

    /** Serves a call that a neighbour could not serve, if this instance reaches the store and its configuration is not
     * older than @p atLeast. */
    void serveForNeighbour(const CallerCall &call,
                           ConfigurationVersion atLeast,
                           const std::function<void(const RoutedAnswer &)> &done);

    const RoutingCounts &counts() const;

    /** At most @p most neighbours, in the order in which they should be asked. */
    std::vector<Neighbour> neighboursToAsk(std::size_t most);
    /** Records that a neighbour did not answer or has no store. */
    void noteFailure(const Neighbour &neighbour);

private:
    struct Routing;

    void serveHere(const std::shared_ptr<Routing> &routing, MonotonicTime deadline);
    void askNext(const std::shared_ptr<Routing> &routing);
    void neighbourAnswered(const std::shared_ptr<Routing> &routing,
                           const Neighbour &neighbour,
                           const RelayResult &result);
    void finishUnserved(const std::shared_ptr<Routing> &routing);
    /** Whether the configuration here is known to be out of date or missing. */
    bool isConfigurationOutdated() const;

    Settings m_settings;
    Clock m_clock;
    const StoreWatch &m_store;
    DataCentreId m_dataCentre;
    Hooks m_hooks;
    RoutingCounts m_counts;
    /** When each neighbour last failed, by address. */
    std::map<std::string, MonotonicTime> m_failedAt;
    /** The newest configuration that any answer was decided by. */
    ConfigurationVersion m_newestSeen;
    std::uint64_t m_seed = 0;
};

} // namespace coriander::workflow
