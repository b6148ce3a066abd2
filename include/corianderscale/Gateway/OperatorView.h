#pragma once

#include "corianderscale/Daemon/CommonSettings.h"
#include "corianderscale/Gateway/OperatorRoutes.h"

#include <map>
#include <mutex>

namespace coriander {

/**
 * What the gateway's thread knows and the operators' threads show.
 *
 * Thread safety: all methods from any thread.
 */
class OperatorView
{
public:
    /** @p store must outlive the view. */
    OperatorView(CommonSettings common, std::string bootstrapDigest, Store &store, Clock clock);

    /** Takes the document that is in force from now on. */
    void setDocument(const DocumentHead &head, std::shared_ptr<const Document> document);
    /** Takes the other live members of this environment. */
    void setMembers(std::vector<Member> members);

    /** Takes the document version that a peer says is in force there. */
    void setPeerVersion(const std::string &peerAddress, DocumentVersion version);

    /** The version in force here; 0 before one is known. */
    DocumentVersion documentVersion() const;
    /** The other live members of this environment. */
    std::vector<Member> otherMembers() const;

    /** Hooks for registerOperatorRoutes(); the view must outlive the server. */
    OperatorHooks hooks();

private:
    std::vector<InstanceView> instances();

    CommonSettings m_common;
    std::string m_bootstrapDigest;
    Store &m_store;
    Clock m_clock;
    mutable std::mutex m_mutex;
    std::optional<DocumentInForce> m_document;
    std::vector<Member> m_members;
    /** Versions by address of the peer streams. */
    std::map<std::string, DocumentVersion> m_peerVersions;
    /** Since when the store has been seen away; 0 when it is not. */
    std::int64_t m_awaySinceUnixMs = 0;
};

/** Reads `bootstrap_operator_digest`: the SHA-256 digest of the token for the first document; may be missing. */
std::string readBootstrapDigest(YamlMap &settings);

} // namespace coriander
