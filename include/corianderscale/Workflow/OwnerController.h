#pragma once

#include "corianderscale/Workflow/EvacuationFollower.h"
#include "corianderscale/Workflow/JobEngine.h"
#include "corianderscale/Workflow/StateSweeper.h"
#include "corianderscale/Workflow/TableFollower.h"
#include "corianderscale/Workflow/TermChain.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** Table of the store in which workers register, and the decoder of its rows. */
struct DiscoverySource {
    std::string table;
    /** The report in a row, or no value and the reason if the row does not describe a worker. */
    std::function<std::optional<WorkerReport>(const Row &, ProtocolError &)> decode;
};

struct OwnerTimes {
    TermTimes term;
    EngineTimes engine;
    StateSweeper::Times sweeper;
    EvacuationFollower::Times evacuations;
    /** Time between two steps of the engine and the election. */
    Duration stepInterval = std::chrono::milliseconds(50);
    /** An owner whose step is later than this places no work for @c lateOwnerPause. The members of a gang must all
     * start within some seconds, and leases must be renewed in time. */
    Duration maximumLateness = std::chrono::milliseconds(250);
    Duration lateOwnerPause = std::chrono::milliseconds(500);
    /** Pause between two reads of the discovery table; workers report every 1.5 s. */
    Duration discoveryInterval = std::chrono::milliseconds(500);
    /** An owner releases the term when more than half of its workers do not answer for this long. */
    Duration isolationTimeout = std::chrono::seconds(2);
    /** How long an owner that released the term for this reason does not take it again. */
    Duration isolationPause = std::chrono::seconds(10);
};

/**
 * Takes part in the election. While this instance owns the term, restores the stored state and runs the engine.
 *
 * Thread safety: only on the thread of the event loop.
 */
class OwnerController
{
public:
    OwnerController(boost::asio::io_context &loop,
                    OwnerTimes times,
                    Clock clock,
                    InstanceId instance,
                    RowStore &store,
                    WorkerOrders &orders,
                    Advisor *advisor,
                    DiscoverySource discovery,
                    EvacuationSource evacuations);
    ~OwnerController();
    OwnerController(const OwnerController &) = delete;
    OwnerController &operator=(const OwnerController &) = delete;

    void start();
    void setCatalogue(std::shared_ptr<const Catalogue> catalogue);

    /** Releases the term and does not take it again. */
    void retire();
    /** See TermChain::releaseForOthers() and TermChain::endReleasedTerm(). */
    std::optional<RowChange> releaseForOthers() const;
    void endReleasedTerm();

    /** Whether this instance does not own the term and no release is pending; also before it ever owned the term. */
    bool ownsNoTerm() const;

    /** The engine while this instance owns the term and has restored the stored state, else null. */
    const JobEngine *engine() const;
    std::optional<Epoch> epoch() const;
    /** See TermChain::backlogFull(). */
    bool backlogFull() const;

private:
    void startTerm(Epoch epoch);
    void endTerm(const std::string &reason);
    void startEvacuationFollower();
    void startProgressReader();
    void handleProgressRows(const std::vector<Row> &rows);
    /** Called when all jobs and their progress are restored. */
    void finishRestore();
    void startWorkersFollower();
    void handleJobRows(const std::vector<Row> &rows);
    void addJobFromRow(const Row &row);
    void handleAllWorkerRows(const std::vector<Row> &rows);
    void handleChangedWorkerRows(const std::vector<Row> &rows);
    std::optional<RowChange> nextChange(const ChangeLimits &limits);
    void changeStored();
    void armTimer(Duration pause);
    void step();
    void checkIsolation(MonotonicTime now);

    boost::asio::io_context &m_loop;
    OwnerTimes m_times;
    Clock m_clock;
    RowStore &m_store;
    WorkerOrders &m_orders;
    Advisor *m_advisor;
    DiscoverySource m_discovery;
    EvacuationSource m_evacuations;
    boost::asio::steady_timer m_timer;
    TermChain m_chain;
    std::shared_ptr<const Catalogue> m_catalogue;
    /** While the state is restored: progress of jobs that have no row, jobs whose row can't be read, and jobs whose
     * cancel was requested. */
    std::map<JobId, std::set<std::size_t>> m_leftoverProgress;
    std::set<JobId> m_unreadableJobs;
    std::set<JobId> m_cancelsWhileRestoring;
    std::optional<TableFollower> m_progressReader;
    std::optional<TableFollower> m_jobsFollower;
    std::optional<TableFollower> m_workersFollower;
    std::optional<EvacuationFollower> m_evacuationFollower;
    std::unique_ptr<JobEngine> m_engine;
    std::optional<StateSweeper> m_stateSweeper;
    bool m_restored = false;
    std::optional<EngineBatch> m_batch;
    MonotonicTime m_stepDueAt = NeverDue;
    MonotonicTime m_isolatedSince = NeverDue;
    MonotonicTime m_resumeAt = NeverDue;
    bool m_retired = false;
};

} // namespace coriander::workflow
