#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"
#include "corianderscale/State/Document.h"

#include <functional>
#include <memory>
#include <string>

namespace coriander {

/**
 * Reads the document head of an environment every 2 s and passes each newer document to a hook.
 *
 * Thread safety: the gateway's thread.
 */
class DocumentPoller
{
public:
    using DocumentHook = std::function<void(const DocumentHead &, std::shared_ptr<const Document>)>;

    DocumentPoller(GatewayHooks &hooks, Store &store, std::string environment, DocumentHook documentHook);

    /** Reads the head now, and from then on every 2 s. */
    void poll();
    /** Reads the head once, now. */
    void readHead();

private:
    void readVersion(const DocumentHead &head);
    void onDocumentRead(const DocumentHead &head, const std::optional<TableRows> &rows);

    GatewayHooks &m_hooks;
    Store &m_store;
    std::string m_environment;
    DocumentHook m_documentHook;
    DocumentVersion m_version;
};

} // namespace coriander
