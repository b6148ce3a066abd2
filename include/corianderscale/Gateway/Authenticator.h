#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/State/Document.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/**
 * Finds out who sent a request from its bearer token.
 *
 * The document holds only SHA-256 digests of tokens. Every digest is compared, each in constant time, so that the time
 * taken tells nothing about the tokens. Thread safety: const methods from any thread.
 */
class Authenticator
{
public:
    explicit Authenticator(const Document &document);

    /** The caller whose token stands in the value of an `Authorization` header. */
    std::optional<CallerKey> findCaller(const std::string &authorization) const;

private:
    struct Entry {
        std::string digest;
        CallerKey caller;
    };

    std::vector<Entry> m_callers;
};

} // namespace coriander
