#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace coriander {

/** Returns @p size bytes as lower-case hexadecimal digits. Thread safety: pure function. */
std::string toHex(const unsigned char *bytes, std::size_t size);

/**
 * Returns the SHA-256 digest of @p text in lower-case hexadecimal digits; used for tokens and documents. Thread safety:
 * any thread.
 */
std::string sha256Hex(std::string_view text);

} // namespace coriander
