#include "corianderscale/Coordination/ConfigExchange.h"

#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t OperationRandomBytes = 16;

/**
 * Inbox size at which offers and versions from peers are dropped. Gossip repeats the versions, so a missed document is
 * requested later. Completions and requests to accept a version are always added.
 */
constexpr std::size_t MaximumInboxItems = 1024;

const TableRow *findRow(const TableRows &rows, const std::string &key)
{
    for (const TableRow &row : rows.rows) {
        if (row.key == key && row.version != RowVersion(0)) {
            return &row;
        }
    }
    return nullptr;
}

/** Decodes the head in a row. Returns version 0 when the row is absent, no value when it is malformed. */
std::optional<DocumentHead> headOf(const TableRow *row)
{
    if (row == nullptr) {
        return DocumentHead();
    }
    ProtocolError fault;
    std::optional<DocumentHead> head = decodeMessage<DocumentHead>(row->value, fault);
    if (!head) {
        logEvent(LogLevel::Error, "document-head-malformed", {{"key", row->key}, {"reason", fault.reason}});
    }
    return head;
}

AcceptOutcome conflictWith(const DocumentHead &head)
{
    return {{CoordinationCode::Conflict,
             fmt::format("version {} with digest {} by {} was accepted first; compare with it and apply again",
                         head.version.count(),
                         head.digest,
                         head.operatorName)},
            head};
}

} // namespace

ConfigExchange::ConfigExchange(Settings settings, Hooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void ConfigExchange::step(MonotonicTime now)
{
    // If the store completes a call before the hook returns, the completion is added to the inbox during a pass and
    // processed in the next pass.
    constexpr int Passes = 4;
    for (int pass = 0; pass < Passes; ++pass) {
        std::vector<InboxItem> items;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            items.swap(m_inbox);
        }
        for (const InboxItem &item : items) {
            item(now);
        }
        if (!m_reading && now >= m_nextRead) {
            startHeadRead(now);
        }
    }
}

void ConfigExchange::post(InboxItem item) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_inbox.push_back(std::move(item));
}

std::string ConfigExchange::headKey() const
{
    return documentHeadKey(m_settings.environment);
}

void ConfigExchange::startHeadRead(MonotonicTime now)
{
    m_reading = true;
    m_nextRead = now + m_settings.readInterval;
    // `now` is the time at which the read is sent, `time` the one at which its result is processed.
    m_hooks.read({headKey()},
                 now + m_settings.callTimeout,
                 [this, now](std::optional<TableRows> rows, const CoordinationError &) {
                     post([this, now, rows = std::move(rows)](MonotonicTime time) { processHead(time, now, rows); });
                 });
}

void ConfigExchange::processHead(MonotonicTime now, MonotonicTime sentAt, const std::optional<TableRows> &rows)
{
    const std::optional<DocumentHead> head = rows ? headOf(findRow(*rows, headKey())) : std::nullopt;
    if (!head) {
        m_reading = false;
        m_nextRead = std::min(m_nextRead, now + m_settings.retryDelay);
        return;
    }
    if (head->version > version()) {
        startTextRead(now, sentAt, *head);
        return;
    }
    m_reading = false;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_initialized = true;
    m_confirmedAt = sentAt;
}

void ConfigExchange::startTextRead(MonotonicTime now, MonotonicTime sentAt, const DocumentHead &head)
{
    const std::string key = documentVersionKey(m_settings.environment, head.version);
    m_hooks.read({key},
                 now + m_settings.callTimeout,
                 [this, sentAt, head, key](std::optional<TableRows> rows, const CoordinationError &) {
                     post([this, sentAt, head, key, rows = std::move(rows)](MonotonicTime time) {
                         m_reading = false;
                         const TableRow *row = rows ? findRow(*rows, key) : nullptr;
                         if (row == nullptr || !adopt(head, row->value)) {
                             m_nextRead = std::min(m_nextRead, time + m_settings.retryDelay);
                             return;
                         }
                         const std::lock_guard<std::mutex> lock(m_mutex);
                         m_confirmedAt = sentAt;
                     });
                 });
}

/**
 * Adopts a newer version and offers it to the peers. Returns false when the text does not match the digest of the head.
 */
bool ConfigExchange::adopt(const DocumentHead &head, const std::string &text)
{
    if (sha256Hex(text) != head.digest) {
        logEvent(LogLevel::Error, "document-digest-mismatch", {{"version", head.version}, {"digest", head.digest}});
        return false;
    }
    const auto document = std::make_shared<const AcceptedDocument>(AcceptedDocument{head, text});
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_initialized = true;
        if (m_current && m_current->head.version >= head.version) {
            return true;
        }
        m_current = document;
    }
    logEvent(LogLevel::Info,
             "document-adopted",
             {{"environment", m_settings.environment}, {"version", head.version}, {"digest", head.digest}});
    m_hooks.offer(encodeConfigurationOffer({m_settings.environment, head, text}));
    if (m_hooks.changed) {
        m_hooks.changed(*document);
    }
    return true;
}

std::string ConfigExchange::handleOffer(const std::string &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_inbox.size() < MaximumInboxItems) {
        m_inbox.emplace_back([this, body](MonotonicTime) { processOffer(body); });
    }
    return {};
}

void ConfigExchange::processOffer(const std::optional<std::string> &body)
{
    if (!body || body->empty()) {
        return;
    }
    ProtocolError fault;
    const std::optional<ConfigurationOffer> offer = decodeConfigurationOffer(*body, fault);
    if (!offer) {
        logEvent(LogLevel::Warning, "configuration-offer-refused", {{"reason", fault.reason}});
        return;
    }
    if (offer->environment == m_settings.environment && offer->head.version > DocumentVersion(0)) {
        adopt(offer->head, offer->text);
    }
}

std::string ConfigExchange::handleRequest(const std::string &body) const
{
    ProtocolError fault;
    const std::optional<ConfigurationRequest> request = decodeConfigurationRequest(body, fault);
    const std::shared_ptr<const AcceptedDocument> document = current();
    if (!request || request->environment != m_settings.environment || !document) {
        return {};
    }
    return encodeConfigurationOffer({m_settings.environment, document->head, document->text});
}

void ConfigExchange::handlePeerVersion(const std::string &peerAddress, DocumentVersion peer)
{
    if (peer <= version()) {
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_inbox.size() >= MaximumInboxItems) {
        return;
    }
    m_inbox.emplace_back([this, peerAddress, peer](MonotonicTime now) {
        if (peer <= version() || now < m_nextRequest) {
            return;
        }
        m_nextRequest = now + m_settings.retryDelay;
        m_hooks.request(peerAddress,
                        encodeConfigurationRequest({m_settings.environment}),
                        now + m_settings.callTimeout,
                        [this](const std::optional<std::string> &reply) {
                            post([this, reply](MonotonicTime) { processOffer(reply); });
                        });
    });
}

void ConfigExchange::accept(AcceptRequest request, AcceptDone done)
{
    const auto acceptance = std::make_shared<Acceptance>();
    acceptance->request = std::move(request);
    acceptance->done = std::move(done);
    acceptance->operation = OperationId(randomHex(OperationRandomBytes));
    post([this, acceptance](MonotonicTime) { startAcceptance(acceptance); });
}

void ConfigExchange::startAcceptance(const AcceptancePtr &acceptance)
{
    if (acceptance->request.text.size() > MaximumRowValueBytes) {
        acceptance->done({{CoordinationCode::OverBudget, "the document exceeds the size limit of a table row"}, {}});
        return;
    }
    m_hooks.read(
        {headKey()},
        acceptance->request.deadline,
        [this, acceptance](std::optional<TableRows> rows, const CoordinationError &) {
            post([this, acceptance, rows = std::move(rows)](MonotonicTime time) { checkBase(acceptance, rows, time); });
        });
}

void ConfigExchange::checkBase(const AcceptancePtr &acceptance, const std::optional<TableRows> &rows, MonotonicTime now)
{
    const TableRow *row = rows ? findRow(*rows, headKey()) : nullptr;
    const std::optional<DocumentHead> head = rows ? headOf(row) : std::nullopt;
    if (!head || now >= acceptance->request.deadline) {
        acceptance->done(
            {{CoordinationCode::StoreUnavailable, "the document head could not be read in time; nothing was accepted"},
             {}});
        return;
    }
    if (head->version != acceptance->request.base) {
        acceptance->done(conflictWith(*head));
        return;
    }
    acceptance->headRowVersion = row == nullptr ? RowVersion(0) : row->version;
    acceptance->head.version = head->version + DocumentVersion(1);
    acceptance->head.digest = sha256Hex(acceptance->request.text);
    acceptance->head.operatorName = acceptance->request.operatorName;
    acceptance->head.acceptedUnixMs = acceptance->request.acceptedUnixMs;
    writeAcceptance(acceptance);
}

void ConfigExchange::writeAcceptance(const AcceptancePtr &acceptance)
{
    const std::string textKey = documentVersionKey(m_settings.environment, acceptance->head.version);
    TableTransaction transaction;
    transaction.operation = acceptance->operation;
    transaction.conditions = {{headKey(), acceptance->headRowVersion}, {textKey, RowVersion(0)}};
    transaction.puts = {{headKey(), encodeMessage(acceptance->head)}, {textKey, acceptance->request.text}};
    m_hooks.commit(transaction,
                   acceptance->request.deadline,
                   [this, acceptance](std::optional<TableTransactionResult> result, const CoordinationError &error) {
                       post([this, acceptance, result = std::move(result), error](MonotonicTime) {
                           if (result && result->committed) {
                               finishAcceptance(acceptance);
                           } else if (!result && error.code != CoordinationCode::OutcomeUnknown) {
                               acceptance->done({error, {}});
                           } else {
                               verifyAcceptance(acceptance);
                           }
                       });
                   });
}

void ConfigExchange::finishAcceptance(const AcceptancePtr &acceptance)
{
    adopt(acceptance->head, acceptance->request.text);
    acceptance->done({{}, acceptance->head});
}

/** Reads the table to find out whether the write took effect or another version was accepted first. */
void ConfigExchange::verifyAcceptance(const AcceptancePtr &acceptance)
{
    m_hooks.read({headKey(), documentVersionKey(m_settings.environment, acceptance->head.version)},
                 acceptance->request.deadline,
                 [this, acceptance](std::optional<TableRows> rows, const CoordinationError &) {
                     post([this, acceptance, rows = std::move(rows)](MonotonicTime time) {
                         processVerification(acceptance, rows, time);
                     });
                 });
}

void ConfigExchange::processVerification(const AcceptancePtr &acceptance,
                                         const std::optional<TableRows> &rows,
                                         MonotonicTime now)
{
    const std::optional<DocumentHead> head = rows ? headOf(findRow(*rows, headKey())) : std::nullopt;
    if (head && head->version >= acceptance->head.version) {
        const std::string textKey = documentVersionKey(m_settings.environment, acceptance->head.version);
        const TableRow *text = findRow(*rows, textKey);
        const bool hasSameText = text != nullptr && text->value == acceptance->request.text;
        const bool hasSameOperatorAndTime = head->operatorName == acceptance->head.operatorName
            && head->acceptedUnixMs == acceptance->head.acceptedUnixMs;
        if (hasSameText && (head->version > acceptance->head.version || hasSameOperatorAndTime)) {
            finishAcceptance(acceptance);
        } else {
            acceptance->done(conflictWith(*head));
        }
        return;
    }
    if (now >= acceptance->request.deadline) {
        acceptance->done({{CoordinationCode::OutcomeUnknown,
                           "it is not known whether the version was accepted; check the status later"},
                          {}});
    } else if (head) {
        // Not written yet. The repeated write has the same operation id, so it is idempotent if the first one is late.
        post([this, acceptance](MonotonicTime) { writeAcceptance(acceptance); });
    } else {
        post([this, acceptance](MonotonicTime) { verifyAcceptance(acceptance); });
    }
}

std::shared_ptr<const AcceptedDocument> ConfigExchange::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
}

DocumentVersion ConfigExchange::version() const
{
    const std::shared_ptr<const AcceptedDocument> document = current();
    return document ? document->head.version : DocumentVersion(0);
}

bool ConfigExchange::isInitialized() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_initialized;
}

std::optional<Duration> ConfigExchange::timeSinceConfirmation(MonotonicTime now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt;
}

} // namespace coriander
