#pragma once

#include "corianderscale/Protocol/Records.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/** Peer message `configuration`: an accepted version and its text; sent as an offer or as the reply to a request. */
struct ConfigurationOffer {
    std::string environment;
    DocumentHead head;
    std::string text;
};

/** Peer message `configuration-request`: asks for the newest document version; the reply is an offer or empty. */
struct ConfigurationRequest {
    std::string environment;
};

/** CBOR codecs. Thread safety: pure functions. */
///@{
std::string encodeConfigurationOffer(const ConfigurationOffer &offer);
std::optional<ConfigurationOffer> decodeConfigurationOffer(std::string_view bytes, ProtocolError &error);
std::string encodeConfigurationRequest(const ConfigurationRequest &request);
std::optional<ConfigurationRequest> decodeConfigurationRequest(std::string_view bytes, ProtocolError &error);
///@}

} // namespace coriander
