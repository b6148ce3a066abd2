#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/State/Document.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/**
 * Identifies the caller of a request by its bearer token.
 *
 * The document contains only SHA-256 digests of tokens. The token is compared with every digest, each in constant time,
 * so that the response time reveals nothing about the tokens. Thread safety: const methods from any thread.
 */
class Authenticator
{
public:
    explicit Authenticator(const Document &document);

    /** The caller whose token is in the value of an `Authorization` header, or no value. */
    std::optional<CallerKey> findCaller(const std::string &authorization) const;

private:
    struct Entry {
        std::string digest;
        CallerKey caller;
    };

    std::vector<Entry> m_callers;
};

} // namespace coriander
