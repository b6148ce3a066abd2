#pragma once

#include "corianderscale/Transport/PeerSession.h"
#include "corianderscale/Transport/PeerSocket.h"

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace coriander {

/** A message to a peer that waits to be sent or for its reply. */
struct PeerRequest {
    std::string address;
    std::string message;
    std::string body;
    MonotonicTime deadline;
    PeerReply done;

    /** HTTP/2 stream of the message; -1 until it is submitted to a session, when nothing has been sent. */
    std::int32_t stream = -1;
    MonotonicTime sentAt;

    /** Calls the completion unless it was called before. */
    void finish(std::optional<std::string> reply, const TransportError &error);
};

/** One socket with its session. */
struct PeerConnection {
    FileDescriptor socket;
    /** The peer's address for outgoing connections; empty for accepted ones. */
    std::string address;
    std::unique_ptr<PeerSession> session;
    std::string output;
    bool connecting = false;
    MonotonicTime openedAt;
    MonotonicTime lastReceivedAt;
    MonotonicTime lastUsedAt;
    /** Messages that wait for the handshake, and messages that wait for a reply. */
    std::list<std::shared_ptr<PeerRequest>> waiting;
    std::list<std::shared_ptr<PeerRequest>> inFlight;
};

/**
 * Event loop of PeerStreams: owns its connections and polls them. Thread safety: push(), wake() and traffic() from any
 * thread, the rest from the thread of the streams.
 */
class PeerLoop
{
public:
    PeerLoop(PeerStreams::Settings settings, Clock clock, PeerHandler handler);
    /** Closes all connections and fails all messages. */
    ~PeerLoop();
    PeerLoop(const PeerLoop &) = delete;
    PeerLoop &operator=(const PeerLoop &) = delete;

    /** Opens the port. */
    bool listen(TransportError &error);

    /** Queues a message and wakes the loop. */
    void push(std::shared_ptr<PeerRequest> request);

    /** Makes a step() that waits return early. */
    void wake();

    /** Polls the sockets for a bounded time, handles what is ready, and fails messages past their deadline. */
    void step();

    PeerTraffic traffic() const;

private:
    using Connection = std::shared_ptr<PeerConnection>;

    void startPushed();
    void start(const std::shared_ptr<PeerRequest> &request);
    Connection findOrOpenConnection(const std::string &address, TransportError &error);
    std::unique_ptr<PeerSession> makeSession(PeerSide side);
    int pollTimeout() const;
    void acceptAll();
    void handle(const Connection &connection, short events);
    bool readAll(const Connection &connection);
    bool writeAll(const Connection &connection);
    void submitWaiting(const Connection &connection);
    void closeExpired();
    bool expireRequests(const Connection &connection, MonotonicTime now);
    bool hasConnectionExpired(const Connection &connection, MonotonicTime now) const;
    /** Takes @p connection by value, because it removes the connection from the lists that hold it. */
    void close(Connection connection, const TransportError &error);

    PeerStreams::Settings m_settings;
    Clock m_clock;
    PeerHandler m_handler;
    FileDescriptor m_listener;
    FileDescriptor m_wake;
    MonotonicTime m_acceptNotBefore;
    std::vector<Connection> m_incoming;
    std::map<std::string, Connection> m_outgoing;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<PeerRequest>> m_pushedRequests;
    std::atomic<std::int64_t> m_bytesSent = 0;
    std::atomic<std::int64_t> m_bytesReceived = 0;
};

} // namespace coriander
