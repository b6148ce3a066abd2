#include "corianderscale/Gateway/OperatorAccess.h"

#include "corianderscale/Support/Digest.h"

#include <openssl/crypto.h>

namespace coriander {

namespace {

constexpr std::string_view Scheme = "Bearer ";
/** Longer tokens are refused without hashing them. */
constexpr std::size_t MaximumTokenBytes = 512;

/** The digest of the request's bearer token; empty when there is no valid one. */
std::string tokenDigestOf(const HttpRequest &request)
{
    const std::string value = request.header("Authorization");
    if (value.compare(0, Scheme.size(), Scheme) != 0 || value.size() == Scheme.size()
        || value.size() > Scheme.size() + MaximumTokenBytes) {
        return {};
    }
    return sha256Hex(std::string_view(value).substr(Scheme.size()));
}

bool equalDigests(const std::string &left, const std::string &right)
{
    return !left.empty() && left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::optional<std::string> findOperator(const HttpRequest &request, const Document &document)
{
    const std::string digest = tokenDigestOf(request);
    const OperatorSpec *found = nullptr;
    for (const OperatorSpec &candidate : document.operators) {
        if (equalDigests(candidate.tokenDigest, digest)) {
            found = &candidate;
        }
    }
    return found == nullptr ? std::nullopt : std::optional<std::string>(found->name);
}

bool carriesToken(const HttpRequest &request, const std::string &digest)
{
    return equalDigests(digest, tokenDigestOf(request));
}

} // namespace coriander
