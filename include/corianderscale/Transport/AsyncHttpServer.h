#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/Http.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace coriander {

/** Limits of one server. */
struct AsyncHttpLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /** Time from the first byte of a request to its last one. */
    Duration receiveTime = std::chrono::seconds(3);
    /** Time that a connection may stay open without a request. */
    Duration idleTime = std::chrono::seconds(15);
};

/** Sends the response of one request; call exactly once, on the thread of the event loop. */
using AsyncHttpRespond = std::function<void(HttpResponse)>;
using AsyncHttpHandler = std::function<void(HttpRequest request, AsyncHttpRespond respond)>;

/**
 * HTTP/1.1 server over Boost.Beast on a caller's event loop.
 *
 * A request whose body does not arrive in time (408), is too large (413) or is malformed (400) is answered without
 * waiting for the rest of it.
 *
 * Thread safety: only on the thread that runs the event loop, but where a method says otherwise.
 */
class AsyncHttpServer
{
public:
    AsyncHttpServer(boost::asio::io_context &loop, AsyncHttpLimits limits, AsyncHttpHandler handler);
    /** Closes the listener and all connections. */
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /** Listens on @p address, `IPv4:port`. Returns false with the reason when the port cannot be opened. */
    bool listen(const std::string &address, TransportError &error);

    /** Port that is listened on. Precondition: listen() succeeded. */
    unsigned short port() const;

    /** Applies to the requests that start from now on. */
    void setLimits(AsyncHttpLimits limits);

    /** From now on each response closes its connection. */
    void startDraining();

    /** Closes the listener and the connections without a request. */
    void closeIdle();

    /** Requests whose response has not been written. Thread safety: any thread. */
    std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
