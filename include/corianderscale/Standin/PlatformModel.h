#pragma once

#include "corianderscale/Standin/TableModel.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/Http.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace coriander {

/** Behaviour of the platform stand-in. */
struct PlatformOptions {
    /** Transactions a second for all clients together. */
    std::int64_t writesPerSecond = 300;
    /** Reads and scans a second for all clients together. */
    std::int64_t readsPerSecond = 2000;
    /** Time by which the returned VM list lags behind the announcements. */
    Duration vmListLag = std::chrono::seconds(2);
    /** A VM that has not announced itself for this long is not listed. */
    Duration vmTimeout = std::chrono::seconds(10);
};

/** A response and the time at which to send it. */
struct TimedResponse {
    HttpResponse response;
    MonotonicTime sendAt;
};

/**
 * In-memory model of the platform's services: table, object store, lagging VM list, rate limits and injected faults.
 *
 * Responses are computed at once; a fault may delay the time at which they are sent. Thread safety: not thread safe;
 * PlatformServer serialises access.
 */
class PlatformModel
{
public:
    explicit PlatformModel(PlatformOptions options);

    /** Handles one request. @p captures holds the object key for the routes `/objects/{key}`. */
    TimedResponse handle(const HttpRequest &request, const std::vector<std::string> &captures, MonotonicTime now);

private:
    enum class FaultMode {
        None,
        /** Refuses every request with 503. */
        Down,
        /** Handles requests, but delays the responses. */
        Slow,
        /** Handles requests, but sends a 504 response after the timeout of every client. */
        LoseAnswers,
    };

    struct Fault {
        FaultMode mode = FaultMode::None;
        MonotonicTime until;
        Duration delay{};
        std::set<std::string> services;
    };

    /** Token bucket that holds at most the calls of one second. */
    struct TokenBucket {
        double tokens = 0;
        MonotonicTime refilledAt;
        bool tryTake(std::int64_t perSecond, MonotonicTime now);
    };

    struct Announcement {
        MonotonicTime at;
        VmEntry entry;
    };

    HttpResponse handleTable(const HttpRequest &request, MonotonicTime now);
    HttpResponse transact(const std::string &body, MonotonicTime now);
    HttpResponse readRows(const std::string &body) const;
    HttpResponse scanRows(const std::string &body) const;
    HttpResponse handleObjects(const HttpRequest &request, const std::vector<std::string> &captures);
    HttpResponse handleVms(const HttpRequest &request, MonotonicTime now);
    HttpResponse setFault(const HttpRequest &request, MonotonicTime now);
    HttpResponse listVms(MonotonicTime now);
    FaultMode activeFault(const std::string &service, MonotonicTime now) const;

    PlatformOptions m_options;
    TableModel m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::deque<Announcement>> m_announcements;
    TokenBucket m_writeBucket;
    TokenBucket m_readBucket;
    Fault m_fault;
};

} // namespace coriander
