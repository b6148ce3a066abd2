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
#include <string>

namespace coriander {

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
    /** @p listener names the server in log lines. */
    void setLimits(const decision::ConnectionLimits &limits, const std::string &listener);
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

    /** Counts a refusal and logs it, at most one line for each reason in 10 s. */
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
    std::string m_listener;
    List<&ConnectionEntry::m_newHook> m_new;
    List<&ConnectionEntry::m_idleHook> m_idle;
    List<&ConnectionEntry::m_unreadHook> m_unread;
    List<&ConnectionEntry::m_incompleteHook> m_incomplete;
    std::map<boost::asio::ip::address, std::size_t> m_addresses;
    HttpRefusals m_refusals{};
    std::array<std::chrono::steady_clock::time_point, HttpRefusalCount> m_nextLogAt{};
};

} // namespace coriander
