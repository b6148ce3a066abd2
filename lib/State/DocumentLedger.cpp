#include "corianderscale/State/DocumentLedger.h"

#include "corianderscale/State/Document.h"
#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/Log.h"

#include <fmt/format.h>

namespace coriander {

namespace {

constexpr std::size_t OperationRandomBytes = 16;

std::string logPrefix(const std::string &environment)
{
    return fmt::format("config/{}/log/", environment);
}

/** The key has leading zeros, so that rows sort by version. */
std::string logKey(const std::string &environment, DocumentVersion version)
{
    return fmt::format("{}{:08}", logPrefix(environment), version.count());
}

StateError unavailable(const CoordinationError &error)
{
    return {StateCode::Unavailable, "the platform's table does not answer: " + error.reason + "; try again later"};
}

StateError conflictWith(const std::string &environment, const DocumentHead &winner)
{
    return {StateCode::Conflict,
            fmt::format(
                "version {} of {} (digest {}, by operator '{}') was accepted first; compare with it and apply again",
                winner.version,
                environment,
                winner.digest,
                winner.operatorName)};
}

bool isSameWrite(const DocumentHead &left, const DocumentHead &right)
{
    return left.version == right.version && left.digest == right.digest && left.operatorName == right.operatorName
        && left.acceptedUnixMs == right.acceptedUnixMs;
}

} // namespace

DocumentLedger::DocumentLedger(Store &store, Clock clock)
    : m_store(store)
    , m_clock(std::move(clock))
{
}

std::optional<DocumentLedger::HeadRow> DocumentLedger::readHead(const std::string &environment,
                                                                MonotonicTime deadline,
                                                                StateError &error)
{
    CoordinationError reason;
    const auto rows = readAndWait(m_store, {documentHeadKey(environment)}, deadline, reason);
    if (!rows || rows->rows.empty()) {
        error = unavailable(reason);
        return std::nullopt;
    }
    const TableRow &row = rows->rows.front();
    if (row.version == RowVersion(0)) {
        return HeadRow{};
    }
    ProtocolError fault;
    const auto head = decodeMessage<DocumentHead>(row.value, fault);
    if (!head) {
        error = {StateCode::Invalid, fmt::format("row {} cannot be read: {}", row.key, fault.reason)};
        return std::nullopt;
    }
    return HeadRow{*head, row.version};
}

std::optional<AcceptedDocument> DocumentLedger::read(const std::string &environment,
                                                     MonotonicTime deadline,
                                                     StateError &error)
{
    const auto head = readHead(environment, deadline, error);
    if (!head) {
        return std::nullopt;
    }
    if (head->version == RowVersion(0)) {
        return AcceptedDocument{};
    }
    CoordinationError reason;
    const auto rows = readAndWait(m_store, {documentVersionKey(environment, head->head.version)}, deadline, reason);
    if (!rows || rows->rows.empty()) {
        error = unavailable(reason);
        return std::nullopt;
    }
    if (sha256Hex(rows->rows.front().value) != head->head.digest) {
        error = {StateCode::Invalid,
                 fmt::format("the text of version {} of {} does not have the digest of its head row",
                             head->head.version,
                             environment)};
        return std::nullopt;
    }
    return AcceptedDocument{head->head, rows->rows.front().value};
}

std::optional<DocumentHead> DocumentLedger::accept(const std::string &environment,
                                                   const std::string &text,
                                                   DocumentVersion base,
                                                   const std::string &operatorName,
                                                   MonotonicTime deadline,
                                                   AcceptFailure &failure)
{
    const auto current = readHead(environment, deadline, failure.error);
    if (!current) {
        return std::nullopt;
    }
    DocumentHead next;
    next.digest = sha256Hex(text);
    if (current->head.digest == next.digest) {
        return current->head;
    }
    if (current->head.version != base) {
        failure = {conflictWith(environment, current->head), current->head};
        return std::nullopt;
    }
    next.version = base + DocumentVersion(1);
    next.operatorName = operatorName;
    next.acceptedUnixMs = toUnixMs(m_clock.wallNow());
    const std::string versionKey = documentVersionKey(environment, next.version);
    TableTransaction transaction;
    transaction.operation = OperationId(randomHex(OperationRandomBytes));
    transaction.conditions = {{documentHeadKey(environment), current->version}, {versionKey, RowVersion(0)}};
    transaction.puts = {{documentHeadKey(environment), encodeMessage(next)},
                        {versionKey, text},
                        {logKey(environment, next.version), encodeMessage(next)}};
    CoordinationError reason;
    const auto result = commitAndWait(m_store, std::move(transaction), deadline, reason);
    if (result && result->committed) {
        return next;
    }
    if (!result && reason.code != CoordinationCode::OutcomeUnknown) {
        failure.error = unavailable(reason);
        return std::nullopt;
    }
    return resolveOutcome(environment, next, result.has_value(), deadline, failure);
}

std::optional<DocumentHead> DocumentLedger::resolveOutcome(const std::string &environment,
                                                           const DocumentHead &written,
                                                           bool isConflict,
                                                           MonotonicTime deadline,
                                                           AcceptFailure &failure)
{
    const auto current = readHead(environment, deadline, failure.error);
    if (current && isSameWrite(current->head, written)) {
        return current->head;
    }
    // If the head has the written version or a later one, the write can no longer take effect.
    if (current && (isConflict || current->head.version >= written.version)) {
        failure = {conflictWith(environment, current->head), current->head};
        return std::nullopt;
    }
    failure.error
        = {StateCode::OutcomeUnknown,
           fmt::format("it is not known whether version {} of {} was accepted; check the history and apply again",
                       written.version,
                       environment)};
    return std::nullopt;
}

std::optional<std::vector<DocumentHead>> DocumentLedger::history(const std::string &environment,
                                                                 MonotonicTime deadline,
                                                                 StateError &error)
{
    CoordinationError reason;
    const auto rows = scanAllAndWait(m_store, logPrefix(environment), deadline, reason);
    if (!rows) {
        error = unavailable(reason);
        return std::nullopt;
    }
    std::vector<DocumentHead> heads;
    for (const TableRow &row : *rows) {
        ProtocolError fault;
        const auto head = decodeMessage<DocumentHead>(row.value, fault);
        if (!head) {
            error = {StateCode::Invalid, fmt::format("row {} cannot be read: {}", row.key, fault.reason)};
            return std::nullopt;
        }
        heads.push_back(*head);
    }
    return heads;
}

} // namespace coriander
