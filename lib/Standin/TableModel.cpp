#include "corianderscale/Standin/TableModel.h"

namespace coriander {

namespace {

/** Time for which the outcome of an operation is kept to answer repeated calls. */
constexpr Duration OutcomeRetention = std::chrono::minutes(10);

} // namespace

TableTransactionResult TableModel::commit(const TableTransaction &transaction, MonotonicTime now)
{
    removeExpiredOutcomes(now);
    const auto known = m_outcomes.find(transaction.operation);
    if (known != m_outcomes.end()) {
        return known->second;
    }
    TableTransactionResult result;
    for (const TableCondition &condition : transaction.conditions) {
        const auto row = m_rows.find(condition.key);
        const RowVersion found = row == m_rows.end() ? RowVersion(0) : row->second.version;
        if (found != condition.version) {
            result.conflicts.push_back({condition.key, found});
        }
    }
    result.committed = result.conflicts.empty();
    if (result.committed) {
        m_lastVersion += RowVersion(1);
        result.version = m_lastVersion;
        for (const TablePut &put : transaction.puts) {
            m_rows[put.key] = {put.value, m_lastVersion};
        }
        for (const std::string &key : transaction.deletes) {
            m_rows.erase(key);
        }
    }
    m_outcomes.emplace(transaction.operation, result);
    m_outcomeExpiries.push_back({now + OutcomeRetention, transaction.operation});
    return result;
}

TableRows TableModel::read(const TableRead &request) const
{
    TableRows rows;
    for (const std::string &key : request.keys) {
        const auto row = m_rows.find(key);
        if (row == m_rows.end()) {
            rows.rows.push_back({key, {}, RowVersion(0)});
            continue;
        }
        rows.rows.push_back({key, row->second.value, row->second.version});
    }
    return rows;
}

TableRows TableModel::scan(const TableScan &request) const
{
    TableRows rows;
    auto row = request.after < request.prefix ? m_rows.lower_bound(request.prefix) : m_rows.upper_bound(request.after);
    for (; row != m_rows.end() && row->first.compare(0, request.prefix.size(), request.prefix) == 0; ++row) {
        if (rows.rows.size() >= static_cast<std::size_t>(request.limit)) {
            rows.more = true;
            break;
        }
        rows.rows.push_back({row->first, row->second.value, row->second.version});
    }
    return rows;
}

void TableModel::removeExpiredOutcomes(MonotonicTime now)
{
    while (!m_outcomeExpiries.empty() && m_outcomeExpiries.front().expiresAt <= now) {
        m_outcomes.erase(m_outcomeExpiries.front().operation);
        m_outcomeExpiries.pop_front();
    }
}

} // namespace coriander
