#pragma once

#include <string>
#include <vector>

#include "UntrustedCallers/Crowd.h"

namespace coriander::soak {

/** @name Crowds of clients outside our control, as docs/design/untrusted-callers.md lists them
 * Each function returns the scripts of one crowd that sends its requests to @p path. Thread safety: pure functions. */
///@{
/** Bodies of the largest legal size without their last byte, with a length, sent in one piece. */
std::vector<ClientScript> bodiesInOnePiece(const std::string &path);
/** The same in small pieces. */
std::vector<ClientScript> bodiesInSmallPieces(const std::string &path);
/** Chunked bodies of the largest legal size without their last chunk. */
std::vector<ClientScript> chunkedBodies(const std::string &path);
/** Bodies far over the limit, with and without a length. */
std::vector<ClientScript> oversizedBodies(const std::string &path);
/** Complete submissions of legal size made of very many short JSON fields, or nested very deeply. */
std::vector<ClientScript> manyJsonValues(const std::string &path);
/** Headers of legal size made of very many short fields, with a body that stays incomplete. */
std::vector<ClientScript> manyHeaderFields(const std::string &path);
/** Many requests on each connection, without reading the responses. */
std::vector<ClientScript> pipelinedRequests(const std::string &path);
/** More connections than the process has descriptors: slow senders, slow readers, half-closed and silent ones. */
std::vector<ClientScript> slowClients(const std::string &path);
///@}

} // namespace coriander::soak
