#pragma once

#include "corianderscale/Coordination/CommitGroup.h"
#include "corianderscale/Coordination/StoreCaller.h"

#include <atomic>
#include <mutex>

namespace coriander {

/**
 * Implements Store over the platform protocol. It has no thread of its own; the owner calls poll().
 *
 * CommitGatherer joins commits into groups; StoreCaller enforces the budgets and retries calls. Thread safety: all
 * methods from any thread. Precondition: the sender calls no completion after the engine has been destroyed.
 */
class StoreEngine : public Store
{
public:
    struct Settings {
        StoreCaller::Settings calls;
        /** How long a group of commits stays open for further commits. */
        Duration gatherTime = std::chrono::milliseconds(20);
        /** Maximum number of commits in open groups; further commits are refused. */
        std::size_t maximumWaitingCommits = 8192;
    };

    /** @p wake is called when poll() may have to run earlier than its last return value. */
    StoreEngine(Settings settings, Clock clock, RandomUnit random, StoreSender sender, std::function<void()> wake);

    /** Sets the number of live instances that share the site's budgets; values below 1 count as 1. */
    void setLiveInstances(int instances);

    /**
     * Fails all waiting and all later calls, with StoreUnavailable unless the outcome is unknown. Tries in flight
     * continue.
     */
    void stop();

    /** Number of tries in flight. */
    std::size_t triesInFlight() const;

    /** Sends everything that is due. Returns the latest time at which it must be called again. */
    MonotonicTime poll();

    void commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done) override;
    void read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) override;
    void scan(TableScan scan, MonotonicTime deadline, RowsDone done) override;
    void putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done) override;
    void getObject(std::string key, MonotonicTime deadline, ObjectDone done) override;
    void listVms(MonotonicTime deadline, VmsDone done) override;
    StoreState state() const override;

private:
    using GroupParts = std::shared_ptr<std::vector<CommitPart>>;

    void startCall(HttpRequest request, StoreBudget budget, MonotonicTime deadline, StoreAnswer done);
    void sendTry(const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline);
    void sendGroup(CommitGroup group, MonotonicTime now, DeferredCallbacks &callbacks);
    void finishGroup(const GroupParts &parts,
                     const std::optional<HttpResponse> &response,
                     const CoordinationError &error);
    /** Sends parts again, as one group or each in its own transaction. */
    void resubmit(std::vector<CommitPart> parts, bool separately);
    void readRows(const char *path, std::string body, MonotonicTime deadline, RowsDone done);

    Settings m_settings;
    Clock m_clock;
    StoreSender m_sender;
    std::function<void()> m_wake;
    mutable std::mutex m_mutex;
    CommitGatherer m_gatherer;
    StoreCaller m_caller;
    bool m_stopped = false;
    std::atomic<std::size_t> m_triesInFlight = 0;
};

} // namespace coriander
