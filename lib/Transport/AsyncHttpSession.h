#pragma once

// Definitions of AsyncHttpServer::Implementation::Session. AsyncHttpServer.cpp is built by itself into stand-ins of the
// platform, so all that it needs is in headers.

#include <utility>

#include "AsyncHttpServerImplementation.h"
#include "UriText.h"

namespace coriander {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/** A larger read buffer is freed between two requests; requests without a body fit into a smaller one. */
inline constexpr std::size_t KeptBufferBytes = 4 * 1024;
/** A response that the peer has not read after this time is abandoned and the connection closed. */
inline constexpr auto WriteTimeout = std::chrono::seconds(5);
/** Time after which a client that was refused for lack of room may find some. */
inline constexpr const char *RetryAfterSeconds = "1";

inline AsyncHttpServer::Implementation::Session::Session(std::shared_ptr<Implementation> server,
                                                         Tcp::socket socket,
                                                         const asio::ip::address &client)
    : ConnectionEntry(client)
    , m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_timer(m_server->m_loop)
{
}

inline void AsyncHttpServer::Implementation::Session::waitForRequest()
{
    m_inRequest = false;
    m_parser.reset();
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    if (m_buffer.capacity() > KeptBufferBytes) {
        m_buffer.shrink_to_fit();
    }
    m_server->m_connections.setIdle(*this);
    m_server->resumeAccept();
    startTimer(m_server->m_limits.idleTime);
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code code) {
        if (code || self->m_timedOut || self->m_ended) {
            self->end();
            return;
        }
        self->readRequest();
    });
}

inline void AsyncHttpServer::Implementation::Session::end()
{
    m_server->m_connections.remove(*this);
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_server->m_sessions.erase(shared_from_this());
    m_server->resumeAccept();
}

inline void AsyncHttpServer::Implementation::Session::giveWay()
{
    m_gaveWay = true;
    m_server->m_connections.setBytes(*this, 0);
    m_server->m_connections.setComplete(*this);
    interrupt();
}

inline bool AsyncHttpServer::Implementation::Session::isIdle() const
{
    return !m_inRequest;
}

inline void AsyncHttpServer::Implementation::Session::startTimer(Duration limit)
{
    m_timedOut = false;
    m_timer.expires_after(limit);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code code) {
        const std::shared_ptr<Session> self = weak.lock();
        // A wait that had ended before it could be cancelled is recognised by the later expiry.
        if (code || !self || self->m_ended || self->m_timer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->m_timedOut = true;
        self->interrupt();
    });
}

inline void AsyncHttpServer::Implementation::Session::stopTimer()
{
    m_timer.expires_at(std::chrono::steady_clock::time_point::max());
}

inline void AsyncHttpServer::Implementation::Session::interrupt()
{
    // cancel() would have no effect between two parts of a read or write; the next part fails after these calls.
    boost::system::error_code ignored;
    if (m_writing) {
        m_socket.close(ignored);
        return;
    }
    m_socket.shutdown(Tcp::socket::shutdown_receive, ignored);
    m_socket.cancel(ignored);
}

inline bool AsyncHttpServer::Implementation::Session::hasUnreadRequest() const
{
    boost::system::error_code ignored;
    return !m_inRequest && m_socket.available(ignored) > 0;
}

inline void AsyncHttpServer::Implementation::Session::readRequest()
{
    m_inRequest = true;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_limits.headerBytes));
    m_parser->body_limit(m_server->m_limits.bodyBytes);
    // A request that arrives at once is parsed by one call, as without the limits.
    m_parser->eager(true);
    m_size = {};
    m_server->m_connections.setIncomplete(*this);
    if (!reserve(m_server->m_limits.headerBytes)) {
        return;
    }
    startTimer(m_server->m_limits.receiveTime);
    readSome();
}

inline void AsyncHttpServer::Implementation::Session::readSome()
{
    http::async_read_some(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
            self->onSomeRead(code);
        });
}

inline void AsyncHttpServer::Implementation::Session::onSomeRead(boost::system::error_code code)
{
    if (m_ended) {
        return;
    }
    if (m_gaveWay) {
        refuse(HttpRefusal::IncompleteGaveWay);
        return;
    }
    if (code || m_parser->is_done()) {
        onRequestRead(code);
        return;
    }
    if (m_timedOut) {
        onRequestRead(asio::error::operation_aborted);
        return;
    }
    if (m_parser->is_header_done() && !reserve(decision::incompleteRequestBytes(measure()))) {
        return;
    }
    readSome();
}

inline const decision::RequestSize &AsyncHttpServer::Implementation::Session::measure()
{
    if (m_size.headerBytes == 0) {
        m_size.headerBytes = m_parser->get().target().size();
        for (const auto &field : m_parser->get()) {
            m_size.headerBytes += field.name_string().size() + field.value().size();
            ++m_size.headerFields;
        }
    }
    const auto length = m_parser->content_length();
    m_size.hasLength = length.has_value();
    m_size.bodyBytes = length ? static_cast<std::size_t>(*length) : m_parser->get().body().size();
    return m_size;
}

inline bool AsyncHttpServer::Implementation::Session::reserve(std::size_t bytes)
{
    ConnectionTable &connections = m_server->m_connections;
    while (true) {
        switch (connections.decide(*this, bytes)) {
        case decision::RequestVerdict::Admit:
            connections.setBytes(*this, bytes);
            return true;
        case decision::RequestVerdict::DropOldestIncomplete: {
            auto &oldest = static_cast<Session &>(connections.oldestIncomplete());
            if (&oldest == this) {
                refuse(HttpRefusal::IncompleteGaveWay);
                return false;
            }
            oldest.giveWay();
            break;
        }
        case decision::RequestVerdict::Refuse:
            refuse(HttpRefusal::Bytes);
            return false;
        }
    }
}

inline void AsyncHttpServer::Implementation::Session::refuse(HttpRefusal reason)
{
    m_server->m_connections.countRefusal(reason);
    HttpResponse response = errorResponse(503, "overloaded", "the requests in progress use all memory for requests");
    response.headers["Retry-After"] = RetryAfterSeconds;
    closeWith(std::move(response));
}

inline void AsyncHttpServer::Implementation::Session::closeWith(HttpResponse response)
{
    m_server->m_connections.setComplete(*this);
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_closeAfterResponse = true;
    respond(std::move(response));
}

inline void AsyncHttpServer::Implementation::Session::onRequestRead(boost::system::error_code code)
{
    stopTimer();
    if (!code) {
        handle();
        return;
    }
    if (m_timedOut) {
        m_server->m_connections.countRefusal(HttpRefusal::NotReceivedInTime);
        closeWith(errorResponse(408, "invalid", "the request did not arrive in time"));
    } else if (code == http::error::body_limit) {
        m_server->m_connections.countRefusal(HttpRefusal::BodyTooLarge);
        closeWith(errorResponse(413, "invalid", "the body is too large"));
    } else if (code == http::error::header_limit) {
        m_server->m_connections.countRefusal(HttpRefusal::HeaderTooLarge);
        closeWith(errorResponse(431, "invalid", "the header is too large"));
    } else if (code.category() == http::make_error_code(http::error::bad_method).category()
               && code != http::error::end_of_stream && code != http::error::partial_message) {
        m_server->m_connections.countRefusal(HttpRefusal::Malformed);
        closeWith(errorResponse(400, "invalid", "malformed HTTP request"));
    } else {
        end();
    }
}

inline void AsyncHttpServer::Implementation::Session::handle()
{
    m_server->m_connections.setComplete(*this);
    if (!reserve(decision::completeRequestBytes(measure()))) {
        return;
    }
    m_server->m_connections.setServed(*this);
    m_server->resumeAccept();
    const auto &message = m_parser->get();
    m_closeAfterResponse = !message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    parseTarget(std::string(message.target()), request);
    for (const auto &field : message) {
        request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(m_parser->get().body());
    m_parser.reset();
    ++m_server->m_inProgress;
    m_countedInProgress = true;
    m_server->m_handler(std::move(request),
                        [self = shared_from_this()](HttpResponse response) { self->respond(std::move(response)); });
}

inline void AsyncHttpServer::Implementation::Session::respond(HttpResponse response)
{
    m_response = http::response<http::string_body>(static_cast<http::status>(response.status), 11);
    for (const auto &[name, value] : response.headers) {
        m_response.set(name, value);
    }
    m_response.body() = std::move(response.body);
    m_closeAfterResponse = m_closeAfterResponse || m_server->m_draining;
    m_response.keep_alive(!m_closeAfterResponse);
    m_response.prepare_payload();
    m_server->m_connections.setBytes(*this, m_response.body().size());
    m_server->m_connections.setUnread(*this);
    m_server->resumeAccept();
    m_writing = true;
    startTimer(WriteTimeout);
    http::async_write(m_socket, m_response, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
        self->onResponseWritten(code);
    });
}

inline void AsyncHttpServer::Implementation::Session::onResponseWritten(boost::system::error_code code)
{
    stopTimer();
    m_writing = false;
    if (m_countedInProgress) {
        m_countedInProgress = false;
        --m_server->m_inProgress;
    }
    // The connection may have given way after the response was written and before this call.
    if (code || m_closeAfterResponse || m_ended) {
        end();
        return;
    }
    m_server->m_connections.setBytes(*this, 0);
    m_response = {};
    waitForRequest();
}

} // namespace coriander
