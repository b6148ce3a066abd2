#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace coriander {

/** A row `requests/...` as it was read. */
struct RequestSnapshot {
    /** No value when the row is absent. */
    std::optional<RequestRecord> record;
    RowVersion version;
};

enum class PutOutcome {
    Committed,
    /** Another writer's row is there; nothing was written. */
    Conflict,
    /** Nothing was written: the store is away. */
    NotWritten,
    /** The write may have taken effect, or may still do so. */
    Unknown,
};

/** Result of a write. */
struct PutResult {
    PutOutcome outcome = PutOutcome::Unknown;
    /** The row with its version, when committed or in conflict. */
    RequestSnapshot row;
};

using SnapshotDone = std::function<void(std::optional<RequestSnapshot>)>;
using PutDone = std::function<void(const PutResult &)>;

/**
 * Reads and writes the rows of requests.
 *
 * Reads that arrive while one is under way are joined into the next. A write whose answer is lost, and a conflict, are
 * settled by reading the row back and comparing its operation id. Thread safety: the gateway's thread.
 */
class RequestRecords
{
public:
    RequestRecords(GatewayHooks &hooks, Store &store);

    /** Reads a row; no value when the store is away or the row cannot be understood. */
    void read(const std::string &key, MonotonicTime deadline, SnapshotDone done);

    /** Writes a row if its version is still @p expected. A new operation id is put into @p record. */
    void put(RequestRecord &record, RowVersion expected, MonotonicTime deadline, PutDone done);

    /** Stores an answer that is too large for the row; calls @p done with whether it is stored. */
    void putAnswer(const std::string &object, const std::string &answer, std::function<void(bool)> done);
    /** Reads an answer that was stored apart; no value when it cannot be read now. */
    void getAnswer(const std::string &object, std::function<void(std::optional<std::string>)> done);

    /** Whether an answer fits into a row and can stand in JSON unchanged. */
    static bool fitsRow(const std::string &answer);

private:
    struct PendingRead {
        std::string key;
        MonotonicTime deadline;
        SnapshotDone done;
    };

    struct PendingWrite {
        std::string key;
        RequestRecord record;
        RowVersion expected;
        MonotonicTime deadline;
        PutDone done;
    };

    void startRead();
    void finishRead(const std::deque<PendingRead> &batch, const std::optional<TableRows> &rows);
    void finishPut(const PendingWrite &write,
                   const std::optional<TableTransactionResult> &result,
                   const CoordinationError &error);
    MonotonicTime limit(MonotonicTime deadline) const;

    GatewayHooks &m_hooks;
    Store &m_store;
    std::deque<PendingRead> m_pending;
    bool m_reading = false;
};

} // namespace coriander
