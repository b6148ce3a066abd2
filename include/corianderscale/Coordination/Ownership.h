#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Protocol/Records.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace coriander {

/**
 * Ownership of one data centre, recorded in the row `owner/<dc>`. A state machine; the caller passes the current time.
 *
 * All times are those of the monotonic clock of this process; wall clocks are not used. The holder counts its term from
 * the time before it sent the write that began or renewed the term. A challenger takes the row over only after it has
 * seen the row unchanged for a whole term, so the holder's term has ended by then. No instance ever holds an epoch
 * again after it was lost.
 *
 * Thread safety: ownedEpoch() and owner() from any thread, the other methods from one thread. Completions of the hooks
 * may run on any thread, also before the hook returns; they take effect at the next step().
 */
class Ownership
{
public:
    struct Settings {
        DataCentreId dataCentre;
        InstanceId instance;
        /** Base address of this instance's HTTP interface, and `address:port` of its peer streams. */
        std::string address;
        std::string peerAddress;
        /** Duration of a term, counted from the time before the write that begins or renews it. */
        Duration term = std::chrono::seconds(10);
        /** Interval at which the owner renews its term. */
        Duration renewInterval = std::chrono::seconds(3);
        /** Interval at which an instance that is not the owner reads the row. */
        Duration readInterval = std::chrono::seconds(1);
        /** Timeout of one call to the store. */
        Duration callTimeout = std::chrono::seconds(2);
        /** Delay before the next call after one that failed without effect. */
        Duration retryDelay = std::chrono::milliseconds(500);
        /** The holder ends its term this much early, which covers clocks whose rates differ by up to 1%. */
        Duration clockDriftMargin = std::chrono::milliseconds(100);
    };

    struct Hooks {
        std::function<void(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done)> read;
        std::function<void(TableTransaction transaction, MonotonicTime deadline, CommitDone done)> commit;
        /** Called inside step() when ownership begins; may be empty. */
        std::function<void(Epoch epoch)> acquired;
        /** Called inside step() or release() when ownership ends; may be empty. */
        std::function<void(Epoch epoch, const std::string &reason)> lost;
    };

    Ownership(Settings settings, Hooks hooks);

    /** Processes results of the store and starts the calls that are due. Call it several times a second. */
    void step(MonotonicTime now);

    /** Returns the epoch to put into orders, or no value when this instance must not give orders at @p now. */
    std::optional<Epoch> ownedEpoch(MonotonicTime now) const;

    /** Returns the owner named by the row when it was last read; no value if it was not read or does not exist. */
    std::optional<OwnerRecord> owner() const;

    /** Gives up ownership at once. Further steps write the release; this instance does not acquire ownership again. */
    void release(MonotonicTime now);

    /** Whether the release has been written or was not needed. */
    bool released() const;

private:
    enum class Call {
        Read,
        Acquire,
        Renew,
        Release,
    };

    /** Result of a call; filled on a thread of the store. */
    struct Result {
        std::mutex mutex;
        bool filled = false;
        std::optional<TableRows> rows;
        std::optional<TableTransactionResult> commit;
        CoordinationError error;
    };

    struct Pending {
        Call call = Call::Read;
        MonotonicTime sentAt;
        MonotonicTime deadline;
        OwnerRecord record;
        std::shared_ptr<Result> result;
    };

    struct Row {
        RowVersion version;
        std::optional<OwnerRecord> record;
        /** Whether the row exists but cannot be decoded. */
        bool malformed = false;
        /** When this version was first seen. */
        MonotonicTime since;
    };

    struct OwnWrite {
        OperationId operation;
        MonotonicTime sentAt;
    };

    bool processResult(MonotonicTime now);
    void finishRead(const TableRows &rows, MonotonicTime now);
    void finishWrite(const Pending &write, const TableTransactionResult &result, MonotonicTime now);
    void finishFailure(const Pending &call, const CoordinationError &error, MonotonicTime now);
    void observe(Row row, MonotonicTime now);
    void evaluateRow(MonotonicTime now);
    void beginOwnership(Epoch epoch, MonotonicTime validUntil);
    void endOwnership(const std::string &reason);
    bool startNextCall(MonotonicTime now);
    bool startRelease(MonotonicTime now);
    bool canAcquire(MonotonicTime now) const;
    bool isOwnRow() const;
    void startRead(MonotonicTime now);
    void startWrite(Call call, Epoch epoch, MonotonicTime now);

    Settings m_settings;
    Hooks m_hooks;
    std::string m_key;
    std::optional<Pending> m_pending;
    std::optional<Row> m_row;
    /** Recent writes of this instance, to recognise one that took effect although its answer was lost. */
    std::deque<OwnWrite> m_writes;
    /** Whether the row must be read before the next write. */
    bool m_mustRead = true;
    MonotonicTime m_nextRead;
    MonotonicTime m_nextWrite;
    Epoch m_highestHeldEpoch;
    bool m_releasing = false;
    bool m_released = false;

    mutable std::mutex m_mutex;
    std::optional<Epoch> m_epoch;
    MonotonicTime m_validUntil;
    std::optional<OwnerRecord> m_owner;
};

/**
 * Returns hooks that read from and commit to @p store; the other hooks are empty. @p store must outlive the Ownership.
 */
Ownership::Hooks ownershipHooks(Store &store);

} // namespace coriander
