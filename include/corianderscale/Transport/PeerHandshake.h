#pragma once

#include "corianderscale/Support/StrongId.h"

#include <string>

namespace coriander {

/** Side of a connection: the client opened it, the server accepted it. */
enum class PeerSide {
    Client,
    Server,
};

/** What both sides sent in the hello messages; the proofs authenticate all of it. */
struct PeerChallenge {
    InstanceId client;
    InstanceId server;
    /** Random hexadecimal digits that each side chose for this connection. */
    std::string clientNonce;
    std::string serverNonce;
};

/** Returns a random nonce for one connection. Thread safety: any thread. */
std::string makePeerNonce();

/** Whether @p nonce has the format of makePeerNonce(). Thread safety: pure function. */
bool isValidPeerNonce(const std::string &nonce);

/**
 * Returns the HMAC-SHA-256 over the challenge and the prover's side, in hexadecimal digits. The side is included to
 * prevent reflection: a proof cannot be sent back to the side that made it. Thread safety: pure function.
 */
std::string computePeerProof(const std::string &key, PeerSide prover, const PeerChallenge &challenge);

/** Compares two strings of equal length in constant time. Thread safety: pure function. */
bool equalInConstantTime(const std::string &left, const std::string &right);

} // namespace coriander
