#include "corianderscale/Transport/AsyncHttpServer.h"

#include <optional>
#include <utility>

#include "AsyncHttpSession.h"
#include "UriText.h"

namespace coriander {

namespace {

/** Delay before accepting again after a failure, for example when no file descriptor is free. */
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

const char *httpRefusalName(HttpRefusal reason)
{
    switch (reason) {
    case HttpRefusal::Bytes:
        return "bytes";
    case HttpRefusal::IncompleteGaveWay:
        return "incomplete-gave-way";
    case HttpRefusal::ConnectionGaveWay:
        return "connection-gave-way";
    case HttpRefusal::AddressConnections:
        return "address-connections";
    case HttpRefusal::AcceptPaused:
        return "accept-paused";
    case HttpRefusal::BodyTooLarge:
        return "body-too-large";
    case HttpRefusal::HeaderTooLarge:
        return "header-too-large";
    case HttpRefusal::NotReceivedInTime:
        return "not-received-in-time";
    case HttpRefusal::Malformed:
        return "malformed";
    }
    return "unknown";
}

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
    switch (m_connections.decideConnection()) {
    case decision::ConnectionVerdict::Admit:
        acceptNow();
        return;
    case decision::ConnectionVerdict::DropOldestNew:
    case decision::ConnectionVerdict::DropOldestIdle:
    case decision::ConnectionVerdict::DropOldestUnread:
        // A connection gives way only when another one has arrived.
        m_acceptor.async_wait(Tcp::acceptor::wait_read, [self = shared_from_this()](boost::system::error_code code) {
            if (code || !self->m_acceptor.is_open()) {
                return;
            }
            self->makeRoomForConnection() ? self->acceptNow() : self->pauseAccept();
        });
        return;
    case decision::ConnectionVerdict::Refuse:
    case decision::ConnectionVerdict::Wait:
        pauseAccept();
        return;
    }
}

void AsyncHttpServer::Implementation::pauseAccept()
{
    m_acceptPaused = true;
    m_connections.countRefusal(HttpRefusal::AcceptPaused);
    waitUntilOneMayGiveWay();
}

void AsyncHttpServer::Implementation::waitUntilOneMayGiveWay()
{
    const std::optional<std::chrono::steady_clock::time_point> next = m_connections.nextToGiveWayAt();
    if (!next || m_acceptRetryTimer.expiry() == *next) {
        return;
    }
    m_acceptRetryTimer.expires_at(*next);
    m_acceptRetryTimer.async_wait([self = shared_from_this()](boost::system::error_code code) {
        if (!code) {
            self->resumeAccept();
        }
    });
}

void AsyncHttpServer::Implementation::acceptNow()
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
        self->start(std::move(socket));
        self->accept();
    });
}

void AsyncHttpServer::Implementation::start(Tcp::socket socket)
{
    boost::system::error_code ignored;
    const asio::ip::address client = socket.remote_endpoint(ignored).address();
    if (decision::decideAddress(m_connections.limits(), m_connections.loadOf(client))
        == decision::ConnectionVerdict::Refuse) {
        m_connections.countRefusal(HttpRefusal::AddressConnections);
        return;
    }
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), client);
    m_sessions.insert(session);
    m_connections.add(*session);
    session->waitForRequest();
}

bool AsyncHttpServer::Implementation::makeRoomForConnection()
{
    while (true) {
        switch (m_connections.decideConnection()) {
        case decision::ConnectionVerdict::Admit:
            return true;
        case decision::ConnectionVerdict::DropOldestNew:
            giveWay(m_connections.oldestNew());
            break;
        case decision::ConnectionVerdict::DropOldestIdle:
            giveWay(m_connections.oldestIdle());
            break;
        case decision::ConnectionVerdict::DropOldestUnread:
            giveWay(m_connections.oldestUnread());
            break;
        case decision::ConnectionVerdict::Refuse:
        case decision::ConnectionVerdict::Wait:
            return false;
        }
    }
}

void AsyncHttpServer::Implementation::giveWay(ConnectionEntry &entry)
{
    auto &session = static_cast<Session &>(entry);
    // After a burst on a slow VM, requests that have arrived may wait to be read.
    if (session.hasUnreadRequest() && m_connections.renew(entry)) {
        return;
    }
    m_connections.countRefusal(HttpRefusal::ConnectionGaveWay);
    session.end();
}

void AsyncHttpServer::Implementation::resumeAccept()
{
    if (!m_acceptPaused || !m_acceptor.is_open()) {
        return;
    }
    if (m_connections.decideConnection() == decision::ConnectionVerdict::Wait) {
        waitUntilOneMayGiveWay();
        return;
    }
    m_acceptPaused = false;
    accept();
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

void AsyncHttpServer::setConnectionLimits(const decision::ConnectionLimits &limits, HttpRefusalHook onRefusal)
{
    m_implementation->m_connections.setLimits(limits, std::move(onRefusal));
}

const HttpRefusals &AsyncHttpServer::refusals() const
{
    return m_implementation->m_connections.refusals();
}

decision::ConnectionLoad AsyncHttpServer::load() const
{
    return m_implementation->m_connections.load();
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
