#include "corianderscale/Workflow/StateSweeper.h"

#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/Records.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Each row needs two entries of a transaction, which has at most 100. */
constexpr std::size_t MostRowsPerChange = 50;

} // namespace

StateSweeper::StateSweeper(Times times, Clock clock, RowStore &store)
    : m_times(times)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_nextAt(m_clock.now() + times.pageEvery)
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
        m_times.callLimit,
        [this, alive = std::weak_ptr<int>(m_alive)](const std::optional<RowPage> &page, const StateError &error) {
            if (alive.lock()) {
                takePage(page, error);
            }
        });
}

bool StateSweeper::isOld(const Row &row) const
{
    ProtocolError error;
    const std::optional<StateRecord> record = decodeState(row.value, error);
    if (!record) {
        logEvent(LogLevel::Error,
                 "row-ignored",
                 {{"table", row.table}, {"key", row.key}, {"version", row.version}, {"reason", error.reason}});
        return false;
    }
    return isFinal(record->state) && m_clock.wallNow() - record->since > m_times.keep + m_times.margin;
}

void StateSweeper::takePage(const std::optional<RowPage> &page, const StateError &error)
{
    m_inFlight = false;
    m_nextAt = m_clock.now() + m_times.pageEvery;
    if (!page) {
        logEvent(LogLevel::Warning, "states-not-read", {{"from", m_from}, {"reason", error.reason}});
        return;
    }
    m_from = page->hasMore ? keyAfter(page->rows.back().key) : std::string();
    std::vector<Row> old = page->rows;
    std::erase_if(old, [this](const Row &row) { return !isOld(row); });
    while (!old.empty()) {
        const auto end = old.begin() + static_cast<std::ptrdiff_t>(std::min(old.size(), MostRowsPerChange));
        remove({old.begin(), end});
        old.erase(old.begin(), end);
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
    m_store.change(std::move(change), m_times.callLimit, [count = rows.size()](const ChangeResult &result) {
        logEvent(LogLevel::Info,
                 "states-removed",
                 {{"jobs", count},
                  {"done", result.outcome == ChangeOutcome::Committed},
                  {"version", result.version},
                  {"reason", result.reason}});
    });
}

} // namespace coriander::workflow
