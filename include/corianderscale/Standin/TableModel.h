#pragma once

#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Support/Time.h"

#include <deque>
#include <map>
#include <string>

namespace coriander {

/**
 * In-memory model of the platform's transactional table, for the stand-in and for fakes in tests.
 *
 * Thread safety: not thread safe; the caller serialises access.
 */
class TableModel
{
public:
    /**
     * Applies a transaction. Idempotent: a repeated operation returns the outcome of its first call for ten minutes.
     */
    TableTransactionResult commit(const TableTransaction &transaction, MonotonicTime now);

    /** Returns one row for each key; a missing row has version 0. */
    TableRows read(const TableRead &request) const;

    /** Returns the rows with the requested prefix in key order, one page per call. */
    TableRows scan(const TableScan &request) const;

private:
    struct VersionedValue {
        std::string value;
        RowVersion version;
    };

    struct OutcomeExpiry {
        MonotonicTime expiresAt;
        OperationId operation;
    };

    void removeExpiredOutcomes(MonotonicTime now);

    std::map<std::string, VersionedValue> m_rows;
    std::map<OperationId, TableTransactionResult> m_outcomes;
    std::deque<OutcomeExpiry> m_outcomeExpiries;
    RowVersion m_lastVersion;
};

} // namespace coriander
