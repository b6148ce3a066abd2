#pragma once

#include "corianderscale/Decision/ConnectionAdmission.h"
#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/ip/address.hpp>
#include <boost/intrusive/list.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace coriander {

/** Minimum time between two reports of refusals with the same reason. */
inline constexpr auto RefusalReportInterval = std::chrono::seconds(10);
/** A client sends its request, and takes its response, within a round trip. */
inline constexpr auto RecentConnectionTime = std::chrono::milliseconds(300);

/** A connection in a ConnectionTable; changed only by the table. */
class ConnectionEntry
{
public:
    explicit ConnectionEntry(const boost::asio::ip::address &client)
        : m_client(client)
    {
    }

private:
    friend class ConnectionTable;
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    boost::asio::ip::address m_client;
    bool m_listed = false;
    /** Until then, the connection is kept although it has sent no request, or not taken its response. */
    std::chrono::steady_clock::time_point m_recentUntil;
    /** Whether it was kept once more since its last request. */
    bool m_renewed = false;
    /** Linked until the first complete request. */
    Hook m_newHook;
    /** Linked while a connection that has served a request waits for the next one. */
    Hook m_idleHook;
    /** Linked while a response is written. */
    Hook m_unreadHook;
    /** Linked while a part of a request is missing. */
    Hook m_incompleteHook;
    std::size_t m_bytes = 0;
};

/**
 * The connections of one server in the order in which they give way, the bytes that are counted for them, and the
 * refusals. All changes take constant time and allocate nothing, except adding and removing a connection.
 *
 * Thread safety: only on the thread of the event loop.
 */
class ConnectionTable
{
public:
    /** @p onRefusal may be empty. */
    void setLimits(const decision::ConnectionLimits &limits, HttpRefusalHook onRefusal);
    const decision::ConnectionLimits &limits() const;

    /** Adds a connection that has not sent anything. Precondition: it is not in the table. */
    void add(ConnectionEntry &entry);
    /** Removes a connection and what is counted for it, if it is in the table. */
    void remove(ConnectionEntry &entry);

    /** The connection waits for a request; its last response is written. */
    void setIdle(ConnectionEntry &entry);
    /** The connection has begun to receive a request. */
    void setIncomplete(ConnectionEntry &entry);
    /** The connection receives no request any more. */
    void setComplete(ConnectionEntry &entry);
    /** The connection has sent a complete request. */
    void setServed(ConnectionEntry &entry);
    /** A response is being written to the connection. */
    void setUnread(ConnectionEntry &entry);
    /** Counts @p bytes for the connection in place of what was counted. */
    void setBytes(ConnectionEntry &entry, std::size_t bytes);

    /** Whether @p bytes may be counted for the connection in place of what is counted. */
    decision::RequestVerdict decide(const ConnectionEntry &entry, std::size_t bytes) const;

    /** @name The connection that gives way first
     * Precondition: load() has one of the kind. */
    ///@{
    ConnectionEntry &oldestNew();
    ConnectionEntry &oldestIdle();
    ConnectionEntry &oldestUnread();
    ConnectionEntry &oldestIncomplete();
    ///@}

    /** Without `connectionsOfAddress` and what is recent. */
    const decision::ConnectionLoad &load() const;
    /** When the first connection that is kept because it is recent may give way; no value if there is none. */
    std::optional<std::chrono::steady_clock::time_point> nextToGiveWayAt() const;
    /** Keeps a connection that would give way a last time; returns false if that was done since its last request. */
    bool renew(ConnectionEntry &entry);
    /** Whether another connection may be accepted now. */
    decision::ConnectionVerdict decideConnection() const;
    decision::ConnectionLoad loadOf(const boost::asio::ip::address &client) const;

    /** Counts a refusal and reports it, at most once in 10 s for each reason. */
    void countRefusal(HttpRefusal reason);
    const HttpRefusals &refusals() const;

private:
    static void unlink(ConnectionEntry::Hook &hook, std::size_t &count);

    template<ConnectionEntry::Hook ConnectionEntry::*hook>
    using List = boost::intrusive::list<ConnectionEntry,
                                        boost::intrusive::member_hook<ConnectionEntry, ConnectionEntry::Hook, hook>,
                                        boost::intrusive::constant_time_size<false>>;

    decision::ConnectionLimits m_limits;
    decision::ConnectionLoad m_load;
    HttpRefusalHook m_onRefusal;
    List<&ConnectionEntry::m_newHook> m_new;
    List<&ConnectionEntry::m_idleHook> m_idle;
    List<&ConnectionEntry::m_unreadHook> m_unread;
    List<&ConnectionEntry::m_incompleteHook> m_incomplete;
    std::map<boost::asio::ip::address, std::size_t> m_addresses;
    HttpRefusals m_refusals{};
    std::array<std::chrono::steady_clock::time_point, HttpRefusalCount> m_nextReportAt{};
};

inline void ConnectionTable::unlink(ConnectionEntry::Hook &hook, std::size_t &count)
{
    if (hook.is_linked()) {
        hook.unlink();
        --count;
    }
}

inline void ConnectionTable::setLimits(const decision::ConnectionLimits &limits, HttpRefusalHook onRefusal)
{
    m_limits = limits;
    m_onRefusal = std::move(onRefusal);
}

inline const decision::ConnectionLimits &ConnectionTable::limits() const
{
    return m_limits;
}

inline void ConnectionTable::add(ConnectionEntry &entry)
{
    entry.m_listed = true;
    entry.m_recentUntil = std::chrono::steady_clock::now() + RecentConnectionTime;
    m_new.push_back(entry);
    ++m_load.newConnections;
    ++m_load.connections;
    ++m_addresses[entry.m_client];
}

inline void ConnectionTable::remove(ConnectionEntry &entry)
{
    setBytes(entry, 0);
    setComplete(entry);
    setServed(entry);
    unlink(entry.m_idleHook, m_load.idleConnections);
    unlink(entry.m_unreadHook, m_load.unreadResponses);
    if (!entry.m_listed) {
        return;
    }
    entry.m_listed = false;
    --m_load.connections;
    const auto address = m_addresses.find(entry.m_client);
    if (--address->second == 0) {
        m_addresses.erase(address);
    }
}

inline void ConnectionTable::setIdle(ConnectionEntry &entry)
{
    unlink(entry.m_unreadHook, m_load.unreadResponses);
    if (entry.m_listed && !entry.m_newHook.is_linked()) {
        m_idle.push_back(entry);
        ++m_load.idleConnections;
    }
}

inline void ConnectionTable::setIncomplete(ConnectionEntry &entry)
{
    unlink(entry.m_idleHook, m_load.idleConnections);
    unlink(entry.m_unreadHook, m_load.unreadResponses);
    if (!entry.m_listed) {
        return;
    }
    entry.m_renewed = false;
    m_incomplete.push_back(entry);
    ++m_load.incompleteRequests;
    m_load.incompleteBytes += entry.m_bytes;
}

inline void ConnectionTable::setComplete(ConnectionEntry &entry)
{
    if (entry.m_incompleteHook.is_linked()) {
        entry.m_incompleteHook.unlink();
        --m_load.incompleteRequests;
        m_load.incompleteBytes -= entry.m_bytes;
    }
}

inline void ConnectionTable::setServed(ConnectionEntry &entry)
{
    unlink(entry.m_newHook, m_load.newConnections);
}

inline void ConnectionTable::setUnread(ConnectionEntry &entry)
{
    if (entry.m_listed && !entry.m_unreadHook.is_linked()) {
        entry.m_recentUntil = std::chrono::steady_clock::now() + RecentConnectionTime;
        m_unread.push_back(entry);
        ++m_load.unreadResponses;
    }
}

inline void ConnectionTable::setBytes(ConnectionEntry &entry, std::size_t bytes)
{
    m_load.bytes = m_load.bytes - entry.m_bytes + bytes;
    if (entry.m_incompleteHook.is_linked()) {
        m_load.incompleteBytes = m_load.incompleteBytes - entry.m_bytes + bytes;
    }
    entry.m_bytes = bytes;
}

inline decision::RequestVerdict ConnectionTable::decide(const ConnectionEntry &entry, std::size_t bytes) const
{
    decision::ConnectionLoad others = m_load;
    others.bytes -= entry.m_bytes;
    if (entry.m_incompleteHook.is_linked()) {
        others.incompleteBytes -= entry.m_bytes;
        --others.incompleteRequests;
    }
    return decision::decideRequest(m_limits, others, bytes);
}

inline ConnectionEntry &ConnectionTable::oldestNew()
{
    return m_new.front();
}

inline std::optional<std::chrono::steady_clock::time_point> ConnectionTable::nextToGiveWayAt() const
{
    const auto now = std::chrono::steady_clock::now();
    std::optional<std::chrono::steady_clock::time_point> next;
    for (const ConnectionEntry *oldest :
         {m_new.empty() ? nullptr : &m_new.front(), m_unread.empty() ? nullptr : &m_unread.front()}) {
        if (oldest != nullptr && oldest->m_recentUntil > now && (!next || oldest->m_recentUntil < *next)) {
            next = oldest->m_recentUntil;
        }
    }
    return next;
}

inline decision::ConnectionVerdict ConnectionTable::decideConnection() const
{
    decision::ConnectionLoad load = m_load;
    const auto now = std::chrono::steady_clock::now();
    load.isOldestNewRecent = !m_new.empty() && now < m_new.front().m_recentUntil;
    load.isOldestUnreadRecent = !m_unread.empty() && now < m_unread.front().m_recentUntil;
    return decision::decideConnection(m_limits, load);
}

inline bool ConnectionTable::renew(ConnectionEntry &entry)
{
    if (entry.m_renewed) {
        return false;
    }
    entry.m_renewed = true;
    entry.m_recentUntil = std::chrono::steady_clock::now() + RecentConnectionTime;
    if (entry.m_newHook.is_linked()) {
        entry.m_newHook.unlink();
        m_new.push_back(entry);
    } else if (entry.m_idleHook.is_linked()) {
        entry.m_idleHook.unlink();
        m_idle.push_back(entry);
    }
    return true;
}

inline ConnectionEntry &ConnectionTable::oldestIdle()
{
    return m_idle.front();
}

inline ConnectionEntry &ConnectionTable::oldestUnread()
{
    return m_unread.front();
}

inline ConnectionEntry &ConnectionTable::oldestIncomplete()
{
    return m_incomplete.front();
}

inline const decision::ConnectionLoad &ConnectionTable::load() const
{
    return m_load;
}

inline decision::ConnectionLoad ConnectionTable::loadOf(const boost::asio::ip::address &client) const
{
    decision::ConnectionLoad load = m_load;
    const auto address = m_addresses.find(client);
    load.connectionsOfAddress = address == m_addresses.end() ? 0 : address->second;
    return load;
}

inline void ConnectionTable::countRefusal(HttpRefusal reason)
{
    const auto index = static_cast<std::size_t>(reason);
    ++m_refusals.at(index);
    const auto now = std::chrono::steady_clock::now();
    if (!m_onRefusal || now < m_nextReportAt.at(index)) {
        return;
    }
    m_nextReportAt.at(index) = now + RefusalReportInterval;
    m_onRefusal({reason, m_refusals.at(index), m_load, m_limits});
}

inline const HttpRefusals &ConnectionTable::refusals() const
{
    return m_refusals;
}

} // namespace coriander
