#include "corianderscale/Gateway/CounterCopies.h"

#include "corianderscale/Gateway/CountsMerge.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr Duration StoreCallTimeout = std::chrono::seconds(2);
constexpr std::size_t OperationIdBytes = 16;
/** Enough for two days of all gateways of a large site. */
constexpr std::size_t MaximumCopies = 256;
constexpr Duration StoredCheckInterval = std::chrono::minutes(1);

std::optional<CountsRecord> decodeRow(const TableRow &row)
{
    ProtocolError error;
    return row.version == RowVersion(0) ? std::nullopt : decodeMessage<CountsRecord>(row.value, error);
}

} // namespace

CounterCopies::CounterCopies(GatewayHooks &hooks, Store &store)
    : m_hooks(hooks)
    , m_store(store)
{
}

void CounterCopies::hold(const CountsRecord &record)
{
    const std::string key = countsRowKey(record.day, record.gateway);
    if (!m_copies.contains(key) && m_copies.size() >= MaximumCopies) {
        const auto oldest = std::min_element(m_copies.begin(), m_copies.end(), [](const auto &left, const auto &right) {
            return left.second.record.flushedUnixMs < right.second.record.flushedUnixMs;
        });
        logEvent(LogLevel::Error, "counter-copy-dropped", {{"row", oldest->first}});
        m_copies.erase(oldest);
    }
    CountsRecord &held = m_copies[key].record;
    held.day = record.day;
    held.gateway = record.gateway;
    held.flushedUnixMs = std::max(held.flushedUnixMs, record.flushedUnixMs);
    mergeCounts(held, record);
}

void CounterCopies::restore(const std::function<bool(const InstanceId &)> &isDead)
{
    for (auto &[key, copy] : m_copies) {
        if (!copy.restoring && isDead(copy.record.gateway)) {
            copy.restoring = true;
            readRow(key,
                    [this, name = key](Copy &held, const std::optional<TableRows> &rows) { write(name, held, rows); });
        }
    }
}

void CounterCopies::readRow(const std::string &key, std::function<void(Copy &, const std::optional<TableRows> &)> done)
{
    m_store.read({key},
                 m_hooks.clock.now() + StoreCallTimeout,
                 [this, key, done = std::move(done)](std::optional<TableRows> rows, const CoordinationError &) {
                     m_hooks.post([this, key, done, rows = std::move(rows)] {
                         if (const auto found = m_copies.find(key); found != m_copies.end()) {
                             done(found->second, rows);
                         }
                     });
                 });
}

void CounterCopies::write(const std::string &key, Copy &copy, const std::optional<TableRows> &rows)
{
    if (!rows || rows->rows.empty()) {
        copy.restoring = false;
        return;
    }
    const TableRow &row = rows->rows.front();
    CountsRecord merged = copy.record;
    if (const auto stored = decodeRow(row)) {
        mergeCounts(merged, *stored);
    }
    merged.closed = true;
    TableTransaction transaction;
    transaction.operation = OperationId(m_hooks.randomHex(OperationIdBytes));
    transaction.conditions.push_back({key, row.version});
    transaction.puts.push_back({key, encodeMessage(merged)});
    m_store.commit(std::move(transaction),
                   m_hooks.clock.now() + StoreCallTimeout,
                   [this, key](std::optional<TableTransactionResult> result, const CoordinationError &) {
                       m_hooks.post([this, key, done = result && result->committed] {
                           if (done) {
                               m_copies.erase(key);
                               logEvent(LogLevel::Info, "counts-restored", {{"row", key}});
                           } else if (const auto held = m_copies.find(key); held != m_copies.end()) {
                               held->second.restoring = false;
                           }
                       });
                   });
}

void CounterCopies::dropStoredCopies()
{
    const MonotonicTime now = m_hooks.clock.now();
    for (auto &[key, copy] : m_copies) {
        if (copy.restoring || now < copy.nextCheckAt) {
            continue;
        }
        copy.nextCheckAt = now + StoredCheckInterval;
        readRow(key, [this, name = key](const Copy &held, const std::optional<TableRows> &rows) {
            const auto stored = rows && !rows->rows.empty() ? decodeRow(rows->rows.front()) : std::nullopt;
            if (!held.restoring && stored && countsCover(*stored, held.record)) {
                m_copies.erase(name);
            }
        });
    }
}

std::size_t CounterCopies::size() const
{
    return m_copies.size();
}

} // namespace coriander
