#pragma once

#include "corianderscale/Transport/Http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/** Sends the response to one request; may be called once, from any thread, during or after the handler. */
using HttpRespond = std::function<void(HttpResponse)>;

/**
 * Handles one request. @p captures holds the path segments that matched `{name}` in the pattern, in order.
 * Runs on one of the few handler threads and must not block for long.
 */
using HttpHandler
    = std::function<void(const HttpRequest &request, const std::vector<std::string> &captures, HttpRespond respond)>;

/** Limits of a server. */
struct HttpServerLimits {
    std::size_t maximumBodyBytes = 1024 * 1024;
    /** Limit on the requests in progress; further requests are answered 503. */
    std::size_t maximumRequests = 4096;
    /** Limit on the time from the first to the last byte of a request, in seconds; a slower one is answered 408. */
    int receiveTimeoutSeconds = 10;
};

/**
 * HTTP/1.1 server with routes: an AsyncHttpServer on its own thread, and a pool of handler threads.
 *
 * Thread safety: route() only before start(); the other methods from any one thread.
 */
class HttpServer
{
public:
    /** @p address is a base address such as `http://127.0.0.1:8080`. */
    HttpServer(std::string address, HttpServerLimits limits);
    /** Stops the server. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Serves @p method on paths that match @p pattern, such as `/v1/jobs/{id}`. Precondition: not started. */
    void route(const std::string &method, const std::string &pattern, HttpHandler handler);

    /** Opens the port. Returns false with the reason when it cannot be opened. */
    bool start(TransportError &error);

    /** Closes the port after waiting for the requests in progress to be answered, at most until @p deadline. */
    void stop(MonotonicTime deadline);

    /** Number of requests that have not been answered. Thread safety: any thread. */
    std::size_t requestsInProgress() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace coriander
