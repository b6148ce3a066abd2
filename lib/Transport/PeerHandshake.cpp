#include "corianderscale/Transport/PeerHandshake.h"

#include "corianderscale/Support/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace coriander {

namespace {

constexpr std::size_t NonceBytes = 32;

/** Appends a field with its length in front, so that different challenges never produce the same HMAC input. */
void appendField(std::string &text, const std::string &field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string makePeerNonce()
{
    return randomHex(NonceBytes);
}

bool isValidPeerNonce(const std::string &nonce)
{
    return nonce.size() == 2 * NonceBytes && std::all_of(nonce.begin(), nonce.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::string computePeerProof(const std::string &key, PeerSide prover, const PeerChallenge &challenge)
{
    std::string text;
    appendField(text, prover == PeerSide::Client ? "coriander-client" : "coriander-server");
    appendField(text, challenge.client.value());
    appendField(text, challenge.server.value());
    appendField(text, challenge.clientNonce);
    appendField(text, challenge.serverNonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (HMAC(EVP_sha256(),
             key.data(),
             static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char *>(text.data()),
             text.size(),
             digest.data(),
             &length)
        == nullptr) {
        throw std::runtime_error("OpenSSL failed to compute an HMAC");
    }
    return toHex(digest.data(), length);
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace coriander
