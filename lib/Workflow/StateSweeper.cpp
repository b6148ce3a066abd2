#include "corianderscale/Workflow/StateSweeper.h"

#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/Records.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Each row needs two entries of a transaction, which has at most 100. */
constexpr std::size_t MaximumRowsPerChange = 50;

} // namespace

StateSweeper::StateSweeper(Times times, Clock clock, RowStore &store)
    : m_times(times)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_nextAt(m_clock.now() + times.pageInterval)
{
}

void StateSweeper::step()
{
    if (m_inFlight || m_clock.now() < m_nextAt) {
        return;
    }
    m_inFlight = true;
    m_store.read(
        StatesTable,
        m_from,
        "",
        m_times.storeCallTimeout,
        [this, alive = std::weak_ptr<int>(m_alive)](const std::optional<RowPage> &page, const StateError &error) {
            if (alive.lock()) {
                handlePage(page, error);
            }
        });
}

bool StateSweeper::isExpired(const Row &row) const
{
    ProtocolError error;
    const std::optional<StateRecord> record = decodeState(row.value, error);
    if (!record) {
        logEvent(LogLevel::Error,
                 "row-ignored",
                 {{"table", row.table}, {"key", row.key}, {"version", row.version}, {"reason", error.reason}});
        return false;
    }
    return isFinal(record->state) && m_clock.wallNow() - record->since > m_times.retention + m_times.retentionMargin;
}

void StateSweeper::handlePage(const std::optional<RowPage> &page, const StateError &error)
{
    m_inFlight = false;
    m_nextAt = m_clock.now() + m_times.pageInterval;
    if (!page) {
        logEvent(LogLevel::Warning, "states-not-read", {{"from", m_from}, {"reason", error.reason}});
        return;
    }
    m_from = page->hasMore ? keyAfter(page->rows.back().key) : std::string();
    std::vector<Row> expired = page->rows;
    std::erase_if(expired, [this](const Row &row) { return !isExpired(row); });
    while (!expired.empty()) {
        const auto end = expired.begin() + static_cast<std::ptrdiff_t>(std::min(expired.size(), MaximumRowsPerChange));
        remove({expired.begin(), end});
        expired.erase(expired.begin(), end);
    }
}

void StateSweeper::remove(std::vector<Row> rows)
{
    RowChange change;
    for (const Row &row : rows) {
        change.expected.push_back({row.table, row.key, row.version});
        change.removed.push_back({row.table, row.key});
    }
    // A failed change is not retried; the rows are found again when their page is read the next time.
    m_store.change(std::move(change), m_times.storeCallTimeout, [count = rows.size()](const ChangeResult &result) {
        logEvent(LogLevel::Info,
                 "states-removed",
                 {{"jobs", count},
                  {"done", result.outcome == ChangeOutcome::Committed},
                  {"version", result.version},
                  {"reason", result.reason}});
    });
}

} // namespace coriander::workflow
