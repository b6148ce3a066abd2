#include "corianderscale/Support/Digest.h"

#include <openssl/evp.h>

#include <array>

namespace coriander {

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += Digits[bytes[i] >> 4U];
        text += Digits[bytes[i] & 15U];
    }
    return text;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

} // namespace coriander
