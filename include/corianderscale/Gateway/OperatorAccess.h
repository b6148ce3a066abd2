#pragma once

#include "corianderscale/State/Document.h"
#include "corianderscale/Transport/Http.h"

#include <optional>
#include <string>

namespace coriander {

/** The name under which changes with the bootstrap token are recorded. */
inline constexpr char BootstrapOperator[] = "bootstrap";

/**
 * The operator of @p document whose token the request carries. All digests are compared, each in constant time. Thread
 * safety: pure function.
 */
std::optional<std::string> findOperator(const HttpRequest &request, const Document &document);

/** Whether the request carries the token with the given digest; never for an empty digest. Thread safety: as above. */
bool carriesToken(const HttpRequest &request, const std::string &digest);

} // namespace coriander
