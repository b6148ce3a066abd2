#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/Records.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace coriander {

/** Content and version of a row `requests/...` at the time of the read. */
struct RequestSnapshot {
    /** No value when the row is absent. */
    std::optional<RequestRecord> record;
    RowVersion version;
};

enum class PutOutcome {
    Committed,
    /** The table contains a row of another writer; nothing was written. */
    Conflict,
    /** Nothing was written: the store is unavailable. */
    NotWritten,
    /** The write may have taken effect or may still take effect. */
    Unknown,
};

/** Result of a write. */
struct PutResult {
    PutOutcome outcome = PutOutcome::Unknown;
    /** The row and its version, for Committed and Conflict. */
    RequestSnapshot row;
};

using SnapshotDone = std::function<void(std::optional<RequestSnapshot>)>;
using PutDone = std::function<void(const PutResult &)>;

/**
 * Reads and writes the table rows of requests.
 *
 * Reads that arrive while a read is in progress are batched into the next one. After a conflict or a lost answer of a
 * write, the row is read back and its operation id shows which write took effect. Thread safety: the gateway's thread.
 */
class RequestRecords
{
public:
    RequestRecords(GatewayHooks &hooks, Store &store);

    /** Reads a row; no value when the store is unavailable or the row is malformed. */
    void read(const std::string &key, MonotonicTime deadline, SnapshotDone done);

    /** Writes a row if its version is still @p expected. Sets a new operation id in @p record. */
    void put(RequestRecord &record, RowVersion expected, MonotonicTime deadline, PutDone done);

    /** Stores an answer that does not fit into the row; calls @p done with whether it is stored. */
    void putAnswer(const std::string &object, const std::string &answer, std::function<void(bool)> done);
    /** Reads an answer that was stored with putAnswer(); no value when the read failed. */
    void getAnswer(const std::string &object, std::function<void(std::optional<std::string>)> done);

    /** Whether an answer fits into a row and can be stored in JSON unchanged. */
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
    MonotonicTime storeDeadline(MonotonicTime deadline) const;

    GatewayHooks &m_hooks;
    Store &m_store;
    std::deque<PendingRead> m_pending;
    bool m_reading = false;
};

} // namespace coriander
