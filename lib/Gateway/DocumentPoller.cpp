#include "corianderscale/Gateway/DocumentPoller.h"

#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

constexpr Duration PollInterval = std::chrono::seconds(2);
constexpr Duration ReadTimeout = std::chrono::seconds(1);

} // namespace

DocumentPoller::DocumentPoller(GatewayHooks &hooks, Store &store, std::string environment, DocumentHook documentHook)
    : m_hooks(hooks)
    , m_store(store)
    , m_environment(std::move(environment))
    , m_documentHook(std::move(documentHook))
{
}

void DocumentPoller::poll()
{
    readHead();
    m_hooks.at(m_hooks.clock.now() + PollInterval, [this] { poll(); });
}

void DocumentPoller::readHead()
{
    m_store.read({documentHeadKey(m_environment)},
                 m_hooks.clock.now() + ReadTimeout,
                 [this](std::optional<TableRows> rows, const CoordinationError &) {
                     m_hooks.post([this, rows = std::move(rows)] {
                         ProtocolError error;
                         if (!rows || rows->rows.empty() || rows->rows.front().version == RowVersion(0)) {
                             return;
                         }
                         const auto head = decodeMessage<DocumentHead>(rows->rows.front().value, error);
                         if (head && head->version > m_version) {
                             readVersion(*head);
                         }
                     });
                 });
}

void DocumentPoller::readVersion(const DocumentHead &head)
{
    m_store.read({documentVersionKey(m_environment, head.version)},
                 m_hooks.clock.now() + ReadTimeout,
                 [this, head](std::optional<TableRows> rows, const CoordinationError &) {
                     m_hooks.post([this, head, rows = std::move(rows)] { onDocumentRead(head, rows); });
                 });
}

void DocumentPoller::onDocumentRead(const DocumentHead &head, const std::optional<TableRows> &rows)
{
    if (!rows || rows->rows.empty() || head.version <= m_version) {
        return;
    }
    const std::string &text = rows->rows.front().value;
    std::vector<YamlFault> faults;
    auto document = sha256Hex(text) == head.digest ? parseDocument(text, "document", faults) : std::nullopt;
    if (!document) {
        logEvent(LogLevel::Error, "document-unusable", {{"version", head.version}});
        return;
    }
    m_version = head.version;
    logEvent(LogLevel::Info, "document-in-force", {{"version", head.version}, {"digest", head.digest}});
    m_documentHook(head, std::make_shared<const Document>(std::move(*document)));
}

} // namespace coriander
