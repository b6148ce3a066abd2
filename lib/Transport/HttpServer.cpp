#include "corianderscale/Transport/HttpServer.h"

#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/DutyThread.h"

#include <cpprest/http_listener.h>
#include <cpprest/uri.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace coriander {

namespace {

namespace listener = web::http::experimental::listener;

/** How often requests are checked against their time limit for being received. */
constexpr Duration ReceiveCheckInterval = std::chrono::milliseconds(200);

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

std::string errorJson(const std::string &code, const std::string &reason)
{
    return "{\"error\":{\"code\":\"" + code + "\",\"outcome\":\"rejected\",\"reason\":\"" + reason + "\"}}";
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
        // The pattern {name...} at the end takes one part; object keys are sent percent-encoded.
        if (expected.size() > 1 && expected.front() == '{') {
            captures.push_back(web::uri::decode(path[i]));
            continue;
        }
        if (expected != path[i]) {
            return false;
        }
    }
    return true;
}

HttpRequest convertRequest(const web::http::http_request &message)
{
    HttpRequest request;
    request.method = message.method();
    request.path = web::uri::decode(message.relative_uri().path());
    for (const auto &[key, value] : web::uri::split_query(message.relative_uri().query())) {
        request.query[web::uri::decode(key)] = web::uri::decode(value);
    }
    for (const auto &[name, value] : message.headers()) {
        request.headers[name] = value;
    }
    return request;
}

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
    Implementation(std::string address, HttpServerLimits limits)
        : m_address(std::move(address))
        , m_limits(limits)
        , m_clock(systemClock())
    {
    }

    void addRoute(Route route)
    {
        assert(!m_listener && "routes are added before the server starts");
        m_routes.push_back(std::move(route));
    }

    bool start(TransportError &error)
    {
        try {
            listener::http_listener_config config;
            config.set_timeout(utility::seconds(m_limits.receiveTimeoutSeconds));
            m_listener = std::make_unique<listener::http_listener>(web::uri(m_address), config);
            m_listener->support([self = weak_from_this()](const web::http::http_request &message) {
                if (const auto server = self.lock()) {
                    server->receive(message);
                }
            });
            m_listener->open().wait();
        } catch (const std::exception &exception) {
            m_listener.reset();
            error = {TransportCode::Unreachable,
                     "cannot listen on " + m_address + ": " + exception.what() + "; check the address in the settings"};
            return false;
        }
        m_timer = std::make_unique<DutyThread>("http-timeouts", [this] { expireReceiving(); });
        return true;
    }

    void stop(MonotonicTime deadline)
    {
        if (!m_listener) {
            return;
        }
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            while (m_inProgress.load() > 0 && m_clock.now() < deadline) {
                m_answered.wait_for(lock, ReceiveCheckInterval);
            }
        }
        m_timer.reset();
        try {
            m_listener->close().wait();
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Warning, "http-close-failed", {{"address", m_address}, {"reason", exception.what()}});
        }
        m_listener.reset();
    }

    std::size_t inProgress() const
    {
        return m_inProgress.load();
    }

private:
    /** One request that has not been answered. */
    struct Exchange {
        web::http::http_request message;
        MonotonicTime receiveDeadline;
        std::atomic<bool> received = false;
        std::atomic<bool> answered = false;
    };

    void receive(const web::http::http_request &message)
    {
        const auto exchange = std::make_shared<Exchange>();
        exchange->message = message;
        exchange->receiveDeadline = m_clock.now() + std::chrono::seconds(m_limits.receiveTimeoutSeconds);
        if (m_inProgress.fetch_add(1) >= m_limits.maximumRequests) {
            answer(exchange, jsonResponse(503, errorJson("overloaded", "too many requests in progress; retry later")));
            return;
        }
        if (message.headers().has("Transfer-Encoding")) {
            answer(exchange, jsonResponse(411, errorJson("invalid", "send the body with a Content-Length")));
            return;
        }
        if (message.headers().content_length() > m_limits.maximumBodyBytes) {
            answer(exchange, jsonResponse(413, errorJson("invalid", "the body is larger than this server accepts")));
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_receiving.push_back(exchange);
        }
        exchange->message.extract_vector().then(
            [self = shared_from_this(), exchange](const pplx::task<std::vector<unsigned char>> &body) {
                self->dispatch(exchange, body);
            });
    }

    void dispatch(const std::shared_ptr<Exchange> &exchange, const pplx::task<std::vector<unsigned char>> &body)
    {
        HttpRequest request;
        try {
            const std::vector<unsigned char> bytes = body.get();
            request = convertRequest(exchange->message);
            request.body.assign(bytes.begin(), bytes.end());
        } catch (const std::exception &) {
            answer(exchange, jsonResponse(400, errorJson("invalid", "the request could not be read")));
            return;
        }
        exchange->received = true;
        if (exchange->answered.load()) {
            return;
        }
        // Captures are decoded after splitting, so that an encoded slash stays inside its part.
        const std::vector<std::string> path = splitPath(exchange->message.relative_uri().path());
        std::vector<std::string> captures;
        bool pathKnown = false;
        for (const Route &route : m_routes) {
            if (!matches(route, path, captures)) {
                continue;
            }
            pathKnown = true;
            if (route.method == request.method) {
                invoke(route, request, captures, exchange);
                return;
            }
        }
        if (pathKnown) {
            answer(exchange, jsonResponse(405, errorJson("invalid", "this path does not take this method")));
            return;
        }
        answer(exchange, jsonResponse(404, errorJson("not-found", "there is nothing at this path")));
    }

    void invoke(const Route &route,
                const HttpRequest &request,
                const std::vector<std::string> &captures,
                const std::shared_ptr<Exchange> &exchange)
    {
        const auto respond = [self = shared_from_this(), exchange](HttpResponse response) {
            self->answer(exchange, std::move(response));
        };
        try {
            route.handler(request, captures, respond);
        } catch (const std::exception &exception) {
            logEvent(LogLevel::Error, "http-handler-failed", {{"path", request.path}, {"reason", exception.what()}});
            answer(exchange,
                   jsonResponse(500,
                                "{\"error\":{\"code\":\"internal\",\"outcome\":\"unknown\",\"reason\":"
                                "\"the server failed; ask again with the same key\"}}"));
        }
    }

    void answer(const std::shared_ptr<Exchange> &exchange, HttpResponse response)
    {
        if (exchange->answered.exchange(true)) {
            return;
        }
        web::http::http_response reply(static_cast<web::http::status_code>(response.status));
        for (const auto &[name, value] : response.headers) {
            reply.headers().add(name, value);
        }
        reply.set_body(std::vector<unsigned char>(response.body.begin(), response.body.end()));
        const std::string type = response.header("Content-Type");
        reply.headers().set_content_type(type.empty() ? "application/octet-stream" : type);
        exchange->message.reply(reply).then([self = shared_from_this()](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (const std::exception &exception) {
                logEvent(LogLevel::Debug, "http-reply-lost", {{"reason", exception.what()}});
            }
            self->finishExchange();
        });
    }

    void finishExchange()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_inProgress.fetch_sub(1);
        }
        m_answered.notify_all();
    }

    /** Answers 408 to requests whose body did not arrive in time, so that they stop counting as in progress. */
    void expireReceiving()
    {
        std::this_thread::sleep_for(ReceiveCheckInterval);
        std::vector<std::shared_ptr<Exchange>> late;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const MonotonicTime now = m_clock.now();
            std::erase_if(m_receiving, [&late, now](const std::shared_ptr<Exchange> &exchange) {
                if (exchange->received.load() || exchange->answered.load()) {
                    return true;
                }
                if (exchange->receiveDeadline > now) {
                    return false;
                }
                late.push_back(exchange);
                return true;
            });
        }
        for (const auto &exchange : late) {
            answer(exchange, jsonResponse(408, errorJson("invalid", "the body did not arrive in time")));
        }
    }

    std::string m_address;
    HttpServerLimits m_limits;
    Clock m_clock;
    std::vector<Route> m_routes;
    std::unique_ptr<listener::http_listener> m_listener;
    std::unique_ptr<DutyThread> m_timer;
    std::atomic<std::size_t> m_inProgress = 0;
    std::mutex m_mutex;
    std::condition_variable m_answered;
    std::vector<std::shared_ptr<Exchange>> m_receiving;
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
