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

} // namespace coriander::decision
