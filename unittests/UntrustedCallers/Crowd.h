#pragma once

#include "corianderscale/Support/Time.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace coriander::soak {

/** What one client of a crowd does on its connection. */
struct ClientScript {
    /** Sent in this order. */
    std::vector<std::shared_ptr<const std::string>> pieces;
    /** Time between two pieces. */
    Duration pause{};
    /** Whether the client reads what the server sends. */
    bool reads = true;
    /** Whether the client shuts down its sending side after the last piece. */
    bool closesSendingSide = false;
};

/**
 * Clients that play their scripts against one port of 127.0.0.1 and then keep their connections open.
 *
 * Thread safety: only on the thread of the event loop.
 */
class Crowd
{
public:
    Crowd(boost::asio::io_context &loop, unsigned short port, const std::vector<ClientScript> &scripts);
    /** Closes all connections. */
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Whether every client has sent all its pieces or lost its connection. */
    bool hasFinishedSending() const;

private:
    class Client;

    std::vector<std::shared_ptr<Client>> m_clients;
};

} // namespace coriander::soak
