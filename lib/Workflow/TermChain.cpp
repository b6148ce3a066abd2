#include "corianderscale/Workflow/TermChain.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Entries of each write for the row of the term: an expectation and a written row. */
constexpr std::size_t TermEntries = 2;
/** More than the size of an encoded TermRecord. */
constexpr std::size_t TermBytes = 1000;

/** Limits of a change that is stored together with the row of the term. */
ChangeLimits limitsBesideTerm()
{
    ChangeLimits limits;
    limits.entries -= TermEntries;
    limits.valueBytes -= TermBytes;
    return limits;
}

std::size_t valueBytes(const RowChange &change)
{
    std::size_t bytes = 0;
    for (const Row &row : change.written) {
        bytes += row.value.size();
    }
    return bytes;
}

} // namespace

TermChain::TermChain(TermTimes times, Clock clock, InstanceId instance, RowStore &store, Hooks hooks)
    : m_times(times)
    , m_clock(std::move(clock))
    , m_instance(std::move(instance))
    , m_store(store)
    , m_hooks(std::move(hooks))
{
}

TermChain::~TermChain() = default;

std::optional<Epoch> TermChain::owned() const
{
    if (m_role != Role::Owner) {
        return std::nullopt;
    }
    return m_record.epoch;
}

bool TermChain::releasing() const
{
    return m_role == Role::Releasing || (m_releaseWanted && m_role == Role::Owner);
}

bool TermChain::backlogFull() const
{
    return m_record.backlogFull;
}

void TermChain::release(const std::string &reason)
{
    m_paused = true;
    if (m_role == Role::Owner) {
        m_releaseWanted = true;
        logEvent(LogLevel::Info, "term-release-wanted", {{"epoch", m_record.epoch}, {"reason", reason}});
        step();
    }
}

void TermChain::resume()
{
    m_paused = false;
}

void TermChain::step()
{
    const MonotonicTime now = m_clock.now();
    if (m_role == Role::Owner && now > m_lastStoredAt + m_times.confirmationTimeout) {
        endTerm("no write was confirmed within the limit");
    }
    if (m_write) {
        if (isWriteDue(now)) {
            sendWrite();
        }
        return;
    }
    if (m_readInFlight || now < m_nextCallAt) {
        return;
    }
    if (m_role == Role::Follower) {
        startRead();
        return;
    }
    if (m_role != Role::Owner || now < m_lastStoredAt + m_times.minimumWriteInterval) {
        return;
    }
    if (m_releaseWanted) {
        m_releaseWanted = false;
        m_role = Role::Releasing;
        m_hooks.lost("released");
        startWrite({}, false);
        return;
    }
    std::optional<RowChange> change = m_hooks.nextChange(limitsBesideTerm());
    if (change) {
        startWrite(std::move(*change), true);
        return;
    }
    if (now >= m_lastStoredAt + m_times.heartbeatInterval) {
        startWrite({}, false);
    }
}

void TermChain::startRead()
{
    m_readInFlight = true;
    m_readSentAt = m_clock.now();
    m_store.read(OwnerTable,
                 OwnerKey,
                 keyAfter(OwnerKey),
                 m_times.readTimeout,
                 [this, alive = std::weak_ptr<int>(m_alive)](const std::optional<RowPage> &page, const StateError &) {
                     if (alive.lock()) {
                         finishRead(page);
                     }
                 });
}

void TermChain::finishRead(const std::optional<RowPage> &page)
{
    const MonotonicTime now = m_clock.now();
    m_readInFlight = false;
    m_nextCallAt = now + (page ? m_times.readInterval + m_times.followerDelay : m_times.retryAfter);
    if (!page) {
        m_readFailed = true;
        return;
    }
    m_readTook = now - m_readSentAt;
    if (page->rows.empty()) {
        observe(RowVersion(0), TermRecord{});
        return;
    }
    ProtocolError error;
    const std::optional<TermRecord> record = decodeTerm(page->rows.front().value, error);
    if (!record) {
        m_readFailed = true;
        logEvent(LogLevel::Error, "term-row-unreadable", {{"reason", error.reason}});
        return;
    }
    observe(page->rows.front().version, record);
}

void TermChain::observe(RowVersion version, const std::optional<TermRecord> &record)
{
    const MonotonicTime now = m_clock.now();
    if (!m_termRowRead || m_readFailed || version != m_version) {
        m_unchangedSince = now;
    }
    m_termRowRead = true;
    m_readFailed = false;
    m_version = version;
    m_record = *record;
    const bool free = m_record.holder.empty() || heldByEarlierProcess();
    const Duration silence = m_times.silenceTimeout + m_times.silencePerReadTime * m_readTook;
    const Duration wait = m_times.followerDelay + (free ? Duration(0) : silence);
    if (!m_paused && now - m_unchangedSince >= wait && m_hooks.mayTake()) {
        takeTerm();
    }
}

bool TermChain::heldByEarlierProcess() const
{
    const std::string &holder = m_record.holder.value();
    const std::string &own = m_instance.value();
    const std::size_t nodePrefixLength = own.find('/') + 1;
    return holder != own && holder.compare(0, nodePrefixLength, own, 0, nodePrefixLength) == 0;
}

std::optional<RowChange> TermChain::releaseForOthers() const
{
    if (m_role != Role::Owner) {
        return std::nullopt;
    }
    TermRecord released = m_record;
    released.holder = InstanceId();
    // Expects the version of the last stored write. If a later write of this owner takes effect first, the release
    // conflicts; if the release does, the later write conflicts.
    RowChange change;
    change.expected.push_back({OwnerTable, OwnerKey, m_version});
    change.written.push_back({OwnerTable, OwnerKey, encodeTerm(released), {}, false});
    return change;
}

void TermChain::endReleasedTerm()
{
    if (m_role == Role::Owner) {
        endTerm("released through another instance");
    }
}

void TermChain::endSupersededTerm()
{
    if (m_role == Role::Owner) {
        endTerm("a worker has seen a higher epoch");
    }
}

void TermChain::takeTerm()
{
    logEvent(LogLevel::Info,
             "term-taking",
             {{"epoch", m_record.epoch.count() + 1},
              {"from", m_record.holder},
              {"unchanged_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_unchangedSince).count()},
              {"read_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_readTook).count()}});
    m_role = Role::Taking;
    startWrite({}, false);
}

void TermChain::startWrite(RowChange change, bool hasHookRows)
{
    m_writtenRecord = m_record;
    ++m_writtenRecord.sequence;
    if (m_role == Role::Taking) {
        m_writtenRecord = {m_instance, m_record.epoch + Epoch(1), 1, m_record.backlogFull};
    } else if (m_role == Role::Releasing) {
        m_writtenRecord.holder = InstanceId();
    }
    if (m_role == Role::Owner && m_hooks.backlogFull) {
        m_writtenRecord.backlogFull = m_hooks.backlogFull().value_or(m_record.backlogFull);
    }
    change.expected.push_back({OwnerTable, OwnerKey, m_version});
    change.written.push_back({OwnerTable, OwnerKey, encodeTerm(m_writtenRecord), {}, false});
    m_write = std::move(change);
    ++m_writeNumber;
    m_sendingsInFlight = 0;
    m_writeHasHookRows = hasHookRows;
    sendWrite();
}

bool TermChain::isWriteDue(MonotonicTime now) const
{
    return now >= (m_sendingsInFlight > 0 ? m_resendAt : m_nextCallAt);
}

void TermChain::sendWrite()
{
    const MonotonicTime now = m_clock.now();
    ++m_sendingsInFlight;
    m_resendAt = now + m_times.resendAfter;
    m_store.change(
        *m_write,
        m_times.writeTimeout,
        [this, alive = std::weak_ptr<int>(m_alive), write = m_writeNumber, sentAt = now](const ChangeResult &result) {
            if (alive.lock()) {
                finishWrite(write, sentAt, result);
            }
        });
}

void TermChain::finishWrite(std::uint64_t write, MonotonicTime sentAt, const ChangeResult &result)
{
    if (!m_write || write != m_writeNumber) {
        return;
    }
    --m_sendingsInFlight;
    switch (result.outcome) {
    case ChangeOutcome::Committed:
        writeStored(result.version, sentAt);
        return;
    case ChangeOutcome::Conflict:
        writeConflict(result.current, sentAt);
        return;
    case ChangeOutcome::NotDone:
    case ChangeOutcome::Unknown:
        break;
    }
    m_nextCallAt = m_clock.now() + m_times.retryAfter;
    if (m_openWriteLogged) {
        return;
    }
    m_openWriteLogged = true;
    logEvent(LogLevel::Warning,
             "term-write-open",
             {{"epoch", m_writtenRecord.epoch},
              {"sequence", m_writtenRecord.sequence},
              {"unknown", result.outcome == ChangeOutcome::Unknown},
              {"entries", m_write->expected.size() + m_write->written.size() + m_write->removed.size()},
              {"bytes", valueBytes(*m_write)},
              {"reason", result.reason}});
}

bool TermChain::isOwnWrite(const std::vector<Row> &current, RowVersion &version) const
{
    for (const Row &row : current) {
        if (row.table != OwnerTable || row.key != OwnerKey) {
            continue;
        }
        ProtocolError error;
        const std::optional<TermRecord> record = decodeTerm(row.value, error);
        version = row.version;
        return record && record->holder == m_writtenRecord.holder && record->epoch == m_writtenRecord.epoch
            && record->sequence == m_writtenRecord.sequence;
    }
    return false;
}

void TermChain::writeConflict(const std::vector<Row> &current, MonotonicTime sentAt)
{
    RowVersion version;
    if (isOwnWrite(current, version)) {
        writeStored(version, sentAt);
        return;
    }
    m_write.reset();
    if (m_role == Role::Owner) {
        endTerm("another instance took the term");
        return;
    }
    m_role = Role::Follower;
    m_termRowRead = false;
    m_nextCallAt = m_clock.now() + m_times.readInterval;
}

void TermChain::writeStored(RowVersion version, MonotonicTime sentAt)
{
    m_write.reset();
    if (m_openWriteLogged) {
        m_openWriteLogged = false;
        logEvent(LogLevel::Info,
                 "term-write-settled",
                 {{"epoch", m_writtenRecord.epoch}, {"sequence", m_writtenRecord.sequence}, {"version", version}});
    }
    m_version = version;
    m_record = m_writtenRecord;
    m_lastStoredAt = m_clock.now();
    m_nextCallAt = m_lastStoredAt;
    if (m_role == Role::Taking) {
        m_role = Role::Owner;
        logEvent(LogLevel::Info, "term-won", {{"epoch", m_record.epoch}, {"version", version}});
        m_hooks.won(m_record.epoch);
        m_hooks.confirmed(sentAt);
        return;
    }
    if (m_role == Role::Releasing) {
        m_role = Role::Follower;
        m_termRowRead = false;
        logEvent(LogLevel::Info, "term-released", {{"epoch", m_record.epoch}});
        return;
    }
    m_hooks.confirmed(sentAt);
    if (m_writeHasHookRows) {
        m_hooks.changeStored();
    }
    step();
}

void TermChain::endTerm(const std::string &reason)
{
    logEvent(LogLevel::Warning, "term-lost", {{"epoch", m_record.epoch}, {"reason", reason}});
    m_role = Role::Follower;
    m_write.reset();
    m_termRowRead = false;
    m_releaseWanted = false;
    m_nextCallAt = m_clock.now() + m_times.readInterval;
    m_hooks.lost(reason);
}

} // namespace coriander::workflow
