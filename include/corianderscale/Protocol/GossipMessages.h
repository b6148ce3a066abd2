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

/** Limit on the members that one gossip message lists. */
inline constexpr std::size_t MaximumGossipEntries = 12;

/** Limit on the size of a gossip message in bytes; a larger one is malformed. */
inline constexpr std::size_t MaximumGossipBytes = 8 * 1024;

/** The sender's view of one member. Role and state are the numbers used on the wire. */
struct GossipEntry {
    InstanceId instance;
    int role = 0;
    DataCentreId dataCentre;
    std::string address;
    std::string peerAddress;
    int state = 0;
    std::int64_t incarnation = 0;
};

/** Largest valid numbers of role and state. */
inline constexpr int MaximumGossipRole = 1;
inline constexpr int MaximumGossipState = 3;

enum class GossipKind {
    /** Asks the receiver for an Ack. */
    Ping,
    /** Asks the receiver to ping the target, and to send a Confirm if the target answers. */
    PingRequest,
    /** Reports to the sender of a PingRequest that the target is alive. */
    Confirm,
    /** Reply to all other kinds. */
    Ack,
};

/** Peer message `gossip`, and its reply. */
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    /** The member that a PingRequest or Confirm refers to. */
    InstanceId target;
    std::string targetAddress;
    /** Newest document version that the sender has; 0 for none. */
    DocumentVersion document;
    std::vector<GossipEntry> entries;
};

/** CBOR codec. decodeGossip() rejects messages that exceed the limits above. Thread safety: pure functions. */
///@{
std::string encodeGossip(const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(std::string_view bytes, ProtocolError &error);
///@}

} // namespace coriander
