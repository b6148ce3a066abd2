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
 * Ownership of one data centre by the row `owner/<dc>`, as a state machine whose time is passed in.
 *
 * All times are of this process's monotonic clock; wall clocks play no part. The holder counts its term from before it
 * sent the write that began or renewed it. A challenger takes the row only after it has seen it unchanged for a whole
 * term, so the holder's term has ended by then. An epoch that was lost is never held again, by anyone.
 *
 * Thread safety: ownedEpoch() and owner() from any thread, the rest from one thread. Completions of the hooks may come
 * on any thread, also inside the call; they take effect at the next step().
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
        Duration term = std::chrono::seconds(10);
        Duration renewEvery = std::chrono::seconds(3);
        /** How often an instance that does not own looks at the row. */
        Duration readEvery = std::chrono::seconds(1);
        /** How long one call to the store may take. */
        Duration callTime = std::chrono::seconds(2);
        /** Pause after a call that failed without effect. */
        Duration retryAfter = std::chrono::milliseconds(500);
        /** The holder ends its term earlier by this, for clocks whose rates differ by up to 1%. */
        Duration margin = std::chrono::milliseconds(100);
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

    /** Takes results of the store and starts what is due. Call several times a second. */
    void step(MonotonicTime now);

    /** The epoch to put into orders, or no value when this instance may not give any at @p now. */
    std::optional<Epoch> ownedEpoch(MonotonicTime now) const;

    /** The owner that the row last named, if it was read and the row exists. */
    std::optional<OwnerRecord> owner() const;

    /** Gives ownership up at once and hands the row over during further steps; this instance then takes it no more. */
    void release(MonotonicTime now);

    /** Whether a release has been written, or was not needed. */
    bool released() const;

private:
    enum class Call {
        Read,
        Acquire,
        Renew,
        Release,
    };

    /** Result of a call; filled by the store's thread. */
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
        /** Whether the value is present and cannot be read. */
        bool malformed = false;
        /** When this version was first seen. */
        MonotonicTime since;
    };

    struct OwnWrite {
        OperationId operation;
        MonotonicTime sentAt;
    };

    bool takeResult(MonotonicTime now);
    void finishRead(const TableRows &rows, MonotonicTime now);
    void finishWrite(const Pending &write, const TableTransactionResult &result, MonotonicTime now);
    void finishUnknown(const Pending &call, const CoordinationError &error, MonotonicTime now);
    void observe(Row row, MonotonicTime now);
    void judgeRow(MonotonicTime now);
    void begin(Epoch epoch, MonotonicTime validUntil);
    void end(const std::string &reason);
    bool startNext(MonotonicTime now);
    bool startRelease(MonotonicTime now);
    bool mayTake(MonotonicTime now) const;
    bool rowIsOurs() const;
    void startRead(MonotonicTime now);
    void startWrite(Call call, Epoch epoch, MonotonicTime now);

    Settings m_settings;
    Hooks m_hooks;
    std::string m_key;
    std::optional<Pending> m_pending;
    std::optional<Row> m_row;
    /** Own writes of late, to recognise one that took effect although its answer was lost. */
    std::deque<OwnWrite> m_writes;
    /** Whether the row has to be read before anything is written. */
    bool m_mustRead = true;
    MonotonicTime m_nextRead;
    MonotonicTime m_nextWrite;
    Epoch m_highestHeld;
    bool m_releasing = false;
    bool m_released = false;

    mutable std::mutex m_mutex;
    std::optional<Epoch> m_epoch;
    MonotonicTime m_validUntil;
    std::optional<OwnerRecord> m_owner;
};

/** Hooks that use a store; the other hooks are empty. @p store must outlive the Ownership. */
Ownership::Hooks ownershipHooks(Store &store);

} // namespace coriander
