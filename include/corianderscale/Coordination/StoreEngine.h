#pragma once

#include "corianderscale/Coordination/CommitGroup.h"
#include "corianderscale/Coordination/StoreCaller.h"

#include <atomic>
#include <mutex>

namespace coriander {

/**
 * The Store interface over the platform protocol, without a thread of its own: poll() moves it forward.
 *
 * Commits of one call go through group commit, budgets and tries; see CommitGatherer and StoreCaller. Thread safety:
 * all methods from any thread. Precondition: the sender calls no completion after the engine's end.
 */
class StoreEngine : public Store
{
public:
    struct Settings {
        StoreCaller::Settings calls;
        /** How long a commit waits for others to join it. */
        Duration gatherTime = std::chrono::milliseconds(20);
        /** Commits waiting to be grouped; more are refused. */
        std::size_t maximumCommits = 8192;
    };

    /** @p wake is called when poll() has to run earlier than it last said. */
    StoreEngine(Settings settings, Clock clock, RandomUnit random, StoreSender sender, std::function<void()> wake);

    /** Divides the site's budget among @p instances; at least 1. */
    void setLiveInstances(int instances);

    /** Fails what waits and everything later with StoreAway; tries in flight end by themselves. */
    void stop();

    /** Number of tries in flight. */
    std::size_t triesInFlight() const;

    /** Does what is due and returns when it must be called again at the latest. */
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
    void launch(const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline);
    void sendGroup(CommitGroup group, MonotonicTime now, Effects &effects);
    void finishGroup(const GroupParts &parts,
                     const std::optional<HttpResponse> &response,
                     const CoordinationError &error);
    /** Writes parts again, together or each in a transaction of its own. */
    void regroup(std::vector<CommitPart> parts, bool singly);
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
