#pragma once

#include "corianderscale/Transport/Http.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace coriander {

/** Parses `IPv4:port`; no value for other texts. */
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

/** Replaces each `%XX` by its byte; other texts after a percent sign stay as they are. */
std::string percentDecode(const std::string &text);

/** Sets path and query of @p request from the target of a request line. */
void splitTarget(const std::string &target, HttpRequest &request);

/** The target of a request line for the path and query of @p request. */
std::string joinTarget(const HttpRequest &request);

} // namespace coriander
