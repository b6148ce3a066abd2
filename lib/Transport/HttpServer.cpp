#include "corianderscale/Transport/HttpServer.h"

#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <cassert>
#include <optional>
#include <thread>

#include "UriText.h"

namespace coriander {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Number of handler threads; more than one, so that a handler that waits for the store does not block all others. */
constexpr std::size_t HandlerThreadCount = 4;

/** Interval at which stop() checks whether requests are still in progress. */
constexpr Duration DrainPollInterval = std::chrono::milliseconds(10);

/** Longer than the 30 s for which cpprestsdk clients keep an unused connection, so that the client closes first. */
constexpr Duration IdleConnectionTimeout = std::chrono::seconds(60);

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::string part;
    for (const char c : path) {
        if (c != '/') {
            part += c;
            continue;
        }
        if (!part.empty()) {
            parts.push_back(std::move(part));
            part.clear();
        }
    }
    if (!part.empty()) {
        parts.push_back(std::move(part));
    }
    return parts;
}

/** Resolves a base address such as `http://127.0.0.1:8080` to `IPv4:port`. */
std::optional<std::string> resolveBaseAddress(asio::io_context &loop, const std::string &base, std::string &reason)
{
    const std::string scheme = "http://";
    std::string authority = base.starts_with(scheme) ? base.substr(scheme.size()) : base;
    authority = authority.substr(0, authority.find('/'));
    const std::size_t colon = authority.rfind(':');
    if (colon == std::string::npos) {
        reason = "no port in the address";
        return std::nullopt;
    }
    boost::system::error_code code;
    Tcp::resolver resolver(loop);
    const auto found = resolver.resolve(Tcp::v4(), authority.substr(0, colon), authority.substr(colon + 1), code);
    if (code || found.empty()) {
        reason = code ? code.message() : "no IPv4 address";
        return std::nullopt;
    }
    const Tcp::endpoint endpoint = found.begin()->endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

struct Route {
    std::string method;
    std::vector<std::string> pattern;
    HttpHandler handler;
};

bool matches(const Route &route, const std::vector<std::string> &path, std::vector<std::string> &captures)
{
    if (route.pattern.size() != path.size()) {
        return false;
    }
    captures.clear();
    for (std::size_t i = 0; i < path.size(); ++i) {
        const std::string &expected = route.pattern[i];
        // {name} and a final {name...} each match one path segment; object keys are sent percent-encoded.
        if (expected.size() > 1 && expected.front() == '{') {
            captures.push_back(percentDecode(path[i]));
            continue;
        }
        if (expected != path[i]) {
            return false;
        }
    }
    return true;
}

AsyncHttpLimits toAsyncLimits(const HttpServerLimits &limits)
{
    AsyncHttpLimits result;
    result.bodyBytes = limits.maximumBodyBytes;
    result.receiveTime = std::chrono::seconds(limits.receiveTimeoutSeconds);
    result.idleTime = IdleConnectionTimeout;
    return result;
}

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
    Implementation(std::string address, HttpServerLimits limits)
        : m_address(std::move(address))
        , m_limits(limits)
        , m_clock(systemClock())
        , m_loop(std::make_shared<asio::io_context>())
    {
    }

    void addRoute(Route route)
    {
        assert(!m_server && "routes must be added before the server starts");
        m_routes.push_back(std::move(route));
    }

    bool start(TransportError &error)
    {
        const auto server = std::make_shared<AsyncHttpServer>(
            *m_loop, toAsyncLimits(m_limits), [weak = weak_from_this()](HttpRequest request, AsyncHttpRespond respond) {
                if (const auto self = weak.lock()) {
                    self->receive(std::move(request), std::move(respond));
                }
            });
        std::string reason;
        const std::optional<std::string> endpoint = resolveBaseAddress(*m_loop, m_address, reason);
        TransportError failure;
        if (!endpoint || !server->listen(*endpoint, failure)) {
            error = {TransportCode::Unreachable,
                     "cannot listen on " + m_address + ": " + (endpoint ? failure.reason : reason)
                         + "; check the address in the settings"};
            return false;
        }
        m_server = server;
        m_handlers = std::make_unique<asio::thread_pool>(HandlerThreadCount);
        m_thread = std::thread([loop = m_loop] { loop->run(); });
        return true;
    }

    void stop(MonotonicTime deadline)
    {
        if (!m_server) {
            return;
        }
        asio::post(*m_loop, [server = m_server] { server->startDraining(); });
        while (m_server->requestsInProgress() > 0 && m_clock.now() < deadline) {
            std::this_thread::sleep_for(DrainPollInterval);
        }
        m_loop->stop();
        m_thread.join();
        m_handlers->join();
        m_server.reset();
    }

    std::size_t inProgress() const
    {
        return m_server ? m_server->requestsInProgress() : 0;
    }

private:
    /** A request without a response yet. Keeps the loop alive, because the connection behind @c respond uses it. */
    struct PendingRequest {
        std::shared_ptr<asio::io_context> loop;
        AsyncHttpRespond respond;
        std::atomic<bool> answered = false;
    };

    void receive(HttpRequest request, AsyncHttpRespond respond)
    {
        const auto pending = std::make_shared<PendingRequest>();
        pending->loop = m_loop;
        pending->respond = std::move(respond);
        if (m_server->requestsInProgress() > m_limits.maximumRequests) {
            answer(pending, errorResponse(503, "overloaded", "too many requests in progress; retry later"));
            return;
        }
        if (!request.header("Transfer-Encoding").empty()) {
            answer(pending, errorResponse(411, "invalid", "Transfer-Encoding is not supported; send a Content-Length"));
            return;
        }
        asio::post(*m_handlers, [self = shared_from_this(), pending, request = std::move(request)] {
            self->dispatch(pending, request);
        });
    }

    void dispatch(const std::shared_ptr<PendingRequest> &pending, const HttpRequest &request)
    {
        // Captures are decoded after splitting, so that an encoded slash does not split a segment.
        const std::vector<std::string> path = splitPath(request.encodedPath);
        std::vector<std::string> captures;
        bool pathKnown = false;
        for (const Route &route : m_routes) {
            if (!matches(route, path, captures)) {
                continue;
            }
            pathKnown = true;
            if (route.method == request.method) {
                invoke(route, request, captures, pending);
                return;
            }
        }
        if (pathKnown) {
            answer(pending, errorResponse(405, "invalid", "method not allowed for this path"));
            return;
        }
        answer(pending, errorResponse(404, "not-found", "no such path"));
    }

    void invoke(const Route &route,
                const HttpRequest &request,
                const std::vector<std::string> &captures,
                const std::shared_ptr<PendingRequest> &pending)
    {
        const auto respond = [self = shared_from_this(), pending](HttpResponse response) {
            self->answer(pending, std::move(response));
        };
        try {
            route.handler(request, captures, respond);
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Error, "http-handler-failed", {{"path", request.path}, {"reason", exception.what()}});
            answer(pending,
                   jsonResponse(500,
                                "{\"error\":{\"code\":\"internal\",\"outcome\":\"unknown\",\"reason\":"
                                "\"internal server error; retry with the same key\"}}"));
        }
    }

    void answer(const std::shared_ptr<PendingRequest> &pending, HttpResponse response)
    {
        if (pending->answered.exchange(true)) {
            return;
        }
        if (response.header("Content-Type").empty()) {
            response.headers["Content-Type"] = "application/octet-stream";
        }
        // Must not hold a reference to the loop: a loop stopped before this runs would then keep itself alive.
        asio::post(*m_loop, [respond = std::move(pending->respond), response = std::move(response)]() mutable {
            respond(std::move(response));
        });
    }

    std::string m_address;
    HttpServerLimits m_limits;
    Clock m_clock;
    std::vector<Route> m_routes;
    std::shared_ptr<asio::io_context> m_loop;
    std::shared_ptr<AsyncHttpServer> m_server;
    std::unique_ptr<asio::thread_pool> m_handlers;
    std::thread m_thread;
};

HttpServer::HttpServer(std::string address, HttpServerLimits limits)
    : m_implementation(std::make_shared<Implementation>(std::move(address), limits))
{
}

HttpServer::~HttpServer()
{
    m_implementation->stop(MonotonicTime());
}

void HttpServer::route(const std::string &method, const std::string &pattern, HttpHandler handler)
{
    m_implementation->addRoute({method, splitPath(pattern), std::move(handler)});
}

bool HttpServer::start(TransportError &error)
{
    return m_implementation->start(error);
}

void HttpServer::stop(MonotonicTime deadline)
{
    m_implementation->stop(deadline);
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_implementation->inProgress();
}

} // namespace coriander
