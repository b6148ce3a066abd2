#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/Http.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander {

/** Receives the response, or no value and the error. Runs on the thread of the event loop. */
using AsyncHttpCompletion = std::function<void(std::optional<HttpResponse>, const TransportError &)>;

/**
 * HTTP/1.1 client over Boost.Beast on the caller's event loop, with a pool of persistent connections per address.
 *
 * When a request times out or its connection breaks, that connection and all idle connections to the same address are
 * closed, because a network path that drops packets silently is noticed only through a timeout.
 *
 * Thread safety: must be used only on the thread that runs the event loop.
 */
class AsyncHttpClient
{
public:
    struct Settings {
        Duration connectTimeout = std::chrono::milliseconds(1500);
        /** TCP_USER_TIMEOUT of the connections; without it the kernel keeps a dead connection for minutes. */
        Duration unacknowledgedTimeout = std::chrono::seconds(3);
        std::size_t maximumConnectionsPerAddress = 16;
        /** Limit on the open connections to all addresses together; 0 for none. Idle connections are closed to stay
         * below it, the least recently used first; a request that finds no connection waits. */
        std::size_t maximumConnections = 0;
        /** Limit on the requests that wait for a connection; further requests fail with LimitExceeded. */
        std::size_t maximumQueuedPerAddress = 1024;
    };

    AsyncHttpClient(boost::asio::io_context &loop, Settings settings);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /**
     * Sends @p request to @p address, `IPv4:port`, and calls @p done exactly once, asynchronously, after at most
     * @p limit. TransportCode::Unreachable proves that nothing was sent.
     */
    void send(const std::string &address, HttpRequest request, Duration limit, AsyncHttpCompletion done);

    /** Closes the idle connections to @p address. */
    void closeIdle(const std::string &address);

    /** Number of open connections. */
    std::size_t connections() const;

    /** Whether requests can be sent to @p address: `IPv4:port` with a port above 0. Thread safety: pure. */
    static bool isAddress(const std::string &address);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
