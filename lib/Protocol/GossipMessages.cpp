#include "corianderscale/Protocol/GossipMessages.h"

#include "corianderscale/Protocol/JsonReader.h"

namespace coriander {

namespace {

constexpr std::size_t MaximumIdBytes = 128;
constexpr std::size_t MaximumAddressBytes = 128;
constexpr std::int64_t MaximumKind = 3;

// The keys are short because every daemon sends a message each second and gossip traffic is limited.
Json entryToJson(const GossipEntry &entry)
{
    return Json{{"i", entry.instance.value()},
                {"r", entry.role},
                {"d", entry.dataCentre.value()},
                {"a", entry.address},
                {"p", entry.peerAddress},
                {"s", entry.state},
                {"n", entry.incarnation}};
}

GossipEntry readEntry(JsonReader &reader)
{
    GossipEntry entry;
    entry.instance = InstanceId(reader.requiredText("i", MaximumIdBytes));
    entry.role = static_cast<int>(reader.requiredInteger("r", 0, MaximumGossipRole));
    entry.dataCentre = DataCentreId(reader.requiredText("d", MaximumIdBytes));
    entry.address = reader.requiredText("a", MaximumAddressBytes);
    entry.peerAddress = reader.requiredText("p", MaximumAddressBytes);
    entry.state = static_cast<int>(reader.requiredInteger("s", 0, MaximumGossipState));
    entry.incarnation = reader.requiredInteger("n");
    if (entry.instance.empty()) {
        reader.fault("i", "expected an instance id");
    }
    return entry;
}

ProtocolError malformedError(const char *reason)
{
    return {ProtocolCode::Malformed, reason};
}

} // namespace

std::string encodeGossip(const GossipMessage &message)
{
    Json json{{"k", static_cast<int>(message.kind)}, {"v", message.document.count()}};
    if (!message.target.empty()) {
        json["t"] = message.target.value();
        json["ta"] = message.targetAddress;
    }
    Json entries = Json::array();
    for (const GossipEntry &entry : message.entries) {
        entries.push_back(entryToJson(entry));
    }
    json["e"] = std::move(entries);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<GossipMessage> decodeGossip(std::string_view bytes, ProtocolError &error)
{
    error = {};
    if (bytes.size() > MaximumGossipBytes) {
        error = malformedError("the gossip message is larger than the size limit");
        return std::nullopt;
    }
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded() || !json.is_object()) {
        error = malformedError("the gossip message is not a CBOR map");
        return std::nullopt;
    }
    JsonReader reader(json, {}, error);
    GossipMessage message;
    message.kind = static_cast<GossipKind>(reader.requiredInteger("k", 0, MaximumKind));
    message.document = DocumentVersion(reader.requiredInteger("v"));
    message.target = InstanceId(reader.text("t", {}, MaximumIdBytes));
    message.targetAddress = reader.text("ta", {}, MaximumAddressBytes);
    reader.forEachObject("e", [&](JsonReader &item) {
        if (message.entries.size() >= MaximumGossipEntries) {
            item.fault({}, "too many members in one message");
            return;
        }
        message.entries.push_back(readEntry(item));
    });
    if (reader.failed()) {
        return std::nullopt;
    }
    return message;
}

} // namespace coriander
