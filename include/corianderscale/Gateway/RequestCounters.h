#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace coriander {

/** The terminal state in which an item is counted; every counted item also counts as accepted. */
enum class CountAs {
    Finished,
    Failed,
    RefusedNotRun,
    Unknown,
};

/** Tells the civil day of a time in the site's time zone as `YYYY-MM-DD`. */
using DayOf = std::function<std::string(WallTime)>;

/** Sends a copy of a row to peers and reports how many have acknowledged it. Completes on the gateway's thread. */
using CopyToPeers = std::function<void(const CountsRecord &, std::function<void(int copies)>)>;

/**
 * Cumulative counts of this run of the gateway, one row a day.
 *
 * A commit starts at most 50 ms after the first count that it covers, and what was counted is released when the commit
 * is durable. When the store does not answer, the row is copied to two peers, and their acknowledgement releases it.
 * Without any reachable peer the counts are kept in memory only and released, because idempotent requests are served
 * while the store is away. Thread safety: the gateway's thread.
 */
class RequestCounters
{
public:
    RequestCounters(GatewayHooks &hooks, Store &store, InstanceId gateway, DayOf dayOf, CopyToPeers copyToPeers);

    /** Changes how days are told, when the document's time zone changes. */
    void setDayOf(DayOf dayOf);

    /** Counts one item and calls @p release when the count is safe. */
    void count(const CallerKey &caller, CountAs as, std::function<void()> release);

    /** Commits everything and closes the rows; calls @p done with whether all of it is in the table. */
    void close(std::function<void(bool)> done);

    /** Closes the rows of earlier days. Call now and then. */
    void closeOldDays();

    /** Counts that are not in the table yet. */
    std::size_t uncommitted() const;

    /** Releases without any copy, since the start. */
    std::int64_t unprotectedReleases() const;

private:
    struct Waiting {
        std::uint64_t sequence = 0;
        MonotonicTime countedAt{};
        std::function<void()> release;
    };
    struct Day {
        CountsRecord record;
        RowVersion version;
        /** Grows with each count. */
        std::uint64_t sequence = 0;
        std::uint64_t committedSequence = 0;
        std::deque<Waiting> waiting;
        bool flushArmed = false;
        bool copyArmed = false;
        bool inFlight = false;
        bool closing = false;
        bool closedInTable = false;
        MonotonicTime lastStart{};
        bool everStarted = false;
        int failures = 0;
    };

    void armFlush(const std::string &day);
    void armCopy(const std::string &day);
    void startCommit(const std::string &day);
    void onCommit(const std::string &day,
                  std::uint64_t sequence,
                  bool closed,
                  const std::optional<TableTransactionResult> &result);
    void readBack(const std::string &day);
    void onReadBack(const std::string &day, const std::optional<TableRows> &rows);
    void copy(const std::string &day);
    void release(Day &day, std::uint64_t sequence);
    void retryLater(const std::string &day);
    void checkClosed();

    GatewayHooks &m_hooks;
    Store &m_store;
    InstanceId m_gateway;
    DayOf m_dayOf;
    CopyToPeers m_copyToPeers;
    std::map<std::string, Day> m_days;
    std::int64_t m_unprotected = 0;
    std::function<void(bool)> m_closed;
};

} // namespace coriander
