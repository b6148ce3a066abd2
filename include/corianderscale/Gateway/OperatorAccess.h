#pragma once

#include "corianderscale/State/Document.h"
#include "corianderscale/Transport/Http.h"

#include <optional>
#include <string>

namespace coriander {

/** The operator name recorded for changes made with the bootstrap token. */
inline constexpr char BootstrapOperator[] = "bootstrap";

/**
 * The operator of @p document whose token the request carries, or no value. The token is compared with all digests,
 * each in constant time. Thread safety: pure function.
 */
std::optional<std::string> findOperator(const HttpRequest &request, const Document &document);

/**
 * Whether the request carries the token with the given digest; false for an empty digest. Thread safety: pure function.
 */
bool carriesToken(const HttpRequest &request, const std::string &digest);

} // namespace coriander
