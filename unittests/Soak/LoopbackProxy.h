#pragma once

#include "corianderscale/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace coriander::soak {

/** Faults that a proxy applies to the bytes that it forwards. */
struct LinkFaults {
    Duration delay{};
    /** Whether bytes from the client are held back until the fault ends. */
    bool holdsRequests = false;
    /** Whether bytes from the target are held back until the fault ends. */
    bool holdsResponses = false;
};

/**
 * Forwards TCP connections on loopback and injects network faults: delays, held bytes, resets and silent connections.
 * Thread safety: only on the thread of the event loop.
 */
class LoopbackProxy
{
public:
    /** Listens on a free port of 127.0.0.1 and forwards to @p targetPort there. */
    LoopbackProxy(boost::asio::io_context &loop, unsigned short targetPort);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    unsigned short port() const;
    std::string address() const;

    void setFaults(LinkFaults faults);

    /** Resets all open connections; new connections work. */
    void resetConnections();

    /** Stops forwarding on all open connections without closing them; new connections work. */
    void silenceConnections();

private:
    class Connection;

    void accept();

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    LinkFaults m_faults;
    std::set<std::shared_ptr<Connection>> m_connections;
    /** Expires with the proxy; pending operations hold a weak reference. */
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace coriander::soak
