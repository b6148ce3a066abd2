#include "corianderscale/Scheduler/Recorder.h"

#include "corianderscale/Support/Log.h"

#include <utility>

namespace coriander {

namespace {

constexpr std::size_t WriteCapacity = 16384;
constexpr std::size_t SnapshotCapacity = 4;
constexpr std::size_t OperationIdBytes = 16;
constexpr Duration QueueWait = std::chrono::milliseconds(50);
constexpr Duration WriteTimeout = std::chrono::seconds(3);

} // namespace

Recorder::Recorder(Store &store, Clock clock, RecorderOutputs outputs)
    : m_store(store)
    , m_clock(std::move(clock))
    , m_outputs(std::move(outputs))
    , m_writes(WriteCapacity)
    , m_snapshots(SnapshotCapacity)
{
}

Recorder::~Recorder()
{
    stop();
}

void Recorder::start()
{
    m_thread = std::make_unique<DutyThread>("recorder", [this] { step(); });
}

void Recorder::stop()
{
    m_thread.reset();
}

void Recorder::write(StoreWrite write)
{
    if (!m_writes.push(write)) {
        m_outputs.written(write, WriteOutcome::Unknown, {});
    }
}

void Recorder::storeSnapshot(Snapshot snapshot)
{
    if (!m_snapshots.push(std::move(snapshot))) {
        logEvent(LogLevel::Warning, "snapshot-skipped", {{"reason", "earlier snapshots are still being written"}});
    }
}

void Recorder::step()
{
    for (std::optional<StoreWrite> write = m_writes.pop(QueueWait); write; write = m_writes.tryPop()) {
        commit(std::move(*write));
    }
    std::optional<Snapshot> newest;
    for (std::optional<Snapshot> next = m_snapshots.tryPop(); next; next = m_snapshots.tryPop()) {
        newest = std::move(next);
    }
    if (newest) {
        putSnapshot(*newest);
    }
}

void Recorder::commit(StoreWrite write)
{
    TableTransaction transaction = write.transaction;
    m_store.commit(std::move(transaction),
                   m_clock.now() + WriteTimeout,
                   [this, write = std::move(write)](const std::optional<TableTransactionResult> &result,
                                                    const CoordinationError &) {
                       if (!result) {
                           m_outputs.written(write, WriteOutcome::Unknown, {});
                           return;
                       }
                       m_outputs.written(write,
                                         result->committed ? WriteOutcome::Committed : WriteOutcome::Conflict,
                                         result->version);
                   });
}

void Recorder::putSnapshot(const Snapshot &snapshot)
{
    m_store.putObject(snapshotObjectKey(snapshot),
                      encodeSnapshot(snapshot),
                      m_clock.now() + WriteTimeout,
                      [this, snapshot](bool done, const CoordinationError &error) {
                          if (!done) {
                              logEvent(LogLevel::Warning, "snapshot-not-written", {{"reason", error.reason}});
                              return;
                          }
                          m_store.read(
                              {snapshotRowKey(snapshot.dataCentre)},
                              m_clock.now() + WriteTimeout,
                              [this, snapshot](const std::optional<TableRows> &rows, const CoordinationError &) {
                                  if (rows) {
                                      writeSnapshotRow(snapshot, rows->rows.front().version);
                                  }
                              });
                      });
}

void Recorder::writeSnapshotRow(const Snapshot &snapshot, RowVersion version)
{
    const std::string key = snapshotRowKey(snapshot.dataCentre);
    const Json value
        = {{"object", snapshotObjectKey(snapshot)}, {"epoch", snapshot.epoch.count()}, {"sequence", snapshot.sequence}};
    TableTransaction transaction;
    transaction.operation = OperationId(randomHex(OperationIdBytes));
    transaction.conditions.push_back({key, version});
    transaction.puts.push_back({key, value.dump()});
    m_store.commit(std::move(transaction),
                   m_clock.now() + WriteTimeout,
                   [](const std::optional<TableTransactionResult> &result, const CoordinationError &error) {
                       if (!result || !result->committed) {
                           logEvent(LogLevel::Warning, "snapshot-row-not-written", {{"reason", error.reason}});
                       }
                   });
}

} // namespace coriander
