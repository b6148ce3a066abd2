#pragma once

#include "corianderscale/Transport/Http.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace coriander {

/** Parses `IPv4:port`; returns no value for any other form. */
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

/** Replaces each `%XX` with its byte; a percent sign without two hexadecimal digits is kept. */
std::string percentDecode(const std::string &text);

/** Sets the path and query of @p request from the target of an HTTP request line. */
void parseTarget(const std::string &target, HttpRequest &request);

/** Returns the target of an HTTP request line for the path and query of @p request. */
std::string formatTarget(const HttpRequest &request);

} // namespace coriander
