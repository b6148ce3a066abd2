#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;

/** What the store does with a call. */
enum class Treatment {
    Normal,
    /** The call is not carried out and not answered. */
    Silent,
    /** The call is answered with 503 and not carried out. */
    Busy,
    /** The call is not answered, and carried out later if its condition still holds. */
    Late,
};

/**
 * Stand-in of the platform's store: rows in tables, conditional transactions and change feeds, with the limits of
 * PROTOCOL.md. Runs on one event loop.
 */
class Store
{
public:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Stored {
        /** Base64, as sent. */
        std::string value;
        std::int64_t version = 0;
    };
    /** Decides how a call is treated; gets the path and the body. */
    using Treat = std::function<Treatment(const std::string &path, const std::string &body)>;

    explicit Store(boost::asio::io_context &loop);

    /** Listens on a free loopback port and returns the address. */
    std::string listen();
    void setTreatment(Treat treat);
    /** How long a Late call waits, in ms. */
    void setLateDelay(int milliseconds);

    /** Writes or removes a row as the operator or a runner does. */
    void put(const std::string &table, const std::string &key, const std::string &bytes);
    void drop(const std::string &table, const std::string &key);

    /** Number of transactions refused because they exceed a limit of the page. */
    int oversized() const;
    /** The largest number of entries in one transaction. */
    std::size_t largestTransaction() const;

private:
    struct Change {
        std::int64_t version = 0;
        Key key;
        bool removed = false;
        std::string value;
    };
    struct Waiter {
        std::string table;
        std::int64_t after = 0;
        coriander::AsyncHttpRespond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool done = false;
    };

    void handle(const coriander::HttpRequest &request, const coriander::AsyncHttpRespond &respond);
    coriander::HttpResponse transact(const std::string &body);
    coriander::HttpResponse read(const coriander::HttpRequest &request) const;
    std::vector<const Change *> changesAfter(const std::string &table, std::int64_t version) const;
    coriander::HttpResponse feed(const std::string &table, std::int64_t after) const;
    void wakeWaiters();
    void write(const Key &key, const std::string &value, bool removed);
    std::int64_t nowMs() const;
    void later(int milliseconds, std::function<void()> next);

    boost::asio::io_context &m_loop;
    coriander::AsyncHttpServer m_server;
    Treat m_treat;
    int m_lateDelayMs = 5000;
    std::map<Key, Stored> m_rows;
    std::vector<Change> m_log;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
    std::int64_t m_version = 1;
    int m_oversized = 0;
    std::size_t m_largest = 0;
    /** Responses of calls that are never answered; the channel stays open and delivers nothing further. */
    std::vector<coriander::AsyncHttpRespond> m_unanswered;
};

} // namespace review
