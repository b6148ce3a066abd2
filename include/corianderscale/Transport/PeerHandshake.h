#pragma once

#include "corianderscale/Support/StrongId.h"

#include <string>

namespace coriander {

/** Which end of a connection: the one that opened it or the one that accepted it. */
enum class PeerSide {
    Client,
    Server,
};

/** What both ends have said in the hello; the proofs cover all of it. */
struct PeerChallenge {
    InstanceId client;
    InstanceId server;
    /** Random hexadecimal digits that each end chose for this connection. */
    std::string clientNonce;
    std::string serverNonce;
};

/** A nonce for one connection. Thread safety: any thread. */
std::string makePeerNonce();

/** Whether @p nonce has the form that makePeerNonce() gives. Thread safety: pure function. */
bool isPeerNonce(const std::string &nonce);

/**
 * HMAC-SHA-256 over the challenge and the prover's side, in hexadecimal digits. The side is part of it, so that a
 * proof cannot be sent back to its maker. Thread safety: pure function.
 */
std::string peerProof(const std::string &key, PeerSide prover, const PeerChallenge &challenge);

/** Compares in a time that does not depend on where the texts differ. Thread safety: pure function. */
bool proofsEqual(const std::string &left, const std::string &right);

} // namespace coriander
