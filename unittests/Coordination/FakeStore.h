#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Standin/TableModel.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace coriander {

/** Fault that a FakeStore applies to one call. */
enum class StoreFault {
    None,
    /** The call has no effect, and the caller is told so. */
    Unavailable,
    /** The call has no effect; the caller gets no answer and cannot know that. */
    RequestLost,
    /** The call takes effect; the caller gets no answer. */
    AnswerLost,
};

/**
 * Store that answers at once from memory; a hook chooses the faults.
 *
 * The hook receives the name of the operation (`commit`, `read`, `scan`, `putObject`, `getObject`, `listVms`) and, for
 * commits, the operation id of the transaction.
 */
class FakeStore : public Store
{
public:
    using FaultHook = std::function<StoreFault(const std::string &operation, const OperationId &id)>;

    explicit FakeStore(Clock clock)
        : m_clock(std::move(clock))
    {
    }

    /** Sets the hook that chooses the fault of each call; without a hook there are no faults. */
    void setFaults(FaultHook hook)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults = std::move(hook);
    }

    void setVms(VmList vms)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_vms = std::move(vms);
    }

    /** Number of transactions that reached the table. */
    int commits() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_commits;
    }

    /** Returns the value of a row, or an empty text when the row does not exist. */
    std::string value(const std::string &key) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_table.read({{key}}).rows.front().value;
    }

    void commit(TableTransaction transaction, MonotonicTime, CommitDone done) override
    {
        const StoreFault fault = faultOf("commit", transaction.operation);
        if (fault == StoreFault::Unavailable) {
            done(std::nullopt, {CoordinationCode::StoreUnavailable, "store unavailable"});
            return;
        }
        std::optional<TableTransactionResult> result;
        if (fault != StoreFault::RequestLost) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_commits;
            result = m_table.commit(transaction, m_clock.now());
        }
        if (fault != StoreFault::None) {
            done(std::nullopt, {CoordinationCode::OutcomeUnknown, "no answer"});
            return;
        }
        done(result, {});
    }

    void read(std::vector<std::string> keys, MonotonicTime, RowsDone done) override
    {
        if (!checkReachable("read", done)) {
            return;
        }
        done(runLocked([&] { return m_table.read({std::move(keys)}); }), {});
    }

    void scan(TableScan scan, MonotonicTime, RowsDone done) override
    {
        if (!checkReachable("scan", done)) {
            return;
        }
        done(runLocked([&] { return m_table.scan(scan); }), {});
    }

    void putObject(std::string key, std::string content, MonotonicTime, WriteDone done) override
    {
        const StoreFault fault = faultOf("putObject", {});
        if (fault == StoreFault::None || fault == StoreFault::AnswerLost) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_objects[key] = std::move(content);
        }
        done(fault == StoreFault::None, fault == StoreFault::None ? CoordinationError() : unavailableError());
    }

    void getObject(std::string key, MonotonicTime, ObjectDone done) override
    {
        if (faultOf("getObject", {}) != StoreFault::None) {
            done(std::nullopt, unavailableError());
            return;
        }
        done(runLocked([&] {
                 const auto object = m_objects.find(key);
                 return object == m_objects.end() ? std::nullopt : std::optional<std::string>(object->second);
             }),
             {});
    }

    void listVms(MonotonicTime, VmsDone done) override
    {
        if (!checkReachable("listVms", done)) {
            return;
        }
        done(runLocked([&] { return m_vms; }), {});
    }

    StoreState state() const override
    {
        return StoreState::Available;
    }

private:
    static CoordinationError unavailableError()
    {
        return {CoordinationCode::StoreUnavailable, "store unavailable"};
    }

    StoreFault faultOf(const std::string &operation, const OperationId &id)
    {
        FaultHook hook;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            hook = m_faults;
        }
        return hook ? hook(operation, id) : StoreFault::None;
    }

    template<typename Done>
    bool checkReachable(const std::string &operation, const Done &done)
    {
        if (faultOf(operation, {}) == StoreFault::None) {
            return true;
        }
        done(std::nullopt, unavailableError());
        return false;
    }

    template<typename Action>
    auto runLocked(const Action &action) -> decltype(action())
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return action();
    }

    Clock m_clock;
    mutable std::mutex m_mutex;
    TableModel m_table;
    std::map<std::string, std::string> m_objects;
    VmList m_vms;
    FaultHook m_faults;
    int m_commits = 0;
};

} // namespace coriander
