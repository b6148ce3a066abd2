#pragma once

#include <cstddef>

namespace coriander::decision {

/** Bounds of one listener; 0 stands for no bound. */
struct ConnectionLimits {
    /** Bytes of all requests that are not answered and of all responses that are not read. */
    std::size_t bytes = 0;
    std::size_t connections = 0;
    /** Connections on which no complete request was received yet. */
    std::size_t newConnections = 0;
    /** Requests of which a part is missing. */
    std::size_t incompleteRequests = 0;
    std::size_t connectionsPerAddress = 0;
};

/** What one listener holds; the request or connection that is decided on is not part of it. */
struct ConnectionLoad {
    /** Bytes counted for all requests and responses. */
    std::size_t bytes = 0;
    /** Part of `bytes` that is counted for incomplete requests. */
    std::size_t incompleteBytes = 0;
    std::size_t incompleteRequests = 0;
    std::size_t connections = 0;
    std::size_t newConnections = 0;
    /** Connections that have served a request and wait for the next one. */
    std::size_t idleConnections = 0;
    /** Connections whose client has not taken the whole response. */
    std::size_t unreadResponses = 0;
    /** Whether the oldest new connection has not had the time to send a request. */
    bool isOldestNewRecent = false;
    /** Whether the oldest unread response has just been written, so that its client may still take it. */
    bool isOldestUnreadRecent = false;
    /** Connections from the client's address. */
    std::size_t connectionsOfAddress = 0;
};

/** What a request's memory depends on. */
struct RequestSize {
    std::size_t headerBytes = 0;
    std::size_t headerFields = 0;
    /** Declared length of the body; for a body without one, the bytes received so far. */
    std::size_t bodyBytes = 0;
    bool hasLength = true;
};

enum class ConnectionVerdict {
    Admit,
    /** The oldest connection without a complete request gives way; then the decision is made again. */
    DropOldestNew,
    /** The connection that has waited longest for its next request gives way; then the decision is made again. */
    DropOldestIdle,
    /** The connection whose client has been given its response first gives way; then the decision is made again. */
    DropOldestUnread,
    /** The new connection is closed. */
    Refuse,
    /** The connection stays in the kernel's queue until another one ends. */
    Wait,
};

enum class RequestVerdict {
    Admit,
    /** The oldest incomplete request gives way; then the decision is made again. */
    DropOldestIncomplete,
    Refuse,
};

/**
 * Whether the listener accepts another connection.
 *
 * Load pattern: clients open more connections than the process has descriptors and send nothing or only parts of
 * requests, or send requests and read no responses. Connections that have never sent a complete request give way to new
 * ones, so that an ordinary client is served while such clients keep coming. They are kept until they have had the time
 * to send a request; otherwise clients that connect again at once push out ordinary ones. Connections that have sent
 * one are closed only when all connections are in use and they are idle, which HTTP permits at any time, or else if
 * their client does not read. Connections whose request is being handled are never closed.
 *
 * Thread safety: pure.
 */
ConnectionVerdict decideConnection(const ConnectionLimits &limits, const ConnectionLoad &load);

/** Whether a connection from an address with `connectionsOfAddress` others is served. Thread safety: pure. */
ConnectionVerdict decideAddress(const ConnectionLimits &limits, const ConnectionLoad &load);

/**
 * Whether a request may go on that needs @p neededBytes more or that is one more incomplete request.
 *
 * Load pattern: hundreds of clients send bodies of legal size and stop before the end. The oldest of them give way to
 * newer requests, because a request within the limits is complete soon. Requests that are complete are never given up;
 * if they hold too much, the new one is refused.
 *
 * Thread safety: pure.
 */
RequestVerdict decideRequest(const ConnectionLimits &limits, const ConnectionLoad &load, std::size_t neededBytes);

/** Bytes to count for a request of which a part is missing. Thread safety: pure. */
std::size_t incompleteRequestBytes(const RequestSize &size);

/** Bytes to count for a complete request until its response. Thread safety: pure. */
std::size_t completeRequestBytes(const RequestSize &size);

// Defined here, because AsyncHttpServer.cpp is also built without the library of the decisions.

namespace detail {

/** A header field is kept as a node of a list and of a map with two strings: about 250 bytes besides its text. */
inline constexpr std::size_t FieldBytes = 256;
/** The text of a header is held by the parser and by the request. */
inline constexpr std::size_t HeaderCopies = 2;
/** A string that grows without a known length has a capacity of up to twice its size. */
inline constexpr std::size_t GrowthFactor = 2;
/** The next part of a body without a length. */
inline constexpr std::size_t NextPartBytes = 16 * 1024;
/** Until its response, a body is held by the request, the call, the job and the row that is written. */
inline constexpr std::size_t BodyCopies = 4;

inline bool isReached(std::size_t limit, std::size_t count)
{
    return limit != 0 && count >= limit;
}

inline std::size_t headerCost(const RequestSize &size)
{
    return HeaderCopies * size.headerBytes + FieldBytes * size.headerFields;
}

} // namespace detail

inline ConnectionVerdict decideConnection(const ConnectionLimits &limits, const ConnectionLoad &load)
{
    const bool full = detail::isReached(limits.connections, load.connections);
    if (!full && !detail::isReached(limits.newConnections, load.newConnections)) {
        return ConnectionVerdict::Admit;
    }
    if (load.newConnections > 0 && !load.isOldestNewRecent) {
        return ConnectionVerdict::DropOldestNew;
    }
    if (!full) {
        return ConnectionVerdict::Wait;
    }
    if (load.idleConnections > 0) {
        return ConnectionVerdict::DropOldestIdle;
    }
    const bool unread = load.unreadResponses > 0 && !load.isOldestUnreadRecent;
    return unread ? ConnectionVerdict::DropOldestUnread : ConnectionVerdict::Wait;
}

inline ConnectionVerdict decideAddress(const ConnectionLimits &limits, const ConnectionLoad &load)
{
    return detail::isReached(limits.connectionsPerAddress, load.connectionsOfAddress) ? ConnectionVerdict::Refuse
                                                                                      : ConnectionVerdict::Admit;
}

inline RequestVerdict decideRequest(const ConnectionLimits &limits, const ConnectionLoad &load, std::size_t neededBytes)
{
    const bool tooMany = detail::isReached(limits.incompleteRequests, load.incompleteRequests);
    const bool fits = limits.bytes == 0 || load.bytes + neededBytes <= limits.bytes;
    if (fits && !tooMany) {
        return RequestVerdict::Admit;
    }
    // Giving up incomplete requests must make enough room; otherwise they would be lost for nothing.
    const std::size_t kept = load.bytes - load.incompleteBytes;
    const bool canFit = limits.bytes == 0 || kept + neededBytes <= limits.bytes;
    return canFit && load.incompleteRequests > 0 ? RequestVerdict::DropOldestIncomplete : RequestVerdict::Refuse;
}

inline std::size_t incompleteRequestBytes(const RequestSize &size)
{
    const std::size_t body
        = size.hasLength ? size.bodyBytes : detail::GrowthFactor * size.bodyBytes + detail::NextPartBytes;
    return detail::headerCost(size) + body;
}

inline std::size_t completeRequestBytes(const RequestSize &size)
{
    return detail::headerCost(size) + detail::BodyCopies * size.bodyBytes;
}

} // namespace coriander::decision
