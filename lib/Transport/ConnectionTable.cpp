#include "ConnectionTable.h"

#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

/** Minimum time between two log lines with the same reason. */
constexpr auto LogInterval = std::chrono::seconds(10);

/** A client sends its request within a round trip after it has connected. */
constexpr auto NewConnectionTime = std::chrono::milliseconds(300);

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
    entry.m_recentUntil = std::chrono::steady_clock::now() + NewConnectionTime;
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
    if (!entry.m_newHook.is_linked()) {
        m_idle.push_back(entry);
        ++m_load.idleConnections;
    }
}

void ConnectionTable::setIncomplete(ConnectionEntry &entry)
{
    unlink(entry.m_idleHook, m_load.idleConnections);
    unlink(entry.m_unreadHook, m_load.unreadResponses);
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

std::chrono::steady_clock::time_point ConnectionTable::oldestNewRecentUntil() const
{
    return m_new.front().m_recentUntil;
}

decision::ConnectionVerdict ConnectionTable::decideConnection() const
{
    decision::ConnectionLoad load = m_load;
    load.isOldestNewRecent = !m_new.empty() && std::chrono::steady_clock::now() < oldestNewRecentUntil();
    return decision::decideConnection(m_limits, load);
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
