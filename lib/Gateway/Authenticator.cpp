#include "corianderscale/Gateway/Authenticator.h"

#include "corianderscale/Support/Digest.h"

#include <openssl/crypto.h>

namespace coriander {

namespace {

constexpr std::string_view Scheme = "Bearer ";
/** Longer tokens are refused without hashing them. */
constexpr std::size_t MaximumTokenBytes = 512;

bool equalDigests(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

Authenticator::Authenticator(const Document &document)
{
    for (const OrganisationSpec &organisation : document.organisations) {
        for (const CallerSpec &caller : organisation.callers) {
            m_callers.push_back({caller.tokenDigest, {organisation.id, caller.id}});
        }
    }
}

std::optional<CallerKey> Authenticator::findCaller(const std::string &authorization) const
{
    if (authorization.compare(0, Scheme.size(), Scheme) != 0 || authorization.size() > Scheme.size() + MaximumTokenBytes
        || authorization.size() == Scheme.size()) {
        return std::nullopt;
    }
    const std::string digest = sha256Hex(std::string_view(authorization).substr(Scheme.size()));
    const Entry *found = nullptr;
    for (const Entry &entry : m_callers) {
        if (equalDigests(entry.digest, digest)) {
            found = &entry;
        }
    }
    return found == nullptr ? std::nullopt : std::optional<CallerKey>(found->caller);
}

} // namespace coriander
