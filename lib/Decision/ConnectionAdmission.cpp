#include "corianderscale/Decision/ConnectionAdmission.h"

namespace coriander::decision {

namespace {

/** A header field is kept as a node of a list and of a map with two strings: about 250 bytes besides its text. */
constexpr std::size_t FieldBytes = 256;
/** The text of a header is held by the parser and by the request. */
constexpr std::size_t HeaderCopies = 2;
/** A string that grows without a known length has a capacity of up to twice its size. */
constexpr std::size_t GrowthFactor = 2;
/** The next part of a body without a length. */
constexpr std::size_t NextPartBytes = 16 * 1024;
/** Until its response, a body is held by the request, the call, the job and the row that is written. */
constexpr std::size_t BodyCopies = 4;

bool isReached(std::size_t limit, std::size_t count)
{
    return limit != 0 && count >= limit;
}

std::size_t headerCost(const RequestSize &size)
{
    return HeaderCopies * size.headerBytes + FieldBytes * size.headerFields;
}

} // namespace

ConnectionVerdict decideConnection(const ConnectionLimits &limits, const ConnectionLoad &load)
{
    const bool full = isReached(limits.connections, load.connections);
    if (!full && !isReached(limits.newConnections, load.newConnections)) {
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

ConnectionVerdict decideAddress(const ConnectionLimits &limits, const ConnectionLoad &load)
{
    return isReached(limits.connectionsPerAddress, load.connectionsOfAddress) ? ConnectionVerdict::Refuse
                                                                              : ConnectionVerdict::Admit;
}

RequestVerdict decideRequest(const ConnectionLimits &limits, const ConnectionLoad &load, std::size_t neededBytes)
{
    const bool tooMany = isReached(limits.incompleteRequests, load.incompleteRequests);
    const bool fits = limits.bytes == 0 || load.bytes + neededBytes <= limits.bytes;
    if (fits && !tooMany) {
        return RequestVerdict::Admit;
    }
    // Giving up incomplete requests must make enough room; otherwise they would be lost for nothing.
    const std::size_t kept = load.bytes - load.incompleteBytes;
    const bool canFit = limits.bytes == 0 || kept + neededBytes <= limits.bytes;
    return canFit && load.incompleteRequests > 0 ? RequestVerdict::DropOldestIncomplete : RequestVerdict::Refuse;
}

std::size_t incompleteRequestBytes(const RequestSize &size)
{
    const std::size_t body = size.hasLength ? size.bodyBytes : GrowthFactor * size.bodyBytes + NextPartBytes;
    return headerCost(size) + body;
}

std::size_t completeRequestBytes(const RequestSize &size)
{
    return headerCost(size) + BodyCopies * size.bodyBytes;
}

} // namespace coriander::decision
