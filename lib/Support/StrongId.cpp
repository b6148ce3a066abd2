#include "corianderscale/Support/StrongId.h"

#include "corianderscale/Support/Digest.h"

#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace coriander {

namespace {

constexpr std::size_t MaximumNameLength = 63;

bool isLowerCaseOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

} // namespace

bool isValidName(std::string_view text)
{
    if (text.empty() || text.size() > MaximumNameLength) {
        return false;
    }
    if (!isLowerCaseOrDigit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) { return isLowerCaseOrDigit(c) || c == '-'; });
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("OpenSSL could not provide random bytes");
    }
    return toHex(buffer.data(), buffer.size());
}

} // namespace coriander
