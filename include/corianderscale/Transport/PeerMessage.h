#pragma once

#include "corianderscale/Transport/PeerStreams.h"

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/** Header names and values in the order in which they are sent. */
using PeerHeaders = std::vector<std::pair<std::string, std::string>>;

/** One message and its reply on a stream of a PeerSession. */
struct PeerMessage {
    std::map<std::string, std::string> headers;
    std::size_t headerBytes = 0;
    std::string received;
    std::string toSend;
    /** Bytes of @c toSend that were passed to nghttp2. */
    std::size_t sentBytes = 0;
    /** Whether the peer has ended the stream. */
    bool complete = false;
    bool isTooLarge = false;
    PeerReply done;

    /** Returns the value of a header field, or an empty string. */
    std::string header(const std::string &name) const;
    /** Returns the bytes of the received and outgoing bodies in memory. */
    std::size_t bufferedBytes() const;
    /** Calls the completion unless it was called before. */
    void finish(std::optional<std::string> reply, const TransportError &error);
    /** Copies the next part of @c toSend and returns its length; sets @p last when nothing is left. */
    std::size_t copyBody(std::uint8_t *buffer, std::size_t length, bool &last);
};

/** Converts header fields to nghttp2 form. The result points into @p headers. */
std::vector<nghttp2_nv> headerFields(const PeerHeaders &headers);

} // namespace coriander
