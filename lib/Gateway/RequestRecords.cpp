#include "corianderscale/Gateway/RequestRecords.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

/** Timeout of each store call, so that a slow store is detected. */
constexpr Duration StoreCallTimeout = std::chrono::seconds(2);
constexpr std::size_t MaximumKeysPerRead = 100;
constexpr std::size_t OperationIdBytes = 16;
/** Limit for the JSON-encoded answer: with about 2 KiB of other fields, the row stays below the table's 64 KiB. */
constexpr std::size_t MaximumEncodedAnswerBytes = 56 * 1024;

std::optional<RequestSnapshot> decodeRow(const TableRow &row)
{
    RequestSnapshot snapshot;
    snapshot.version = row.version;
    if (row.version == RowVersion(0)) {
        return snapshot;
    }
    ProtocolError error;
    snapshot.record = decodeMessage<RequestRecord>(row.value, error);
    if (!snapshot.record) {
        logEvent(LogLevel::Error, "request-row-malformed", {{"key", row.key}, {"reason", error.reason}});
        return std::nullopt;
    }
    return snapshot;
}

} // namespace

RequestRecords::RequestRecords(GatewayHooks &hooks, Store &store)
    : m_hooks(hooks)
    , m_store(store)
{
}

MonotonicTime RequestRecords::storeDeadline(MonotonicTime deadline) const
{
    return std::min(deadline, m_hooks.clock.now() + StoreCallTimeout);
}

void RequestRecords::read(const std::string &key, MonotonicTime deadline, SnapshotDone done)
{
    m_pending.push_back({key, deadline, std::move(done)});
    if (!m_reading) {
        startRead();
    }
}

void RequestRecords::startRead()
{
    m_reading = true;
    std::deque<PendingRead> batch;
    std::vector<std::string> keys;
    while (!m_pending.empty() && batch.size() < MaximumKeysPerRead) {
        keys.push_back(m_pending.front().key);
        batch.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    m_store.read(std::move(keys),
                 m_hooks.clock.now() + StoreCallTimeout,
                 [this, batch = std::move(batch)](std::optional<TableRows> rows, const CoordinationError &) mutable {
                     m_hooks.post(
                         [this, batch = std::move(batch), rows = std::move(rows)] { finishRead(batch, rows); });
                 });
}

void RequestRecords::finishRead(const std::deque<PendingRead> &batch, const std::optional<TableRows> &rows)
{
    m_reading = false;
    if (!m_pending.empty()) {
        startRead();
    }
    for (const PendingRead &read : batch) {
        if (!rows) {
            read.done(std::nullopt);
            continue;
        }
        const auto row = std::find_if(
            rows->rows.begin(), rows->rows.end(), [&read](const TableRow &item) { return item.key == read.key; });
        read.done(row == rows->rows.end() ? std::nullopt : decodeRow(*row));
    }
}

void RequestRecords::put(RequestRecord &record, RowVersion expected, MonotonicTime deadline, PutDone done)
{
    record.operation = OperationId(m_hooks.randomHex(OperationIdBytes));
    const std::string key = requestRowKey(record.organisation, record.caller, record.key);
    TableTransaction transaction;
    transaction.operation = record.operation;
    transaction.conditions.push_back({key, expected});
    transaction.puts.push_back({key, encodeMessage(record)});
    m_store.commit(std::move(transaction),
                   storeDeadline(deadline),
                   [this, write = PendingWrite{key, record, expected, deadline, std::move(done)}](
                       std::optional<TableTransactionResult> result, const CoordinationError &error) {
                       m_hooks.post(
                           [this, write, result = std::move(result), error] { finishPut(write, result, error); });
                   });
}

void RequestRecords::finishPut(const PendingWrite &write,
                               const std::optional<TableTransactionResult> &result,
                               const CoordinationError &error)
{
    if (result && result->committed) {
        write.done({PutOutcome::Committed, {write.record, result->version}});
        return;
    }
    if (!result && (error.code == CoordinationCode::StoreUnavailable || error.code == CoordinationCode::OverBudget)) {
        write.done({PutOutcome::NotWritten, {}});
        return;
    }
    // Either the answer was lost or the row has another version. The operation id of the row shows whose write it is.
    const bool refused = result.has_value();
    read(write.key, write.deadline, [write, refused](const std::optional<RequestSnapshot> &snapshot) {
        if (!snapshot) {
            write.done({PutOutcome::Unknown, {}});
            return;
        }
        if (snapshot->record && snapshot->record->operation == write.record.operation) {
            write.done({PutOutcome::Committed, *snapshot});
            return;
        }
        // At another row version this write can never take effect, because versions are never reused.
        const bool superseded = refused || snapshot->version != write.expected;
        write.done({superseded ? PutOutcome::Conflict : PutOutcome::Unknown, *snapshot});
    });
}

bool RequestRecords::fitsRow(const std::string &answer)
{
    if (answer.size() > MaximumInlineAnswerBytes) {
        return false;
    }
    try {
        return Json(answer).dump().size() <= MaximumEncodedAnswerBytes;
    } catch (const Json::exception &) {
        // The answer is not valid UTF-8, so JSON cannot store it unchanged.
        return false;
    }
}

void RequestRecords::putAnswer(const std::string &object, const std::string &answer, std::function<void(bool)> done)
{
    m_store.putObject(object,
                      answer,
                      m_hooks.clock.now() + StoreCallTimeout,
                      [this, done = std::move(done)](bool stored, const CoordinationError &) {
                          m_hooks.post([done, stored] { done(stored); });
                      });
}

void RequestRecords::getAnswer(const std::string &object, std::function<void(std::optional<std::string>)> done)
{
    m_store.getObject(object,
                      m_hooks.clock.now() + StoreCallTimeout,
                      [this, done = std::move(done)](std::optional<std::string> content, const CoordinationError &) {
                          m_hooks.post([done, content = std::move(content)] { done(content); });
                      });
}

} // namespace coriander
