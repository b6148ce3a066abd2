#pragma once

#include "corianderscale/Transport/PeerStreams.h"

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/** Names and values in the order in which they are sent. */
using PeerHeaders = std::vector<std::pair<std::string, std::string>>;

/** One message and its reply on a stream of a PeerSession. */
struct PeerMessage {
    std::map<std::string, std::string> headers;
    std::size_t headerBytes = 0;
    std::string received;
    std::string toSend;
    /** Bytes of @c toSend that the library has taken. */
    std::size_t sent = 0;
    /** Whether the other end has sent everything. */
    bool complete = false;
    bool tooLarge = false;
    PeerReply done;

    /** The value of a header field, or empty text. */
    std::string header(const std::string &name) const;
    /** Bytes of bodies that are held. */
    std::size_t bufferedBytes() const;
    /** Calls the completion unless it has been called. */
    void finish(std::optional<std::string> reply, const TransportError &error);
    /** Copies the next part of the body to send and returns its length; @p last tells whether it is the last. */
    std::size_t takeBody(std::uint8_t *buffer, std::size_t length, bool &last);
};

/** The fields in the form of the library; valid as long as @p headers. */
std::vector<nghttp2_nv> headerFields(const PeerHeaders &headers);

} // namespace coriander
