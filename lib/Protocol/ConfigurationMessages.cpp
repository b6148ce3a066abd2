#include "corianderscale/Protocol/ConfigurationMessages.h"

#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Support/Digest.h"

namespace coriander {

namespace {

/** Limit on a configuration message: a document text, which is one table row, plus 4 KiB for all other fields. */
constexpr std::size_t MaximumOfferBytes = MaximumRowValueBytes + 4096;

std::string toCbor(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<Json> parseCbor(std::string_view bytes, ProtocolError &error)
{
    error = {};
    if (bytes.size() > MaximumOfferBytes) {
        error = {ProtocolCode::Malformed, "the configuration message exceeds the size limit of an offer"};
        return std::nullopt;
    }
    Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded() || !json.is_object()) {
        error = {ProtocolCode::Malformed, "the configuration message is not a CBOR map"};
        return std::nullopt;
    }
    return json;
}

} // namespace

std::string encodeConfigurationOffer(const ConfigurationOffer &offer)
{
    return toCbor({{"environment", offer.environment}, {"head", offer.head.toJson()}, {"text", offer.text}});
}

std::optional<ConfigurationOffer> decodeConfigurationOffer(std::string_view bytes, ProtocolError &error)
{
    const std::optional<Json> json = parseCbor(bytes, error);
    if (!json) {
        return std::nullopt;
    }
    JsonReader reader(*json, {}, error);
    ConfigurationOffer offer;
    offer.environment = reader.requiredText("environment");
    reader.requiredObject("head", [&](JsonReader &head) { offer.head = DocumentHead::fromJson(head); });
    offer.text = reader.requiredText("text", MaximumRowValueBytes);
    if (!reader.failed() && sha256Hex(offer.text) != offer.head.digest) {
        reader.fault("text", "the text does not match the digest of the head");
    }
    return reader.failed() ? std::nullopt : std::optional(offer);
}

std::string encodeConfigurationRequest(const ConfigurationRequest &request)
{
    return toCbor({{"environment", request.environment}});
}

std::optional<ConfigurationRequest> decodeConfigurationRequest(std::string_view bytes, ProtocolError &error)
{
    const std::optional<Json> json = parseCbor(bytes, error);
    if (!json) {
        return std::nullopt;
    }
    JsonReader reader(*json, {}, error);
    ConfigurationRequest request;
    request.environment = reader.requiredText("environment");
    return reader.failed() ? std::nullopt : std::optional(request);
}

} // namespace coriander
