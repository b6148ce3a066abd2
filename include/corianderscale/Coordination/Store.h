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

/** What can be expected of the platform's store at present. */
enum class StoreState {
    Available,
    /** Answers, but late or refusing part of the work. */
    Slow,
    Away,
};

/**
 * Result of a commit. A value says that the outcome is known: committed, or refused by a condition. Without a value
 * CoordinationCode::StoreAway and OverBudget prove that nothing was written; OutcomeUnknown does not.
 */
using CommitDone = std::function<void(std::optional<TableTransactionResult>, const CoordinationError &)>;
using RowsDone = std::function<void(std::optional<TableRows>, const CoordinationError &)>;
/** The object's content; an object that does not exist is a value of std::nullopt with code None. */
using ObjectDone = std::function<void(std::optional<std::string>, const CoordinationError &)>;
using WriteDone = std::function<void(bool, const CoordinationError &)>;
using VmsDone = std::function<void(std::optional<VmList>, const CoordinationError &)>;

/**
 * The platform's table service, object store and VM list.
 *
 * Completions are called exactly once, at the latest shortly after the deadline, on any thread, and may run inside the
 * call. Thread safety: all methods from any thread.
 */
class Store
{
public:
    virtual ~Store() = default;

    /**
     * Writes a transaction. The implementation may join transactions that have no key in common into one write (group
     * commit); each gets its own result. A lost answer is settled by repeating the same operation id until the
     * deadline.
     */
    virtual void commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done) = 0;

    /** Reads rows; absent ones are returned with version 0. */
    virtual void read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) = 0;

    /** Reads rows by prefix in key order. */
    virtual void scan(TableScan scan, MonotonicTime deadline, RowsDone done) = 0;

    virtual void putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done) = 0;
    virtual void getObject(std::string key, MonotonicTime deadline, ObjectDone done) = 0;
    virtual void listVms(MonotonicTime deadline, VmsDone done) = 0;

    /** What can be expected of the store at present. */
    virtual StoreState state() const = 0;
};

/** @name Waiting variants; precondition: not called on a thread that completes store calls. */
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
/** Reads all rows with the prefix, page by page. */
std::optional<std::vector<TableRow>> scanAllAndWait(Store &store,
                                                    const std::string &prefix,
                                                    MonotonicTime deadline,
                                                    CoordinationError &error);
///@}

} // namespace coriander
