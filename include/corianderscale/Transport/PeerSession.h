#pragma once

#include "corianderscale/Transport/PeerHandshake.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/**
 * HTTP/2 state of one peer connection without its socket: received bytes go in, bytes to send come out.
 *
 * The client side starts with the handshake of PeerHandshake; request() is possible after it. The server side calls
 * the handler for each message of an authenticated client and answers anything else by ending the connection. Thread
 * safety: not thread safe; all calls come from the thread of the streams.
 */
class PeerSession
{
public:
    struct Settings {
        PeerSide side = PeerSide::Client;
        /** This end. */
        InstanceId instance;
        std::string key;
        std::size_t maximumMessageBytes = 0;
    };

    /** @p handler is called on the server side only. */
    PeerSession(Settings settings, PeerHandler handler);
    /** Fails all requests that have not been answered with Broken. */
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /** Takes received bytes. Returns false when the connection must end; output may still be there to send. */
    bool receive(std::string_view bytes);

    /** Appends bytes to send to @p out until it holds about @p enough. Returns false when the connection must end. */
    bool produce(std::string &out, std::size_t enough);

    /** Whether both ends have proved that they hold the key. */
    bool authenticated() const;

    /** Why the connection must end. */
    const TransportError &failure() const;

    /** Number of own requests, or of the peer's, that are not finished. */
    std::size_t openStreams() const;

    /** Sends a message and returns its stream, or -1 without a call of @p done. Precondition: authenticated client. */
    std::int32_t request(const std::string &message, std::string body, PeerReply done);

    /** Gives a request up; its completion is not called. */
    void cancel(std::int32_t stream);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander
