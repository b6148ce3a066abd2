#pragma once

#include <condition_variable>
#include <mutex>
#include <tuple>
#include <vector>

#include "Http.h"

namespace review {

/** The platform's store, as its page says: rows with one version counter, conditional transactions, feeds. */
class Store
{
public:
    Store();

    /** Serves the store to the nodes. */
    void listen(unsigned short port);

    /** Writes or removes a row as the operator or a server does. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    /** The value of a row; empty if there is none. */
    std::string value(const std::string &table, const std::string &key);

private:
    struct Row {
        std::string value;
        std::int64_t version = 0;
    };
    struct Change {
        std::int64_t version = 0;
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        bool removed = false;
    };
    using RowKey = std::tuple<std::string, std::string, std::string>;

    Response handle(const Request &request);
    Response change(const Json &body);
    Response get(const Request &request);
    Response feed(const Request &request);
    void apply(const RowKey &key, const std::string &value, bool removed);
    std::int64_t nowMs() const;
    static Json rowJson(const RowKey &key, const std::string &value, std::int64_t version);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowKey, Row> m_rows;
    std::vector<Change> m_log;
    std::int64_t m_version = 1;
    SteadyClock::time_point m_start;
};

} // namespace review
