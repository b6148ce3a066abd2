#pragma once

#include "corianderscale/Transport/PeerHandshake.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/**
 * HTTP/2 state of one peer connection without its socket: receive() takes input, produceOutput() returns output.
 *
 * The client side starts the handshake of PeerHandshake and may call request() after it. The server side calls the
 * handler for each message of an authenticated client and ends the connection on anything else. Thread safety: not
 * thread safe; all calls must come from the thread of the streams.
 */
class PeerSession
{
public:
    struct Settings {
        PeerSide side = PeerSide::Client;
        /** Instance id of this process. */
        InstanceId instance;
        std::string key;
        std::size_t maximumMessageBytes = 0;
    };

    /** @p handler is called on the server side only. */
    PeerSession(Settings settings, PeerHandler handler);
    /** Fails all open requests with TransportCode::Broken. */
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /** Processes received bytes. Returns false when the connection must end; produceOutput() may still have output. */
    bool receive(std::string_view bytes);

    /** Appends output to @p out until it has about @p targetBytes bytes. Returns false when the connection must end. */
    bool produceOutput(std::string &out, std::size_t targetBytes);

    /** Whether both sides have proved that they hold the key. */
    bool authenticated() const;

    /** Why the connection must end. */
    const TransportError &failure() const;

    /** Number of unfinished requests: own ones on the client side, the peer's on the server side. */
    std::size_t openStreams() const;

    /** Sends a message and returns its stream, or -1 without calling @p done. Precondition: authenticated client. */
    std::int32_t request(const std::string &message, std::string body, PeerReply done);

    /** Cancels a request; its completion is not called. */
    void cancel(std::int32_t stream);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander
