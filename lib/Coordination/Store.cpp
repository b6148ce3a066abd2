#include "corianderscale/Coordination/Store.h"

#include <future>
#include <utility>

namespace coriander {

namespace {

/** Maximum number of rows in one page of a full scan. */
constexpr std::int64_t ScanPageRows = 500;

/** Starts an operation and blocks until its completion has been called. */
template<typename Result, typename Start>
std::optional<Result> waitFor(CoordinationError &error, const Start &start)
{
    const auto promise = std::make_shared<std::promise<std::pair<std::optional<Result>, CoordinationError>>>();
    auto future = promise->get_future();
    start([promise](std::optional<Result> result, const CoordinationError &reason) {
        promise->set_value({std::move(result), reason});
    });
    auto [result, reason] = future.get();
    error = reason;
    return std::move(result);
}

} // namespace

std::optional<TableTransactionResult> commitAndWait(Store &store,
                                                    TableTransaction transaction,
                                                    MonotonicTime deadline,
                                                    CoordinationError &error)
{
    return waitFor<TableTransactionResult>(
        error, [&](CommitDone done) { store.commit(std::move(transaction), deadline, std::move(done)); });
}

std::optional<TableRows> readAndWait(Store &store,
                                     std::vector<std::string> keys,
                                     MonotonicTime deadline,
                                     CoordinationError &error)
{
    return waitFor<TableRows>(error, [&](RowsDone done) { store.read(std::move(keys), deadline, std::move(done)); });
}

std::optional<TableRows> scanAndWait(Store &store, TableScan scan, MonotonicTime deadline, CoordinationError &error)
{
    return waitFor<TableRows>(error, [&](RowsDone done) { store.scan(std::move(scan), deadline, std::move(done)); });
}

std::optional<std::vector<TableRow>> scanAllAndWait(Store &store,
                                                    const std::string &prefix,
                                                    MonotonicTime deadline,
                                                    CoordinationError &error)
{
    std::vector<TableRow> rows;
    TableScan scan{prefix, {}, ScanPageRows};
    for (;;) {
        std::optional<TableRows> page = scanAndWait(store, scan, deadline, error);
        if (!page) {
            return std::nullopt;
        }
        const bool more = page->more && !page->rows.empty();
        std::move(page->rows.begin(), page->rows.end(), std::back_inserter(rows));
        if (!more) {
            return rows;
        }
        scan.after = rows.back().key;
    }
}

} // namespace coriander
