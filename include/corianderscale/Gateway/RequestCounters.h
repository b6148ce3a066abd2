#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace coriander {

/** The terminal state under which a request or job is counted; each one also counts as accepted. */
enum class CountAs {
    Finished,
    Failed,
    RefusedNotRun,
    Unknown,
};

/** Returns the civil day of a time in the site's time zone as `YYYY-MM-DD`. */
using DayOf = std::function<std::string(WallTime)>;

/** Sends a copy of a row to peers; the completion gets the number of acknowledgements, on the gateway's thread. */
using CopyToPeers = std::function<void(const CountsRecord &, std::function<void(int copies)>)>;

/**
 * Cumulative counts of this gateway incarnation, one table row per day.
 *
 * A commit starts at most 50 ms after the first count that it covers. The answer that belongs to a count is released
 * when the commit is durable. When the store does not answer, the row is copied to two peers, and their
 * acknowledgements release the answers. When no peer can be reached either, the counts stay in memory only and the
 * answers are released, because idempotent requests are served while the store is unavailable. Thread safety: the
 * gateway's thread.
 */
class RequestCounters
{
public:
    RequestCounters(GatewayHooks &hooks, Store &store, InstanceId gateway, DayOf dayOf, CopyToPeers copyToPeers);

    /** Replaces the day function, for a new time zone in the document. */
    void setDayOf(DayOf dayOf);

    /** Counts one request or job and calls @p release when the count is durable, copied, or cannot be copied. */
    void count(const CallerKey &caller, CountAs as, std::function<void()> release);

    /** Commits and closes all rows; calls @p done with true once all counts are in the table. */
    void close(std::function<void(bool)> done);

    /** Closes the rows of earlier days. Call periodically. */
    void closeOldDays();

    /** Number of counts that are not in the table yet. */
    std::size_t uncommitted() const;

    /** Number of times that answers were released although no peer held a copy, since the start. */
    std::int64_t unprotectedReleases() const;

private:
    struct PendingRelease {
        std::uint64_t sequence = 0;
        MonotonicTime countedAt{};
        std::function<void()> release;
    };
    struct Day {
        CountsRecord record;
        RowVersion version;
        /** Incremented with each count. */
        std::uint64_t sequence = 0;
        std::uint64_t committedSequence = 0;
        std::deque<PendingRelease> pendingReleases;
        bool flushScheduled = false;
        bool copyScheduled = false;
        bool commitInFlight = false;
        bool closing = false;
        bool closedInTable = false;
        MonotonicTime lastCommitStart{};
        bool hasStartedCommit = false;
        int failures = 0;
    };

    void scheduleFlush(const std::string &day);
    void scheduleCopy(const std::string &day);
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
    void notifyIfClosed();

    GatewayHooks &m_hooks;
    Store &m_store;
    InstanceId m_gateway;
    DayOf m_dayOf;
    CopyToPeers m_copyToPeers;
    std::map<std::string, Day> m_days;
    std::int64_t m_unprotectedReleases = 0;
    std::function<void(bool)> m_onClosed;
};

} // namespace coriander
