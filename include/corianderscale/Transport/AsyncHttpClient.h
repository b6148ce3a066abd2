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
 * HTTP/1.1 client over Boost.Beast on a caller's event loop; keeps connections to each address open.
 *
 * A connection whose request times out or breaks is closed, and so are the idle connections to the same address,
 * because a silent path shows only by a deadline that passed.
 *
 * Thread safety: only on the thread that runs the event loop.
 */
class AsyncHttpClient
{
public:
    struct Settings {
        Duration connectTime = std::chrono::milliseconds(1500);
        /** Bound of unacknowledged data in the kernel, so that a dead path is not kept for minutes. */
        Duration unacknowledgedTime = std::chrono::seconds(3);
        std::size_t connectionsPerAddress = 16;
        /** Requests that wait for a connection; more fail with LimitExceeded. */
        std::size_t waitingPerAddress = 1024;
    };

    AsyncHttpClient(boost::asio::io_context &loop, Settings settings);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /**
     * Sends @p request to @p address, `IPv4:port`, and calls @p done exactly once, not inside the call, at the latest
     * after @p limit. TransportCode::Unreachable proves that nothing was sent.
     */
    void send(const std::string &address, HttpRequest request, Duration limit, AsyncHttpCompletion done);

    /** Closes the idle connections to @p address. */
    void closeIdle(const std::string &address);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
