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
    /** Age of the VM list that is handed out. */
    Duration vmListLag = std::chrono::seconds(2);
    /** A VM that has not announced itself for this long is not listed. */
    Duration vmTimeout = std::chrono::seconds(10);
};

/** A response and when it is to be sent. */
struct PlatformAnswer {
    HttpResponse response;
    MonotonicTime sendAt;
};

/**
 * The platform's services in memory: table, object store, lagging VM list, rate limits and fault switches.
 *
 * Answers are computed at once; a fault may delay when they are sent. Thread safety: not thread safe; PlatformServer
 * serialises access.
 */
class PlatformModel
{
public:
    explicit PlatformModel(PlatformOptions options);

    /** Answers one request of the protocol. @p captures holds the object key of the object routes. */
    PlatformAnswer handle(const HttpRequest &request, const std::vector<std::string> &captures, MonotonicTime now);

private:
    enum class FaultMode {
        None,
        /** Refuses everything with 503. */
        Down,
        /** Works, but answers late. */
        Slow,
        /** Works, but the answers arrive after every client has given up. */
        LoseAnswers,
    };

    struct Fault {
        FaultMode mode = FaultMode::None;
        MonotonicTime until;
        Duration delay{};
        std::set<std::string> services;
    };

    /** Allows bursts of one second's worth of calls. */
    struct Bucket {
        double tokens = 0;
        MonotonicTime filledAt;
        bool take(std::int64_t perSecond, MonotonicTime now);
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
    HttpResponse handleFaults(const HttpRequest &request, MonotonicTime now);
    HttpResponse listVms(MonotonicTime now);
    FaultMode faultOf(const std::string &service, MonotonicTime now) const;

    PlatformOptions m_options;
    TableModel m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::deque<Announcement>> m_vms;
    Bucket m_writes;
    Bucket m_reads;
    Fault m_fault;
};

} // namespace coriander
