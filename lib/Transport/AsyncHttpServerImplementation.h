#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "ConnectionTable.h"

namespace coriander {

/** Capacity of a connection's read buffer, in bytes. */
inline constexpr std::size_t ReadBufferBytes = 16 * 1024;

class AsyncHttpServer::Implementation : public std::enable_shared_from_this<AsyncHttpServer::Implementation>
{
public:
    class Session;

    Implementation(boost::asio::io_context &loop, AsyncHttpLimits limits, AsyncHttpHandler handler)
        : m_loop(loop)
        , m_acceptor(loop)
        , m_acceptRetryTimer(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
    {
    }

    bool listen(const std::string &address, TransportError &error);
    void accept();
    void acceptNow();
    void pauseAccept();
    /** Resumes accepting when a connection may give way because of its age. Precondition: accepting is paused. */
    void waitUntilOneMayGiveWay();
    void start(boost::asio::ip::tcp::socket socket);
    /** Closes connections until there is room for one more; returns false if all are in use. */
    bool makeRoomForConnection();
    /** Closes the connection, or keeps it a last time because a request has arrived on it. */
    void giveWay(ConnectionEntry &entry);
    /** Accepts again if accepting is paused. To be called when a connection has ended or may give way. */
    void resumeAccept();
    void close(bool onlyIdle);

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    AsyncHttpLimits m_limits;
    AsyncHttpHandler m_handler;
    ConnectionTable m_connections;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::atomic<std::size_t> m_inProgress = 0;
    bool m_draining = false;
    bool m_acceptPaused = false;
};

/** One connection: repeatedly reads a request, calls the handler and writes the response. */
class AsyncHttpServer::Implementation::Session : public std::enable_shared_from_this<Session>, public ConnectionEntry
{
public:
    Session(std::shared_ptr<Implementation> server,
            boost::asio::ip::tcp::socket socket,
            const boost::asio::ip::address &client);
    void waitForRequest();
    /** Closes the connection. May be called again. */
    void end();
    /** Gives up the request that is being received. Precondition: it is listed as incomplete. */
    void giveWay();
    bool isIdle() const;
    /** Whether bytes have arrived of a request that is not being received yet. */
    bool hasUnreadRequest() const;

private:
    /** Interrupts the operation in flight after @p limit. */
    void startTimer(Duration limit);
    void stopTimer();
    /** Ends the operation in flight with an error. */
    void interrupt();
    void readRequest();
    void readSome();
    void onSomeRead(boost::system::error_code code);
    /** Size of the request as far as it is known. Precondition: the header is received. */
    const decision::RequestSize &measure();
    /** Counts @p bytes for the request in place of what was counted. If there is no room, refuses the request and
     * returns false. */
    bool reserve(std::size_t bytes);
    void refuse(HttpRefusal reason);
    /** Sends a response to a request that the handler does not see, and closes the connection. */
    void closeWith(HttpResponse response);
    void onRequestRead(boost::system::error_code code);
    void handle();
    void respond(HttpResponse response);
    void onResponseWritten(boost::system::error_code code);

    std::shared_ptr<Implementation> m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer{ReadBufferBytes};
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    decision::RequestSize m_size;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    bool m_timedOut = false;
    bool m_inRequest = false;
    bool m_writing = false;
    bool m_closeAfterResponse = false;
    bool m_countedInProgress = false;
    bool m_gaveWay = false;
    bool m_ended = false;
};

} // namespace coriander
