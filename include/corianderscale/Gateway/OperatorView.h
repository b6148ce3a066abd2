#pragma once

#include "corianderscale/Daemon/CommonSettings.h"
#include "corianderscale/Gateway/OperatorRoutes.h"

#include <map>
#include <mutex>

namespace coriander {

/**
 * State that the gateway's thread publishes for the operators' threads.
 *
 * Thread safety: all methods from any thread.
 */
class OperatorView
{
public:
    /** @p store must outlive the view. */
    OperatorView(CommonSettings common, std::string bootstrapDigest, Store &store, Clock clock);

    /** Sets the document that is in force from now on. */
    void setDocument(const DocumentHead &head, std::shared_ptr<const Document> document);
    /** Sets the other live members of this environment. */
    void setMembers(std::vector<Member> members);

    /** Sets the document version that a peer reports as in force there. */
    void setPeerVersion(const std::string &peerAddress, DocumentVersion version);

    /** The document version in force at this gateway; 0 before one is known. */
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
    /** Document versions reported by peers, by peer address. */
    std::map<std::string, DocumentVersion> m_peerVersions;
    /** When the store was first seen unavailable, in ms since the Unix epoch; 0 while it is available. */
    std::int64_t m_unavailableSinceUnixMs = 0;
};

/** Reads the optional setting `bootstrap_operator_digest`, the SHA-256 digest of the token for the first document. */
std::string readBootstrapDigest(YamlMap &settings);

} // namespace coriander
