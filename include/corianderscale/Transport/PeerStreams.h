#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander {

/** Handles one message of an authenticated peer and returns the reply's body. Must not block. */
using PeerHandler
    = std::function<std::string(const std::string &message, const InstanceId &from, const std::string &body)>;

/** Receives the reply's body, or no value and the error. */
using PeerReply = std::function<void(std::optional<std::string>, const TransportError &)>;

/** Bytes sent and received on peer streams since the process started, including HTTP/2 framing. */
struct PeerTraffic {
    std::int64_t bytesSent = 0;
    std::int64_t bytesReceived = 0;
};

/**
 * Authenticated HTTP/2 streams (nghttp2) between the processes of corianderscale: `POST /peer/<message>` with a CBOR
 * body.
 *
 * One thread serves all connections. On each connection, both sides first prove that they hold the shared key by
 * answering a challenge with an HMAC-SHA-256 over it. A peer that fails is disconnected before any handler runs. Thread
 * safety: send() and traffic() from any thread.
 */
class PeerStreams
{
public:
    struct Settings {
        InstanceId instance;
        /** `address:port` to listen on. */
        std::string listenAddress;
        /** Shared key; at least 16 bytes. */
        std::string key;
        /** Limit on the body of a message or reply. */
        std::size_t maximumMessageBytes = 4 * 1024 * 1024;
        /** Limit on the accepted connections that are open at once. */
        std::size_t maximumConnections = 512;
    };

    /** @p handler runs on the thread of the streams. */
    PeerStreams(Settings settings, Clock clock, PeerHandler handler);
    /** Closes all connections. Messages without a reply fail on the calling thread. */
    ~PeerStreams();
    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;

    /** Opens the port. Returns false with the reason when it cannot be opened. */
    bool start(TransportError &error);

    /**
     * Sends a message to `address:port`, reusing an open connection. @p done is called exactly once, on the thread of
     * the streams, also when the deadline passes without a reply.
     */
    void send(const std::string &address,
              const std::string &message,
              std::string body,
              MonotonicTime deadline,
              PeerReply done);

    /** Returns the bytes sent and received since the start. */
    PeerTraffic traffic() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander
