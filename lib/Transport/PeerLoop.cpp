#include "corianderscale/Transport/PeerLoop.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace coriander {

namespace {

/** Limit on the time for connecting and the handshake together. */
constexpr Duration HandshakeTimeout = std::chrono::seconds(3);

/**
 * Connections without messages are closed after these times. The client side closes first, so that it never sends on a
 * connection that the server is closing.
 */
constexpr Duration ClientIdleTimeout = std::chrono::seconds(120);
constexpr Duration ServerIdleTimeout = std::chrono::seconds(300);

/** Delay before accepting again when the process has no file descriptors left. */
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);

/** Limit on the messages to one address that are queued or in flight. */
constexpr std::size_t MaximumRequestsPerPeer = 1024;

/** Approximate size of the chunks in which output is taken from a session, in bytes. */
constexpr std::size_t OutputChunkBytes = 128 * 1024;

/** Poll timeouts, which bound how late deadlines are noticed: with messages queued or in flight, and without. */
constexpr int BusyPollTimeoutMs = 50;
constexpr int IdlePollTimeoutMs = 500;

} // namespace

void PeerRequest::finish(std::optional<std::string> reply, const TransportError &error)
{
    if (done) {
        std::exchange(done, {})(std::move(reply), error);
    }
}

PeerLoop::PeerLoop(PeerStreams::Settings settings, Clock clock, PeerHandler handler)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_handler(std::move(handler))
    , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

PeerLoop::~PeerLoop()
{
    const TransportError stopped{TransportCode::Broken, "the peer streams were stopped"};
    startPushed();
    while (!m_outgoing.empty()) {
        close(m_outgoing.begin()->second, stopped);
    }
    while (!m_incoming.empty()) {
        close(m_incoming.back(), stopped);
    }
    // Completion callbacks of the closed connections may have pushed further messages.
    for (const auto &request : m_pushedRequests) {
        request->finish(std::nullopt, {TransportCode::Unreachable, stopped.reason});
    }
}

bool PeerLoop::listen(TransportError &error)
{
    m_listener = listenSocket(m_settings.listenAddress, error);
    return m_listener.valid();
}

void PeerLoop::push(std::shared_ptr<PeerRequest> request)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pushedRequests.push_back(std::move(request));
    }
    wake();
}

void PeerLoop::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(!write(m_wake.get(), &one, sizeof one));
}

PeerTraffic PeerLoop::traffic() const
{
    return {m_bytesSent.load(), m_bytesReceived.load()};
}

void PeerLoop::step()
{
    std::vector<Connection> connections = m_incoming;
    for (const auto &[address, connection] : m_outgoing) {
        connections.push_back(connection);
    }
    const bool accepting = m_listener.valid() && m_clock.now() >= m_acceptNotBefore;
    std::vector<pollfd> descriptors;
    descriptors.push_back({m_wake.get(), POLLIN, 0});
    descriptors.push_back({accepting ? m_listener.get() : -1, POLLIN, 0});
    for (const Connection &connection : connections) {
        const bool writing = connection->connecting || !connection->output.empty();
        descriptors.push_back({connection->socket.get(), static_cast<short>(writing ? POLLIN | POLLOUT : POLLIN), 0});
    }
    poll(descriptors.data(), descriptors.size(), pollTimeout());
    std::uint64_t count = 0;
    static_cast<void>(!read(m_wake.get(), &count, sizeof count));
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (descriptors[i + 2].revents != 0) {
            handle(connections[i], descriptors[i + 2].revents);
        }
    }
    if (descriptors[1].revents != 0) {
        acceptAll();
    }
    startPushed();
    closeExpired();
}

int PeerLoop::pollTimeout() const
{
    const bool busy = std::any_of(m_outgoing.begin(), m_outgoing.end(), [](const auto &entry) {
        return !entry.second->waiting.empty() || !entry.second->inFlight.empty();
    });
    return busy ? BusyPollTimeoutMs : IdlePollTimeoutMs;
}

void PeerLoop::startPushed()
{
    std::vector<std::shared_ptr<PeerRequest>> pushed;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        pushed.swap(m_pushedRequests);
    }
    for (const auto &request : pushed) {
        start(request);
    }
}

void PeerLoop::start(const std::shared_ptr<PeerRequest> &request)
{
    if (request->body.size() > m_settings.maximumMessageBytes) {
        request->finish(std::nullopt, {TransportCode::LimitExceeded, "the message exceeds maximumMessageBytes"});
        return;
    }
    TransportError error;
    const Connection connection = findOrOpenConnection(request->address, error);
    if (!connection) {
        request->finish(std::nullopt, error);
        return;
    }
    if (connection->waiting.size() + connection->inFlight.size() >= MaximumRequestsPerPeer) {
        request->finish(
            std::nullopt,
            {TransportCode::LimitExceeded, "too many messages to one peer are queued or in flight; retry later"});
        return;
    }
    connection->waiting.push_back(request);
    if (!connection->connecting) {
        submitWaiting(connection);
        if (!writeAll(connection)) {
            close(connection, connection->session->failure());
        }
    }
}

PeerLoop::Connection PeerLoop::findOrOpenConnection(const std::string &address, TransportError &error)
{
    const auto known = m_outgoing.find(address);
    if (known != m_outgoing.end()) {
        return known->second;
    }
    FileDescriptor socket = connectSocket(address, error);
    if (!socket.valid()) {
        return nullptr;
    }
    auto connection = std::make_shared<PeerConnection>();
    connection->socket = std::move(socket);
    connection->address = address;
    connection->session = makeSession(PeerSide::Client);
    connection->connecting = true;
    connection->openedAt = connection->lastReceivedAt = connection->lastUsedAt = m_clock.now();
    m_outgoing.emplace(address, connection);
    return connection;
}

std::unique_ptr<PeerSession> PeerLoop::makeSession(PeerSide side)
{
    return std::make_unique<PeerSession>(
        PeerSession::Settings{side, m_settings.instance, m_settings.key, m_settings.maximumMessageBytes}, m_handler);
}

void PeerLoop::acceptAll()
{
    for (;;) {
        FileDescriptor socket = acceptSocket(m_listener);
        if (!socket.valid()) {
            if (errno == EMFILE || errno == ENFILE) {
                m_acceptNotBefore = m_clock.now() + AcceptRetryDelay;
                logEvent(LogLevel::Warning, "peer-accept-failed", {{"reason", "no file descriptors left"}});
            }
            return;
        }
        if (m_incoming.size() >= m_settings.maximumConnections) {
            continue;
        }
        auto connection = std::make_shared<PeerConnection>();
        connection->socket = std::move(socket);
        connection->session = makeSession(PeerSide::Server);
        connection->openedAt = connection->lastReceivedAt = connection->lastUsedAt = m_clock.now();
        m_incoming.push_back(std::move(connection));
    }
}

void PeerLoop::handle(const Connection &connection, short events)
{
    if (connection->connecting) {
        const int result = connectError(connection->socket);
        if (result != 0) {
            close(connection, {TransportCode::Unreachable, connection->address + ": " + std::strerror(result)});
            return;
        }
        if ((events & POLLOUT) == 0) {
            return;
        }
        connection->connecting = false;
    }
    const bool open = readAll(connection);
    submitWaiting(connection);
    const bool writable = writeAll(connection);
    if (!open || !writable) {
        close(connection, connection->session->failure());
    }
}

bool PeerLoop::readAll(const Connection &connection)
{
    std::string bytes;
    SocketProgress progress = readSocket(connection->socket, bytes);
    while (progress == SocketProgress::Done) {
        m_bytesReceived += static_cast<std::int64_t>(bytes.size());
        connection->lastReceivedAt = connection->lastUsedAt = m_clock.now();
        if (!connection->session->receive(bytes)) {
            return false;
        }
        progress = readSocket(connection->socket, bytes);
    }
    return progress == SocketProgress::WouldBlock;
}

bool PeerLoop::writeAll(const Connection &connection)
{
    for (;;) {
        const bool alive = connection->session->produceOutput(connection->output, OutputChunkBytes);
        if (connection->output.empty()) {
            return alive;
        }
        const std::size_t before = connection->output.size();
        const SocketProgress progress = writeSocket(connection->socket, connection->output);
        m_bytesSent += static_cast<std::int64_t>(before - connection->output.size());
        if (progress == SocketProgress::Closed || !alive) {
            return false;
        }
        if (progress == SocketProgress::WouldBlock) {
            return true;
        }
    }
}

void PeerLoop::submitWaiting(const Connection &connection)
{
    if (connection->address.empty() || !connection->session->authenticated()) {
        return;
    }
    while (!connection->waiting.empty()) {
        const std::shared_ptr<PeerRequest> request = connection->waiting.front();
        connection->waiting.pop_front();
        request->sentAt = connection->lastUsedAt = m_clock.now();
        const std::weak_ptr<PeerConnection> weak = connection;
        request->stream = connection->session->request(
            request->message,
            std::move(request->body),
            [request, weak](std::optional<std::string> reply, const TransportError &error) {
                if (const auto open = weak.lock()) {
                    open->inFlight.remove(request);
                }
                request->finish(std::move(reply), error);
            });
        if (request->stream < 0) {
            request->finish(std::nullopt, {TransportCode::Unreachable, "the connection has no streams left"});
        } else {
            connection->inFlight.push_back(request);
        }
    }
}

void PeerLoop::closeExpired()
{
    const MonotonicTime now = m_clock.now();
    std::vector<Connection> connections = m_incoming;
    for (const auto &[address, connection] : m_outgoing) {
        connections.push_back(connection);
    }
    for (const Connection &connection : connections) {
        if (expireRequests(connection, now)) {
            close(connection, {TransportCode::Broken, "the peer stopped responding"});
        } else if (hasConnectionExpired(connection, now)) {
            close(connection,
                  {TransportCode::Unreachable, "the connection timed out before it was established, or was idle"});
        }
    }
}

/** Fails messages whose deadline has passed. Returns whether nothing was received since one of them was sent. */
bool PeerLoop::expireRequests(const Connection &connection, MonotonicTime now)
{
    std::vector<std::shared_ptr<PeerRequest>> expired;
    for (auto *list : {&connection->waiting, &connection->inFlight}) {
        for (auto request = list->begin(); request != list->end();) {
            if ((*request)->deadline <= now) {
                expired.push_back(*request);
                request = list->erase(request);
            } else {
                ++request;
            }
        }
    }
    bool unresponsive = false;
    for (const auto &request : expired) {
        if (request->stream < 0) {
            request->finish(std::nullopt,
                            {TransportCode::Unreachable, "no connection to the peer before the deadline"});
            continue;
        }
        unresponsive = unresponsive || connection->lastReceivedAt <= request->sentAt;
        connection->session->cancel(request->stream);
        request->finish(std::nullopt, {TransportCode::Timeout, "no reply before the deadline"});
    }
    if (!expired.empty() && !connection->connecting && !writeAll(connection)) {
        return true;
    }
    return unresponsive;
}

bool PeerLoop::hasConnectionExpired(const Connection &connection, MonotonicTime now) const
{
    if (connection->connecting || !connection->session->authenticated()) {
        return now - connection->openedAt > HandshakeTimeout;
    }
    const bool idle = connection->waiting.empty() && connection->inFlight.empty();
    const Duration idleTimeout = connection->address.empty() ? ServerIdleTimeout : ClientIdleTimeout;
    return idle && now - connection->lastUsedAt > idleTimeout;
}

void PeerLoop::close(Connection connection, const TransportError &error)
{
    if (connection->address.empty()) {
        m_incoming.erase(std::remove(m_incoming.begin(), m_incoming.end(), connection), m_incoming.end());
        if (error.code == TransportCode::Unauthenticated) {
            logEvent(LogLevel::Warning, "peer-rejected", {{"reason", error.reason}});
        }
        return;
    }
    const auto known = m_outgoing.find(connection->address);
    if (known != m_outgoing.end() && known->second == connection) {
        m_outgoing.erase(known);
    }
    const bool rejected = error.code == TransportCode::Unauthenticated;
    const std::string reason = error.reason.empty() ? "the peer closed the connection" : error.reason;
    // Messages that were not submitted to the session have provably not been sent.
    auto waiting = std::exchange(connection->waiting, {});
    for (const auto &request : waiting) {
        request->finish(std::nullopt, {rejected ? error.code : TransportCode::Unreachable, reason});
    }
    auto inFlight = std::exchange(connection->inFlight, {});
    for (const auto &request : inFlight) {
        request->finish(std::nullopt, {TransportCode::Broken, reason});
    }
}

} // namespace coriander
