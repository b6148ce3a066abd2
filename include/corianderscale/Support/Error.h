#pragma once

#include <string>

namespace coriander {

/**
 * Why an operation failed: a code for programs and a reason for people that says what to do about it.
 *
 * Each layer has its own code type and turns the errors of the layer below into its own.
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
    /** The deadline passed; the peer may have acted. */
    Timeout,
    /** The connection broke after sending started; the peer may have acted. */
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
    /** The peer speaks a version this program does not know. */
    UnsupportedVersion,
};
using ProtocolError = Error<ProtocolCode>;

enum class CoordinationCode {
    None,
    /** A condition did not hold; nothing was written. */
    Conflict,
    /** The platform's store cannot be reached or refuses work; nothing was written. */
    StoreAway,
    /** Whether the write took effect is not known yet. */
    OutcomeUnknown,
    /** This instance does not own the data centre. */
    NotOwner,
    /** A local limit or budget is used up; nothing was sent. */
    OverBudget,
    /** A peer or worker could not be reached. */
    PeerAway,
};
using CoordinationError = Error<CoordinationCode>;

enum class StateCode {
    None,
    /** The record does not exist, or the asker may not see it. */
    NotFound,
    /** Another writer changed the record first. */
    Conflict,
    /** The record or document does not satisfy the rules for it. */
    Invalid,
    /** The state cannot be read or written now. */
    Unavailable,
    /** Whether the change took effect is not known yet. */
    OutcomeUnknown,
};
using StateError = Error<StateCode>;

} // namespace coriander
