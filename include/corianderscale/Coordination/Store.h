#pragma once

#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** Current condition of the platform's store. */
enum class StoreState {
    Available,
    /** Answers slowly, or refuses some calls. */
    Slow,
    /** Does not answer. */
    Unavailable,
};

/**
 * Receives the result of a commit. A value means that the outcome is known: committed, or refused by a condition.
 * Without a value, CoordinationCode::StoreUnavailable and OverBudget guarantee that nothing was written, whereas after
 * OutcomeUnknown the transaction may have been written.
 */
using CommitDone = std::function<void(std::optional<TableTransactionResult>, const CoordinationError &)>;
using RowsDone = std::function<void(std::optional<TableRows>, const CoordinationError &)>;
/** Receives the content of the object. For an object that does not exist there is no content, and the code is None. */
using ObjectDone = std::function<void(std::optional<std::string>, const CoordinationError &)>;
using WriteDone = std::function<void(bool, const CoordinationError &)>;
using VmsDone = std::function<void(std::optional<VmList>, const CoordinationError &)>;

/**
 * The platform's table service, object store and VM list.
 *
 * Each completion is called exactly once, on any thread, no later than shortly after the deadline. It may run before
 * the method returns. Thread safety: all methods from any thread.
 */
class Store
{
public:
    virtual ~Store() = default;

    /**
     * Writes a transaction. The implementation may join transactions that share no key into one write (group commit);
     * each still gets its own result. If an answer is lost, the implementation repeats the transaction with the same
     * operation id until the deadline.
     */
    virtual void commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done) = 0;

    /** Reads rows; a row that does not exist is returned with version 0. */
    virtual void read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) = 0;

    /** Reads rows by prefix in key order. */
    virtual void scan(TableScan scan, MonotonicTime deadline, RowsDone done) = 0;

    virtual void putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done) = 0;
    virtual void getObject(std::string key, MonotonicTime deadline, ObjectDone done) = 0;
    virtual void listVms(MonotonicTime deadline, VmsDone done) = 0;

    /** Current condition of the store. */
    virtual StoreState state() const = 0;
};

/** @name Blocking variants. Precondition: not called on a thread that runs completions of the store. */
///@{
std::optional<TableTransactionResult> commitAndWait(Store &store,
                                                    TableTransaction transaction,
                                                    MonotonicTime deadline,
                                                    CoordinationError &error);
std::optional<TableRows> readAndWait(Store &store,
                                     std::vector<std::string> keys,
                                     MonotonicTime deadline,
                                     CoordinationError &error);
std::optional<TableRows> scanAndWait(Store &store, TableScan scan, MonotonicTime deadline, CoordinationError &error);
/** Reads all rows whose keys start with the prefix, page by page. */
std::optional<std::vector<TableRow>> scanAllAndWait(Store &store,
                                                    const std::string &prefix,
                                                    MonotonicTime deadline,
                                                    CoordinationError &error);
///@}

} // namespace coriander
