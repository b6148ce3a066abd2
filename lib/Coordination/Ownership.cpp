#include "corianderscale/Coordination/Ownership.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t OperationRandomBytes = 16;

/** Number of own writes that are remembered; more than can be in flight within a term. */
constexpr std::size_t MaximumRememberedWrites = 32;

/** Time after the deadline in which the store may still answer. After it, the outcome of the call counts as unknown. */
constexpr Duration AnswerGraceTime = std::chrono::seconds(1);

/** Maximum number of calls that one step starts when the store answers before the hook returns. */
constexpr int CallsPerStep = 4;

} // namespace

Ownership::Ownership(Settings settings, Hooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_key(ownerRowKey(m_settings.dataCentre))
{
    assert(m_settings.renewInterval + m_settings.clockDriftMargin < m_settings.term
           && "a term must be renewed before it ends");
}

void Ownership::step(MonotonicTime now)
{
    for (int i = 0; i < CallsPerStep; ++i) {
        const bool isIdle = processResult(now);
        if (m_epoch && now >= m_validUntil) {
            endOwnership("the term ended before it was renewed");
        }
        if (!isIdle || !startNextCall(now)) {
            return;
        }
    }
}

std::optional<Epoch> Ownership::ownedEpoch(MonotonicTime now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_epoch && now < m_validUntil ? m_epoch : std::nullopt;
}

std::optional<OwnerRecord> Ownership::owner() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_owner;
}

void Ownership::release(MonotonicTime now)
{
    if (m_releasing) {
        return;
    }
    m_releasing = true;
    if (m_epoch) {
        endOwnership("released");
    }
    m_nextWrite = now;
}

bool Ownership::released() const
{
    return m_released;
}

/** Processes the result of the pending call, if any. Returns whether no call is pending. */
bool Ownership::processResult(MonotonicTime now)
{
    if (!m_pending) {
        return true;
    }
    const std::shared_ptr<Result> result = m_pending->result;
    const std::lock_guard<std::mutex> lock(result->mutex);
    if (!result->filled && now < m_pending->deadline + AnswerGraceTime) {
        return false;
    }
    const Pending call = *std::exchange(m_pending, std::nullopt);
    if (result->rows) {
        finishRead(*result->rows, now);
    } else if (result->commit) {
        finishWrite(call, *result->commit, now);
    } else if (result->filled) {
        finishFailure(call, result->error, now);
    } else {
        finishFailure(call, {CoordinationCode::OutcomeUnknown, "the store did not answer before its deadline"}, now);
    }
    return true;
}

void Ownership::finishRead(const TableRows &rows, MonotonicTime now)
{
    m_nextRead = now + m_settings.readInterval;
    const auto found
        = std::find_if(rows.rows.begin(), rows.rows.end(), [this](const TableRow &row) { return row.key == m_key; });
    Row row;
    row.since = now;
    if (found != rows.rows.end() && found->version != RowVersion(0)) {
        row.version = found->version;
        ProtocolError fault;
        row.record = decodeMessage<OwnerRecord>(found->value, fault);
        row.malformed = !row.record;
        if (row.malformed) {
            logEvent(LogLevel::Error, "owner-row-malformed", {{"key", m_key}, {"reason", fault.reason}});
        }
    }
    m_mustRead = false;
    observe(std::move(row), now);
}

void Ownership::observe(Row row, MonotonicTime now)
{
    if (!m_row || m_row->version != row.version) {
        m_row = std::move(row);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_owner = m_row->record;
    }
    evaluateRow(now);
}

/** Updates ownership from the row: an own write has taken effect, or another instance is the owner. */
void Ownership::evaluateRow(MonotonicTime now)
{
    const std::optional<OwnerRecord> &record = m_row->record;
    if (!isOwnRow() || record->released) {
        if (m_epoch) {
            endOwnership("another instance became the owner");
        }
        return;
    }
    const auto write = std::find_if(
        m_writes.begin(), m_writes.end(), [&](const OwnWrite &own) { return own.operation == record->operation; });
    if (write == m_writes.end() || m_releasing) {
        return;
    }
    const MonotonicTime validUntil = write->sentAt + m_settings.term - m_settings.clockDriftMargin;
    if (m_epoch == record->epoch) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_validUntil = std::max(m_validUntil, validUntil);
    } else if (!m_epoch && record->epoch > m_highestHeldEpoch && now < validUntil) {
        beginOwnership(record->epoch, validUntil);
        m_nextWrite = now + m_settings.renewInterval;
    }
}

void Ownership::beginOwnership(Epoch epoch, MonotonicTime validUntil)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_epoch = epoch;
        m_validUntil = validUntil;
    }
    m_highestHeldEpoch = epoch;
    logEvent(LogLevel::Info, "ownership-acquired", {{"data_centre", m_settings.dataCentre}, {"epoch", epoch}});
    if (m_hooks.acquired) {
        m_hooks.acquired(epoch);
    }
}

void Ownership::endOwnership(const std::string &reason)
{
    const Epoch epoch = *m_epoch;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_epoch.reset();
    }
    m_mustRead = true;
    logEvent(LogLevel::Info,
             "ownership-ended",
             {{"data_centre", m_settings.dataCentre}, {"epoch", epoch}, {"reason", reason}});
    if (m_hooks.lost) {
        m_hooks.lost(epoch, reason);
    }
}

void Ownership::finishWrite(const Pending &write, const TableTransactionResult &result, MonotonicTime now)
{
    if (!result.committed) {
        // The row was changed by another instance, or by an earlier write of this instance whose answer was lost.
        m_mustRead = true;
        m_nextRead = now;
        return;
    }
    Row row;
    row.version = result.version;
    row.record = write.record;
    row.since = now;
    m_nextWrite = now + m_settings.renewInterval;
    if (write.call == Call::Renew) {
        m_nextWrite = write.sentAt + m_settings.renewInterval;
    }
    observe(std::move(row), now);
}

void Ownership::finishFailure(const Pending &call, const CoordinationError &error, MonotonicTime now)
{
    const bool isOutcomeUnknown = call.call != Call::Read && error.code != CoordinationCode::StoreUnavailable
        && error.code != CoordinationCode::OverBudget;
    m_mustRead = m_mustRead || isOutcomeUnknown;
    m_nextRead = now + (isOutcomeUnknown ? Duration(0) : m_settings.retryDelay);
    m_nextWrite = now + m_settings.retryDelay;
}

/** Returns whether a call was started. */
bool Ownership::startNextCall(MonotonicTime now)
{
    if (m_released) {
        return false;
    }
    if (m_releasing && m_writes.empty()) {
        m_released = true;
        return false;
    }
    if (!m_row || m_mustRead) {
        if (now < m_nextRead) {
            return false;
        }
        startRead(now);
        return true;
    }
    if (m_releasing) {
        return startRelease(now);
    }
    if (m_epoch) {
        if (now >= m_nextWrite) {
            startWrite(Call::Renew, *m_epoch, now);
            return true;
        }
        return false;
    }
    if (now >= m_nextWrite && canAcquire(now)) {
        startWrite(Call::Acquire, (m_row->record ? m_row->record->epoch : Epoch(0)) + Epoch(1), now);
        return true;
    }
    if (now >= m_nextRead) {
        startRead(now);
        return true;
    }
    return false;
}

bool Ownership::startRelease(MonotonicTime now)
{
    if (!isOwnRow() || m_row->record->released) {
        m_released = true;
        return false;
    }
    if (now < m_nextWrite) {
        return false;
    }
    startWrite(Call::Release, m_row->record->epoch, now);
    return true;
}

bool Ownership::canAcquire(MonotonicTime now) const
{
    if (m_row->malformed) {
        return false;
    }
    if (!m_row->record || m_row->record->released || isOwnRow()) {
        return true;
    }
    return now - m_row->since >= std::chrono::milliseconds(m_row->record->termMs);
}

bool Ownership::isOwnRow() const
{
    return m_row && m_row->record && m_row->record->owner == m_settings.instance;
}

void Ownership::startRead(MonotonicTime now)
{
    auto result = std::make_shared<Result>();
    m_pending = Pending{Call::Read, now, now + m_settings.callTimeout, {}, result};
    m_nextRead = now + m_settings.readInterval;
    m_hooks.read({m_key}, m_pending->deadline, [result](std::optional<TableRows> rows, const CoordinationError &error) {
        const std::lock_guard<std::mutex> lock(result->mutex);
        result->filled = true;
        result->rows = std::move(rows);
        result->error = error;
    });
}

void Ownership::startWrite(Call call, Epoch epoch, MonotonicTime now)
{
    OwnerRecord record;
    record.owner = m_settings.instance;
    record.epoch = epoch;
    record.address = m_settings.address;
    record.peerAddress = m_settings.peerAddress;
    record.termMs = std::chrono::ceil<std::chrono::milliseconds>(m_settings.term).count();
    record.released = call == Call::Release;
    record.operation = OperationId(randomHex(OperationRandomBytes));
    m_writes.push_back({record.operation, now});
    if (m_writes.size() > MaximumRememberedWrites) {
        m_writes.pop_front();
    }
    auto result = std::make_shared<Result>();
    m_pending = Pending{call, now, now + m_settings.callTimeout, record, result};
    m_hooks.commit({record.operation, {{m_key, m_row->version}}, {{m_key, encodeMessage(record)}}, {}},
                   m_pending->deadline,
                   [result](std::optional<TableTransactionResult> commit, const CoordinationError &error) {
                       const std::lock_guard<std::mutex> lock(result->mutex);
                       result->filled = true;
                       result->commit = std::move(commit);
                       result->error = error;
                   });
}

Ownership::Hooks ownershipHooks(Store &store)
{
    Ownership::Hooks hooks;
    hooks.read = [&store](std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) {
        store.read(std::move(keys), deadline, std::move(done));
    };
    hooks.commit = [&store](TableTransaction transaction, MonotonicTime deadline, CommitDone done) {
        store.commit(std::move(transaction), deadline, std::move(done));
    };
    return hooks;
}

} // namespace coriander
