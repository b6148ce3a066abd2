#include "corianderscale/Scheduler/TakeoverReader.h"

#include "corianderscale/Support/Log.h"

#include <future>
#include <memory>

namespace coriander {

namespace {

constexpr Duration ReadTimeout = std::chrono::seconds(8);
constexpr int UsageDaysToRead = 3;

template<typename Record>
bool readRows(Store &store,
              const std::string &prefix,
              const Clock &clock,
              std::vector<std::pair<Record, RowVersion>> &records,
              std::string &reason)
{
    CoordinationError error;
    const auto rows = scanAllAndWait(store, prefix, clock.now() + ReadTimeout, error);
    if (!rows) {
        reason = error.reason;
        return false;
    }
    for (const TableRow &row : *rows) {
        ProtocolError invalid;
        if (const auto record = decodeMessage<Record>(row.value, invalid)) {
            records.emplace_back(*record, row.version);
        } else {
            logEvent(LogLevel::Error, "row-invalid", {{"key", row.key}, {"reason", invalid.reason}});
        }
    }
    return true;
}

std::optional<std::string> readObject(Store &store, const std::string &key, const Clock &clock)
{
    const auto result = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = result->get_future();
    store.getObject(
        key, clock.now() + ReadTimeout, [result](std::optional<std::string> content, const CoordinationError &) {
            result->set_value(std::move(content));
        });
    return future.get();
}

std::optional<Snapshot> readSnapshot(Store &store, const DataCentreId &dataCentre, const Clock &clock)
{
    CoordinationError error;
    const auto rows = readAndWait(store, {snapshotRowKey(dataCentre)}, clock.now() + ReadTimeout, error);
    if (!rows || rows->rows.front().version == RowVersion()) {
        return std::nullopt;
    }
    const Json row = Json::parse(rows->rows.front().value, nullptr, false);
    if (!row.is_object() || !row.contains("object") || !row["object"].is_string()) {
        return std::nullopt;
    }
    const std::optional<std::string> content = readObject(store, row["object"].get<std::string>(), clock);
    ProtocolError invalid;
    return content ? decodeSnapshot(*content, invalid) : std::nullopt;
}

} // namespace

std::optional<TakeoverState> readTakeover(
    Store &store, const DataCentreId &dataCentre, const CivilDays &days, const Clock &clock, std::string &reason)
{
    TakeoverState state;
    if (!readRows(store, "jobs/" + dataCentre.value() + "/", clock, state.jobs, reason)) {
        return std::nullopt;
    }
    for (int day = 0; day < UsageDaysToRead; ++day) {
        const std::string prefix = "usage/" + dataCentre.value() + "/" + days.dayBefore(clock.wallNow(), day) + "/";
        if (!readRows(store, prefix, clock, state.usage, reason)) {
            return std::nullopt;
        }
    }
    state.snapshot = readSnapshot(store, dataCentre, clock);
    return state;
}

} // namespace coriander
