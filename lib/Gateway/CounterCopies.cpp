#include "corianderscale/Gateway/CounterCopies.h"

#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

constexpr Duration StoreCallLimit = std::chrono::seconds(2);
constexpr std::size_t OperationBytes = 16;
/** Two days of the gateways of a large site. */
constexpr std::size_t MaximumCopies = 256;

} // namespace

CounterCopies::CounterCopies(GatewayHooks &hooks, Store &store)
    : m_hooks(hooks)
    , m_store(store)
{
}

bool CounterCopies::hold(const CountsRecord &record)
{
    const std::string key = countsRowKey(record.day, record.gateway);
    if (!m_copies.contains(key) && m_copies.size() >= MaximumCopies) {
        return false;
    }
    CountsRecord &held = m_copies[key].record;
    held.day = record.day;
    held.gateway = record.gateway;
    held.flushedUnixMs = std::max(held.flushedUnixMs, record.flushedUnixMs);
    for (const auto &[caller, counts] : record.counts) {
        held.counts[caller].mergeLarger(counts);
    }
    return true;
}

void CounterCopies::restore(const std::function<bool(const InstanceId &)> &isDead)
{
    for (auto &[key, copy] : m_copies) {
        if (!copy.restoring && isDead(copy.record.gateway)) {
            copy.restoring = true;
            startRestore(key);
        }
    }
}

void CounterCopies::startRestore(const std::string &key)
{
    m_store.read({key},
                 m_hooks.clock.now() + StoreCallLimit,
                 [this, key](std::optional<TableRows> rows, const CoordinationError &) {
                     m_hooks.post([this, key, rows = std::move(rows)] { onRead(key, rows); });
                 });
}

void CounterCopies::onRead(const std::string &key, const std::optional<TableRows> &rows)
{
    const auto found = m_copies.find(key);
    if (found == m_copies.end()) {
        return;
    }
    if (!rows || rows->rows.empty()) {
        found->second.restoring = false;
        return;
    }
    const TableRow &row = rows->rows.front();
    CountsRecord merged = found->second.record;
    ProtocolError error;
    if (const auto stored
        = row.version == RowVersion(0) ? std::nullopt : decodeMessage<CountsRecord>(row.value, error)) {
        for (const auto &[caller, counts] : stored->counts) {
            merged.counts[caller].mergeLarger(counts);
        }
    }
    merged.closed = true;
    TableTransaction transaction;
    transaction.operation = OperationId(m_hooks.randomHex(OperationBytes));
    transaction.conditions.push_back({key, row.version});
    transaction.puts.push_back({key, encodeMessage(merged)});
    m_store.commit(std::move(transaction),
                   m_hooks.clock.now() + StoreCallLimit,
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

void CounterCopies::forget(const InstanceId &gateway)
{
    std::erase_if(m_copies, [&gateway](const auto &item) {
        return item.second.record.gateway == gateway && !item.second.restoring;
    });
}

std::size_t CounterCopies::size() const
{
    return m_copies.size();
}

} // namespace coriander
