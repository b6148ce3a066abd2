#include "ConnectionTable.h"

#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

/** Minimum time between two log lines with the same reason. */
constexpr auto LogInterval = std::chrono::seconds(10);

/** A client sends its request, and takes its response, within a round trip. */
constexpr auto RecentTime = std::chrono::milliseconds(300);

} // namespace

const char *httpRefusalName(HttpRefusal reason)
{
    switch (reason) {
    case HttpRefusal::Bytes:
        return "bytes";
    case HttpRefusal::IncompleteGaveWay:
        return "incomplete-gave-way";
    case HttpRefusal::ConnectionGaveWay:
        return "connection-gave-way";
    case HttpRefusal::AddressConnections:
        return "address-connections";
    case HttpRefusal::AcceptPaused:
        return "accept-paused";
    case HttpRefusal::BodyTooLarge:
        return "body-too-large";
    case HttpRefusal::HeaderTooLarge:
        return "header-too-large";
    case HttpRefusal::NotReceivedInTime:
        return "not-received-in-time";
    case HttpRefusal::Malformed:
        return "malformed";
    }
    return "unknown";
}

void ConnectionTable::unlink(ConnectionEntry::Hook &hook, std::size_t &count)
{
    if (hook.is_linked()) {
        hook.unlink();
        --count;
    }
}

void ConnectionTable::setLimits(const decision::ConnectionLimits &limits, const std::string &listener)
{
    m_limits = limits;
    m_listener = listener;
}

const decision::ConnectionLimits &ConnectionTable::limits() const
{
    return m_limits;
}

void ConnectionTable::add(ConnectionEntry &entry)
{
    entry.m_listed = true;
    entry.m_recentUntil = std::chrono::steady_clock::now() + RecentTime;
    m_new.push_back(entry);
    ++m_load.newConnections;
    ++m_load.connections;
    ++m_addresses[entry.m_client];
}

void ConnectionTable::remove(ConnectionEntry &entry)
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

void ConnectionTable::setIdle(ConnectionEntry &entry)
{
    unlink(entry.m_unreadHook, m_load.unreadResponses);
    if (entry.m_listed && !entry.m_newHook.is_linked()) {
        m_idle.push_back(entry);
        ++m_load.idleConnections;
    }
}

void ConnectionTable::setIncomplete(ConnectionEntry &entry)
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

void ConnectionTable::setComplete(ConnectionEntry &entry)
{
    if (entry.m_incompleteHook.is_linked()) {
        entry.m_incompleteHook.unlink();
        --m_load.incompleteRequests;
        m_load.incompleteBytes -= entry.m_bytes;
    }
}

void ConnectionTable::setServed(ConnectionEntry &entry)
{
    unlink(entry.m_newHook, m_load.newConnections);
}

void ConnectionTable::setUnread(ConnectionEntry &entry)
{
    if (entry.m_listed && !entry.m_unreadHook.is_linked()) {
        entry.m_recentUntil = std::chrono::steady_clock::now() + RecentTime;
        m_unread.push_back(entry);
        ++m_load.unreadResponses;
    }
}

void ConnectionTable::setBytes(ConnectionEntry &entry, std::size_t bytes)
{
    m_load.bytes = m_load.bytes - entry.m_bytes + bytes;
    if (entry.m_incompleteHook.is_linked()) {
        m_load.incompleteBytes = m_load.incompleteBytes - entry.m_bytes + bytes;
    }
    entry.m_bytes = bytes;
}

decision::RequestVerdict ConnectionTable::decide(const ConnectionEntry &entry, std::size_t bytes) const
{
    decision::ConnectionLoad others = m_load;
    others.bytes -= entry.m_bytes;
    if (entry.m_incompleteHook.is_linked()) {
        others.incompleteBytes -= entry.m_bytes;
        --others.incompleteRequests;
    }
    return decision::decideRequest(m_limits, others, bytes);
}

ConnectionEntry &ConnectionTable::oldestNew()
{
    return m_new.front();
}

std::optional<std::chrono::steady_clock::time_point> ConnectionTable::nextToGiveWayAt() const
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

decision::ConnectionVerdict ConnectionTable::decideConnection() const
{
    decision::ConnectionLoad load = m_load;
    const auto now = std::chrono::steady_clock::now();
    load.isOldestNewRecent = !m_new.empty() && now < m_new.front().m_recentUntil;
    load.isOldestUnreadRecent = !m_unread.empty() && now < m_unread.front().m_recentUntil;
    return decision::decideConnection(m_limits, load);
}

bool ConnectionTable::renew(ConnectionEntry &entry)
{
    if (entry.m_renewed) {
        return false;
    }
    entry.m_renewed = true;
    entry.m_recentUntil = std::chrono::steady_clock::now() + RecentTime;
    if (entry.m_newHook.is_linked()) {
        entry.m_newHook.unlink();
        m_new.push_back(entry);
    } else if (entry.m_idleHook.is_linked()) {
        entry.m_idleHook.unlink();
        m_idle.push_back(entry);
    }
    return true;
}

ConnectionEntry &ConnectionTable::oldestIdle()
{
    return m_idle.front();
}

ConnectionEntry &ConnectionTable::oldestUnread()
{
    return m_unread.front();
}

ConnectionEntry &ConnectionTable::oldestIncomplete()
{
    return m_incomplete.front();
}

const decision::ConnectionLoad &ConnectionTable::load() const
{
    return m_load;
}

decision::ConnectionLoad ConnectionTable::loadOf(const boost::asio::ip::address &client) const
{
    decision::ConnectionLoad load = m_load;
    const auto address = m_addresses.find(client);
    load.connectionsOfAddress = address == m_addresses.end() ? 0 : address->second;
    return load;
}

void ConnectionTable::countRefusal(HttpRefusal reason)
{
    const auto index = static_cast<std::size_t>(reason);
    ++m_refusals.at(index);
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextLogAt.at(index)) {
        return;
    }
    m_nextLogAt.at(index) = now + LogInterval;
    logEvent(LogLevel::Warning,
             "clients-refused",
             {{"listener", m_listener},
              {"reason", httpRefusalName(reason)},
              {"count", m_refusals.at(index)},
              {"connections", m_load.connections},
              {"incomplete", m_load.incompleteRequests},
              {"bytes", m_load.bytes},
              {"most_bytes", m_limits.bytes}});
}

const HttpRefusals &ConnectionTable::refusals() const
{
    return m_refusals;
}

} // namespace coriander
