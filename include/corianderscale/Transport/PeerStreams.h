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

/** Bytes sent and received on peer streams since the start, with the framing of HTTP/2. */
struct PeerTraffic {
    std::int64_t bytesSent = 0;
    std::int64_t bytesReceived = 0;
};

/**
 * Authenticated HTTP/2 streams (nghttp2) between our own processes: `POST /peer/<message>` with a CBOR body.
 *
 * One thread serves all connections. Each connection first proves in both directions that the other side holds the
 * shared key: a challenge is answered with an HMAC-SHA-256 over it; a peer that fails is disconnected before any
 * handler runs. Thread safety: send() and traffic() from any thread.
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
        /** Larger messages are refused. */
        std::size_t maximumMessageBytes = 4 * 1024 * 1024;
        /** Connections from others that are served at once. */
        std::size_t maximumConnections = 512;
    };

    /** @p handler runs on the thread of the streams. */
    PeerStreams(Settings settings, Clock clock, PeerHandler handler);
    /** Closes all connections. Open messages fail on the calling thread. */
    ~PeerStreams();
    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;

    /** Opens the port. Returns false with the reason when it cannot be opened. */
    bool start(TransportError &error);

    /**
     * Sends a message to `address:port`, reusing an open connection. @p done is called exactly once, on the thread of
     * the streams, also when the deadline passes first.
     */
    void send(const std::string &address,
              const std::string &message,
              std::string body,
              MonotonicTime deadline,
              PeerReply done);

    /** Bytes since the start. */
    PeerTraffic traffic() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander
