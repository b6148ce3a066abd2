#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <optional>
#include <set>

#include "UriText.h"

namespace coriander {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/** Capacity of a connection's read buffer, in bytes. */
constexpr std::size_t ReadBufferBytes = 16 * 1024;
/** A response that the peer has not read after this time is abandoned and the connection closed. */
constexpr auto WriteTimeout = std::chrono::seconds(5);
/** Delay before accepting again after a failure, for example when no file descriptor is free. */
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

class AsyncHttpServer::Implementation : public std::enable_shared_from_this<AsyncHttpServer::Implementation>
{
public:
    class Session;

    Implementation(asio::io_context &loop, AsyncHttpLimits limits, AsyncHttpHandler handler)
        : m_loop(loop)
        , m_acceptor(loop)
        , m_acceptRetryTimer(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
    {
    }

    bool listen(const std::string &address, TransportError &error);
    void accept();
    void close(bool onlyIdle);

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    AsyncHttpLimits m_limits;
    AsyncHttpHandler m_handler;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::atomic<std::size_t> m_inProgress = 0;
    bool m_draining = false;
};

/** One connection: repeatedly reads a request, calls the handler and writes the response. */
class AsyncHttpServer::Implementation::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Implementation> server, Tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->m_loop)
    {
    }

    void waitForRequest()
    {
        m_inRequest = false;
        m_parser.reset();
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        startTimer(m_server->m_limits.idleTime);
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code code) {
            if (code || self->m_timedOut) {
                self->end();
                return;
            }
            self->readRequest();
        });
    }

    void end()
    {
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_server->m_sessions.erase(shared_from_this());
    }

    bool isIdle() const
    {
        return !m_inRequest;
    }

private:
    void startTimer(Duration limit)
    {
        m_timedOut = false;
        m_timer.expires_after(limit);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code code) {
            const std::shared_ptr<Session> self = weak.lock();
            if (code || !self) {
                return;
            }
            self->m_timedOut = true;
            boost::system::error_code ignored;
            self->m_socket.cancel(ignored);
        });
    }

    void readRequest()
    {
        m_inRequest = true;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_limits.headerBytes));
        m_parser->body_limit(m_server->m_limits.bodyBytes);
        startTimer(m_server->m_limits.receiveTime);
        http::async_read(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                self->onRequestRead(code);
            });
    }

    void onRequestRead(boost::system::error_code code)
    {
        m_timer.cancel();
        if (!code) {
            handle();
            return;
        }
        m_closeAfterResponse = true;
        if (m_timedOut) {
            respond(errorResponse(408, "invalid", "the request did not arrive in time"));
        } else if (code == http::error::body_limit) {
            respond(errorResponse(413, "invalid", "the body is too large"));
        } else if (code == http::error::header_limit) {
            respond(errorResponse(431, "invalid", "the header is too large"));
        } else if (code.category() == http::make_error_code(http::error::bad_method).category()
                   && code != http::error::end_of_stream && code != http::error::partial_message) {
            respond(errorResponse(400, "invalid", "malformed HTTP request"));
        } else {
            end();
        }
    }

    void handle()
    {
        const auto &message = m_parser->get();
        m_closeAfterResponse = !message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        parseTarget(std::string(message.target()), request);
        for (const auto &field : message) {
            request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
        }
        request.body = std::move(m_parser->get().body());
        ++m_server->m_inProgress;
        m_countedInProgress = true;
        m_server->m_handler(std::move(request),
                            [self = shared_from_this()](HttpResponse response) { self->respond(std::move(response)); });
    }

    void respond(HttpResponse response)
    {
        m_response = http::response<http::string_body>(static_cast<http::status>(response.status), 11);
        for (const auto &[name, value] : response.headers) {
            m_response.set(name, value);
        }
        m_response.body() = std::move(response.body);
        m_closeAfterResponse = m_closeAfterResponse || m_server->m_draining;
        m_response.keep_alive(!m_closeAfterResponse);
        m_response.prepare_payload();
        startTimer(WriteTimeout);
        http::async_write(
            m_socket, m_response, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                self->onResponseWritten(code);
            });
    }

    void onResponseWritten(boost::system::error_code code)
    {
        m_timer.cancel();
        if (m_countedInProgress) {
            m_countedInProgress = false;
            --m_server->m_inProgress;
        }
        if (code || m_closeAfterResponse) {
            end();
            return;
        }
        m_response = {};
        waitForRequest();
    }

    std::shared_ptr<Implementation> m_server;
    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer{ReadBufferBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_timedOut = false;
    bool m_inRequest = false;
    bool m_closeAfterResponse = false;
    bool m_countedInProgress = false;
};

bool AsyncHttpServer::Implementation::listen(const std::string &address, TransportError &error)
{
    const std::optional<Tcp::endpoint> endpoint = parseAddress(address);
    if (!endpoint) {
        error = {TransportCode::Unreachable, "expected IPv4:port, found " + address};
        return false;
    }
    try {
        m_acceptor.open(endpoint->protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(*endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &failure) {
        error = {TransportCode::Unreachable, "cannot listen on " + address + ": " + failure.what()};
        return false;
    }
    accept();
    return true;
}

void AsyncHttpServer::Implementation::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code code, Tcp::socket socket) {
        if (code == asio::error::operation_aborted || !self->m_acceptor.is_open()) {
            return;
        }
        if (code) {
            self->m_acceptRetryTimer.expires_after(AcceptRetryDelay);
            self->m_acceptRetryTimer.async_wait([self](boost::system::error_code waitCode) {
                if (!waitCode) {
                    self->accept();
                }
            });
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        const auto session = std::make_shared<Session>(self, std::move(socket));
        self->m_sessions.insert(session);
        session->waitForRequest();
        self->accept();
    });
}

void AsyncHttpServer::Implementation::close(bool onlyIdle)
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
    const std::set<std::shared_ptr<Session>> sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        if (!onlyIdle || session->isIdle()) {
            session->end();
        }
    }
}

AsyncHttpServer::AsyncHttpServer(asio::io_context &loop, AsyncHttpLimits limits, AsyncHttpHandler handler)
    : m_implementation(std::make_shared<Implementation>(loop, limits, std::move(handler)))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
    m_implementation->close(false);
}

bool AsyncHttpServer::listen(const std::string &address, TransportError &error)
{
    return m_implementation->listen(address, error);
}

unsigned short AsyncHttpServer::port() const
{
    return m_implementation->m_acceptor.local_endpoint().port();
}

void AsyncHttpServer::setLimits(AsyncHttpLimits limits)
{
    m_implementation->m_limits = limits;
}

void AsyncHttpServer::startDraining()
{
    m_implementation->m_draining = true;
}

void AsyncHttpServer::closeIdle()
{
    m_implementation->close(true);
}

std::size_t AsyncHttpServer::requestsInProgress() const
{
    return m_implementation->m_inProgress;
}

} // namespace coriander
