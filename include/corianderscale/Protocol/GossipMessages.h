#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/** The most members that one gossip message names. */
inline constexpr std::size_t MaximumGossipEntries = 12;

/** The most bytes of one gossip message; a larger one is malformed. */
inline constexpr std::size_t MaximumGossipBytes = 8 * 1024;

/** What a sender believes about one member. The numbers of role and state are those of the wire. */
struct GossipEntry {
    InstanceId instance;
    int role = 0;
    DataCentreId dataCentre;
    std::string address;
    std::string peerAddress;
    int state = 0;
    std::int64_t incarnation = 0;
};

/** Largest numbers of role and state. */
inline constexpr int MaximumGossipRole = 1;
inline constexpr int MaximumGossipState = 3;

enum class GossipKind {
    /** Asks for a sign of life. */
    Ping,
    /** Asks the receiver to ping the target and to report a sign of life by Confirm. */
    PingRequest,
    /** Reports that the target is alive to the member that had asked. */
    Confirm,
    /** Reply to any of the others. */
    Ack,
};

/** Peer message `gossip`, and its reply. */
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    /** The member that PingRequest and Confirm speak of. */
    InstanceId target;
    std::string targetAddress;
    /** Newest document version that the sender has; 0 means none. */
    DocumentVersion document;
    std::vector<GossipEntry> entries;
};

/** Codec in CBOR. decodeGossip() refuses what exceeds the bounds. Thread safety: pure functions. */
///@{
std::string encodeGossip(const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(std::string_view bytes, ProtocolError &error);
///@}

} // namespace coriander
