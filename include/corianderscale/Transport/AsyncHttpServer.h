#pragma once

#include "corianderscale/Decision/ConnectionAdmission.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/Http.h"

#include <boost/asio/io_context.hpp>

#include <array>
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
    /** Time after which a connection without a request is closed. */
    Duration idleTime = std::chrono::seconds(15);
};

/** Why a server did not serve a client. */
enum class HttpRefusal {
    /** The requests in progress hold too many bytes (503). */
    Bytes,
    /** An incomplete request gave way to another one (503). */
    IncompleteGaveWay,
    /** A connection without a complete request, or an idle one, was closed for a new one. */
    ConnectionGaveWay,
    /** The client's address has too many connections. */
    AddressConnections,
    /** All connections are in use or have just been opened; accepting pauses until one may give way. */
    AcceptPaused,
    /** 413 */
    BodyTooLarge,
    /** 431 */
    HeaderTooLarge,
    /** 408 */
    NotReceivedInTime,
    /** 400 */
    Malformed,
};
inline constexpr std::size_t HttpRefusalCount = static_cast<std::size_t>(HttpRefusal::Malformed) + 1;
/** Number of refusals since the start, by reason. */
using HttpRefusals = std::array<std::size_t, HttpRefusalCount>;

/** A refusal, and what the server held at that time. */
struct HttpRefusalReport {
    HttpRefusal reason = HttpRefusal::Bytes;
    /** Number of refusals for this reason so far. */
    std::size_t count = 0;
    decision::ConnectionLoad load;
    decision::ConnectionLimits limits;
};

/** Called on the thread of the event loop, at most once in 10 s for each reason. */
using HttpRefusalHook = std::function<void(const HttpRefusalReport &)>;

/** Name of a reason in logs and metrics. */
const char *httpRefusalName(HttpRefusal reason);

/** Sends the response to one request. Must be called exactly once, on the thread of the event loop. */
using AsyncHttpRespond = std::function<void(HttpResponse)>;
using AsyncHttpHandler = std::function<void(HttpRequest request, AsyncHttpRespond respond)>;

/**
 * HTTP/1.1 server over Boost.Beast on the caller's event loop.
 *
 * A request that is not received in time (408), whose body is too large (413) or that is malformed (400) is answered
 * without waiting for the rest of it. The same holds for a request that exceeds the connection limits (503). The
 * handler is never called for a refused request.
 *
 * Thread safety: must be used only on the thread that runs the event loop, unless a method says otherwise.
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

    /** Returns the listening port. Precondition: listen() succeeded. */
    unsigned short port() const;

    /** Sets the limits of requests that start after this call. */
    void setLimits(AsyncHttpLimits limits);

    /** Sets the limits of all connections and requests together; without this call there are none. @p onRefusal may be
     * empty. Precondition: listen() was not called. */
    void setConnectionLimits(const decision::ConnectionLimits &limits, HttpRefusalHook onRefusal = {});

    const HttpRefusals &refusals() const;

    /** What the server holds now; `connectionsOfAddress` and what is recent are not set. */
    decision::ConnectionLoad load() const;

    /** Makes every response after this call close its connection. */
    void startDraining();

    /** Closes the listener and all connections that have no request in progress. */
    void closeIdle();

    /** Number of requests whose response has not been written. Thread safety: any thread. */
    std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
