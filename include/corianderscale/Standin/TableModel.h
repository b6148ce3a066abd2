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
    struct Value {
        std::string value;
        RowVersion version;
    };

    struct Applied {
        MonotonicTime forgetAt;
        OperationId operation;
    };

    void forgetOldOperations(MonotonicTime now);

    std::map<std::string, Value> m_rows;
    std::map<OperationId, TableTransactionResult> m_outcomes;
    std::deque<Applied> m_applied;
    RowVersion m_lastVersion;
};

} // namespace coriander
