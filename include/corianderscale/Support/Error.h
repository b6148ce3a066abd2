#pragma once

#include <string>

namespace coriander {

/**
 * Why an operation failed: a code for programs, and a reason for people that also says how to fix the problem.
 *
 * Each layer has its own code type and converts the errors of the layer below.
 */
template<typename Code>
struct Error {
    Code code{};
    std::string reason;
};

enum class TransportCode {
    None,
    /** No connection could be made; nothing was sent. */
    Unreachable,
    /** The deadline passed; the peer may have processed the request. */
    Timeout,
    /** The connection broke after sending started; the peer may have processed the request. */
    Broken,
    /** A limit on size or count was exceeded. */
    LimitExceeded,
    /** The peer did not prove that it holds the shared key. */
    Unauthenticated,
};
using TransportError = Error<TransportCode>;

enum class ProtocolCode {
    None,
    /** The text is not valid JSON or CBOR. */
    Malformed,
    /** A field is missing, unknown, of the wrong type or out of its range. */
    InvalidField,
    /** The peer uses a protocol version that this program does not support. */
    UnsupportedVersion,
};
using ProtocolError = Error<ProtocolCode>;

enum class CoordinationCode {
    None,
    /** A condition did not hold; nothing was written. */
    Conflict,
    /** The platform's store is unreachable or rejects requests; nothing was written. */
    StoreUnavailable,
    /** It is not known yet whether the write took effect. */
    OutcomeUnknown,
    /** This instance does not own the data centre. */
    NotOwner,
    /** A local limit or rate budget is exhausted; nothing was sent. */
    OverBudget,
    /** A peer or worker could not be reached. */
    PeerUnreachable,
};
using CoordinationError = Error<CoordinationCode>;

enum class StateCode {
    None,
    /** The record does not exist, or the requester may not see it. */
    NotFound,
    /** Another writer changed the record first. */
    Conflict,
    /** The record or document failed validation. */
    Invalid,
    /** The state cannot be read or written at present. */
    Unavailable,
    /** It is not known yet whether the change took effect. */
    OutcomeUnknown,
};
using StateError = Error<StateCode>;

} // namespace coriander
