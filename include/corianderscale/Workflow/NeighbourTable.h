#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Workflow/Records.h"
#include "corianderscale/Workflow/TableFollower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander::workflow {

/** Another instance that can be asked to serve a call. */
struct Neighbour {
    /** Name of the VM's instance; a restarted process keeps it. */
    std::string instance;
    DataCentreId dataCentre;
    /** `IPv4:port` of its relay server. */
    std::string address;
};

/**
 * The instances that registered in the store. Each instance stores a row of its own and renews it; rows that were not
 * renewed for several intervals are not used and are removed by the owner.
 *
 * Thread safety: only on the thread of the event loop.
 */
class NeighbourTable
{
public:
    struct Settings {
        /** Time between two renewals of the own row; each costs a write. */
        Duration renewInterval = std::chrono::seconds(120);
        /** Pause before a failed renewal is repeated. */
        Duration retryAfter = std::chrono::seconds(1);
        /** Number of missed renewals after which a neighbour is taken as gone. */
        int missedRenewals = 3;
        /** Pause between two reads of changes, so that instances that start together cause one read, not one each. */
        Duration readInterval = std::chrono::seconds(4);
        /** How long a read waits for a change. */
        Duration readWait = std::chrono::seconds(10);
        Duration storeCallTimeout = std::chrono::seconds(1);
    };

    /** @p store must outlive this object; @p isOwner tells whether this instance removes the rows of others. */
    NeighbourTable(boost::asio::io_context &loop,
                   Settings settings,
                   Clock clock,
                   RowStore &store,
                   Neighbour self,
                   std::function<bool()> isOwner);

    void start();

    /** The other instances, in the order of their names. */
    std::vector<Neighbour> neighbours() const;

private:
    struct Entry {
        Neighbour neighbour;
        RowVersion version;
        MonotonicTime renewedAt;
    };

    void renew();
    void takeRows(const std::vector<Row> &rows);
    bool isExpired(const Entry &entry) const;

    boost::asio::steady_timer m_timer;
    Settings m_settings;
    Clock m_clock;
    RowStore &m_store;
    Neighbour m_self;
    std::function<bool()> m_isOwner;
    std::map<std::string, Entry> m_entries;
    TableFollower m_follower;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::workflow
