#include "corianderscale/Gateway/RequestCounters.h"

#include "corianderscale/Gateway/CountsMerge.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

/** Maximum time from a count to the start of its commit, and minimum time between the starts of two commits. */
constexpr Duration FlushInterval = std::chrono::milliseconds(50);
constexpr Duration CommitTimeout = std::chrono::seconds(2);
/** When a commit takes longer, the row is copied to peers, so that a slow store does not delay answers. */
constexpr Duration CopyDelay = std::chrono::milliseconds(200);
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(200);
constexpr int MaximumRetryDoublings = 4;
constexpr std::size_t OperationIdBytes = 16;

void addTo(ItemCounts &counts, CountAs as)
{
    ++counts.accepted;
    switch (as) {
    case CountAs::Finished:
        ++counts.finished;
        return;
    case CountAs::Failed:
        ++counts.failed;
        return;
    case CountAs::RefusedNotRun:
        ++counts.refusedNotRun;
        return;
    case CountAs::Unknown:
        ++counts.unknown;
        return;
    }
}

} // namespace

RequestCounters::RequestCounters(
    GatewayHooks &hooks, Store &store, InstanceId gateway, DayOf dayOf, CopyToPeers copyToPeers)
    : m_hooks(hooks)
    , m_store(store)
    , m_gateway(std::move(gateway))
    , m_dayOf(std::move(dayOf))
    , m_copyToPeers(std::move(copyToPeers))
{
}

void RequestCounters::setDayOf(DayOf dayOf)
{
    m_dayOf = std::move(dayOf);
}

void RequestCounters::count(const CallerKey &caller, CountAs as, std::function<void()> release)
{
    const std::string name = m_dayOf(m_hooks.clock.wallNow());
    Day &day = m_days[name];
    day.record.day = name;
    day.record.gateway = m_gateway;
    addTo(day.record.counts[caller], as);
    day.pendingReleases.push_back({++day.sequence, m_hooks.clock.now(), std::move(release)});
    scheduleFlush(name);
    scheduleCopy(name);
}

void RequestCounters::scheduleCopy(const std::string &name)
{
    Day &day = m_days.at(name);
    if (day.copyScheduled) {
        return;
    }
    day.copyScheduled = true;
    const Duration wait = day.failures > 0 ? FlushInterval : CopyDelay;
    m_hooks.at(m_hooks.clock.now() + wait, [this, name] {
        Day &current = m_days.at(name);
        current.copyScheduled = false;
        if (current.pendingReleases.empty()) {
            return;
        }
        if (current.failures > 0 || m_hooks.clock.now() - current.pendingReleases.front().countedAt >= CopyDelay) {
            copy(name);
        }
        scheduleCopy(name);
    });
}

void RequestCounters::scheduleFlush(const std::string &name)
{
    Day &day = m_days.at(name);
    if (day.flushScheduled || day.commitInFlight) {
        return;
    }
    day.flushScheduled = true;
    const MonotonicTime now = m_hooks.clock.now();
    const MonotonicTime due = day.hasStartedCommit ? std::max(now, day.lastCommitStart + FlushInterval) : now;
    m_hooks.at(due, [this, name] {
        m_days.at(name).flushScheduled = false;
        startCommit(name);
    });
}

void RequestCounters::startCommit(const std::string &name)
{
    Day &day = m_days.at(name);
    if (day.commitInFlight) {
        return;
    }
    day.commitInFlight = true;
    day.hasStartedCommit = true;
    day.lastCommitStart = m_hooks.clock.now();
    day.record.closed = day.closing;
    day.record.flushedUnixMs = toUnixMs(m_hooks.clock.wallNow());
    const std::string key = countsRowKey(name, m_gateway);
    TableTransaction transaction;
    transaction.operation = OperationId(m_hooks.randomHex(OperationIdBytes));
    transaction.conditions.push_back({key, day.version});
    transaction.puts.push_back({key, encodeMessage(day.record)});
    const std::uint64_t sequence = day.sequence;
    m_store.commit(std::move(transaction),
                   m_hooks.clock.now() + CommitTimeout,
                   [this, name, sequence, closed = day.closing](std::optional<TableTransactionResult> result,
                                                                const CoordinationError &) {
                       m_hooks.post([this, name, sequence, closed, result = std::move(result)] {
                           onCommit(name, sequence, closed, result);
                       });
                   });
}

void RequestCounters::onCommit(const std::string &name,
                               std::uint64_t sequence,
                               bool closed,
                               const std::optional<TableTransactionResult> &result)
{
    Day &day = m_days.at(name);
    if (!result || !result->committed) {
        // After a lost answer or a conflict, the row shows what is stored. Besides this gateway, only peers write the
        // row.
        readBack(name);
        return;
    }
    day.commitInFlight = false;
    day.failures = 0;
    day.version = result->version;
    day.closedInTable = closed;
    day.committedSequence = std::max(day.committedSequence, sequence);
    release(day, sequence);
    if (day.committedSequence < day.sequence || (day.closing && !day.closedInTable)) {
        scheduleFlush(name);
    }
    notifyIfClosed();
}

void RequestCounters::readBack(const std::string &name)
{
    m_store.read({countsRowKey(name, m_gateway)},
                 m_hooks.clock.now() + CommitTimeout,
                 [this, name](std::optional<TableRows> rows, const CoordinationError &) {
                     m_hooks.post([this, name, rows = std::move(rows)] { onReadBack(name, rows); });
                 });
}

void RequestCounters::onReadBack(const std::string &name, const std::optional<TableRows> &rows)
{
    Day &day = m_days.at(name);
    day.commitInFlight = false;
    if (!rows || rows->rows.empty()) {
        copy(name);
        retryLater(name);
        return;
    }
    const TableRow &row = rows->rows.front();
    day.version = row.version;
    ProtocolError error;
    const auto stored = row.version == RowVersion(0) ? std::nullopt : decodeMessage<CountsRecord>(row.value, error);
    if (stored) {
        mergeCounts(day.record, *stored);
        if (countsCover(*stored, day.record) && stored->closed == day.closing) {
            day.committedSequence = day.sequence;
            day.closedInTable = stored->closed;
            release(day, day.sequence);
        }
    }
    if (day.committedSequence < day.sequence || day.closing != day.closedInTable) {
        retryLater(name);
    }
    notifyIfClosed();
}

void RequestCounters::retryLater(const std::string &name)
{
    Day &day = m_days.at(name);
    if (day.flushScheduled) {
        return;
    }
    day.flushScheduled = true;
    const Duration wait = InitialRetryDelay * (1 << std::min(day.failures++, MaximumRetryDoublings));
    m_hooks.at(m_hooks.clock.now() + wait, [this, name] {
        m_days.at(name).flushScheduled = false;
        startCommit(name);
    });
}

void RequestCounters::copy(const std::string &name)
{
    Day &day = m_days.at(name);
    const std::uint64_t sequence = day.sequence;
    m_copyToPeers(day.record, [this, name, sequence](int copies) {
        const auto found = m_days.find(name);
        if (found == m_days.end()) {
            return;
        }
        Day &copied = found->second;
        if (copies == 0 && copied.committedSequence < sequence) {
            ++m_unprotectedReleases;
            logEvent(LogLevel::Warning, "counts-unprotected", {{"day", name}, {"reason", "no peer holds a copy"}});
        }
        release(copied, sequence);
    });
}

void RequestCounters::release(Day &day, std::uint64_t sequence)
{
    std::deque<PendingRelease> released;
    while (!day.pendingReleases.empty() && day.pendingReleases.front().sequence <= sequence) {
        released.push_back(std::move(day.pendingReleases.front()));
        day.pendingReleases.pop_front();
    }
    for (const PendingRelease &pending : released) {
        pending.release();
    }
}

void RequestCounters::closeOldDays()
{
    const std::string today = m_dayOf(m_hooks.clock.wallNow());
    for (auto &[name, day] : m_days) {
        if (name < today && !day.closing) {
            day.closing = true;
            scheduleFlush(name);
        }
    }
    std::erase_if(m_days, [&today](const auto &item) {
        return item.first < today && item.second.closedInTable && !item.second.flushScheduled
            && !item.second.copyScheduled && !item.second.commitInFlight && item.second.pendingReleases.empty();
    });
}

void RequestCounters::close(std::function<void(bool)> done)
{
    m_onClosed = std::move(done);
    for (auto &[name, day] : m_days) {
        day.closing = true;
        scheduleFlush(name);
    }
    notifyIfClosed();
}

void RequestCounters::notifyIfClosed()
{
    const bool all = std::all_of(m_days.begin(), m_days.end(), [](const auto &item) {
        return item.second.closedInTable && item.second.committedSequence == item.second.sequence;
    });
    if (all && m_onClosed) {
        std::exchange(m_onClosed, nullptr)(true);
    }
}

std::size_t RequestCounters::uncommitted() const
{
    std::size_t total = 0;
    for (const auto &[name, day] : m_days) {
        total += static_cast<std::size_t>(day.sequence - day.committedSequence);
    }
    return total;
}

std::int64_t RequestCounters::unprotectedReleases() const
{
    return m_unprotectedReleases;
}

} // namespace coriander
