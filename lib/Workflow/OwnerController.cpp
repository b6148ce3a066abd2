#include "corianderscale/Workflow/OwnerController.h"

#include "corianderscale/Support/Log.h"

#include <boost/asio/post.hpp>

#include <charconv>
#include <set>
#include <utility>

namespace coriander::workflow {

namespace {

/** Nothing is placed before discovery was read again after an outage of the store, so a call that got no answer must
   not delay the next one for long. A store that is 70 times slower still answers within 300 ms. */
constexpr Duration DiscoveryCallTimeout = std::chrono::milliseconds(500);
constexpr Duration DiscoveryRetryPause = std::chrono::milliseconds(50);

/** Splits a key made by progressKey(); no value for any other key. */
std::optional<std::pair<JobId, std::size_t>> parseProgressKey(const std::string &key)
{
    const std::size_t dot = key.rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    std::size_t occurrence = 0;
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + dot + 1, end, occurrence);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return std::pair(JobId(key.substr(0, dot)), occurrence);
}

void logIgnoredRow(const Row &row, const std::string &reason)
{
    logEvent(LogLevel::Error,
             "row-ignored",
             {{"table", row.table}, {"key", row.key}, {"version", row.version}, {"reason", reason}});
}

} // namespace

OwnerController::OwnerController(boost::asio::io_context &loop,
                                 OwnerTimes times,
                                 Clock clock,
                                 InstanceId instance,
                                 RowStore &store,
                                 WorkerOrders &orders,
                                 Advisor *advisor,
                                 DiscoverySource discovery,
                                 EvacuationSource evacuations)
    : m_loop(loop)
    , m_times(times)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_orders(orders)
    , m_advisor(advisor)
    , m_discovery(std::move(discovery))
    , m_evacuations(std::move(evacuations))
    , m_timer(loop)
    , m_chain(times.term,
              m_clock,
              std::move(instance),
              store,
              {/*won=*/[this](Epoch epoch) { startTerm(epoch); },
               /*lost=*/[this](const std::string &reason) { endTerm(reason); },
               /*nextChange=*/[this](const ChangeLimits &limits) { return nextChange(limits); },
               /*changeStored=*/[this] { changeStored(); },
               /*confirmed=*/
               [this](MonotonicTime sentAt) {
                   if (m_engine) {
                       m_engine->termConfirmed(sentAt);
                   }
               },
               /*mayTake=*/
               [this] { return m_catalogue != nullptr; },
               /*backlogFull=*/
               [this]() -> std::optional<bool> {
                   return m_engine && m_restored ? std::optional(m_engine->backlog().isFull()) : std::nullopt;
               }})
{
}

OwnerController::~OwnerController() = default;

void OwnerController::start()
{
    armTimer(Duration(0));
}

void OwnerController::setCatalogue(std::shared_ptr<const Catalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
    if (m_engine) {
        m_engine->setCatalogue(m_catalogue);
    }
}

void OwnerController::retire()
{
    m_retired = true;
    m_resumeAt = NeverDue;
    m_chain.release("the process is shutting down");
}

std::optional<RowChange> OwnerController::releaseForOthers() const
{
    return m_chain.releaseForOthers();
}

void OwnerController::endReleasedTerm()
{
    m_chain.endReleasedTerm();
}

bool OwnerController::ownsNoTerm() const
{
    return !m_chain.owned() && !m_chain.releasing();
}

const JobEngine *OwnerController::engine() const
{
    return m_restored ? m_engine.get() : nullptr;
}

std::optional<Epoch> OwnerController::epoch() const
{
    return m_chain.owned();
}

bool OwnerController::backlogFull() const
{
    return m_chain.backlogFull();
}

void OwnerController::startTerm(Epoch epoch)
{
    m_engine = std::make_unique<JobEngine>(m_times.engine, m_clock, epoch, m_orders, [this] { m_chain.step(); });
    m_engine->setCatalogue(m_catalogue);
    m_engine->setAdvisor(m_advisor);
    m_restored = false;
    m_leftoverProgress.clear();
    m_unreadableJobs.clear();
    m_cancelsWhileRestoring.clear();
    m_isolatedSince = NeverDue;
    m_stateSweeper.emplace(m_times.sweeper, m_clock, m_store);
    m_progressReader.reset();
    TableFollower::Settings jobs;
    jobs.table = JobsTable;
    TableFollower::Hooks hooks;
    hooks.page = [this](const std::vector<Row> &rows) {
        handleJobRows(rows);
    };
    hooks.snapshot = [this](const std::vector<Row> &) {
        startProgressReader();
    };
    hooks.changed = hooks.page;
    m_jobsFollower.emplace(m_loop, m_store, jobs, hooks);
    m_jobsFollower->start();
    startEvacuationFollower();
}

void OwnerController::startEvacuationFollower()
{
    m_evacuationFollower.emplace(m_loop,
                                 m_times.evacuations,
                                 m_clock,
                                 m_store,
                                 m_evacuations,
                                 EvacuationFollower::Hooks{/*changed=*/
                                                           [this](const std::set<DataCentreId> &evacuated) {
                                                               if (m_engine) {
                                                                   m_engine->setEvacuatedDataCentres(evacuated);
                                                               }
                                                           },
                                                           /*read=*/
                                                           [this](MonotonicTime asOf) {
                                                               if (m_engine) {
                                                                   m_engine->evacuationsRead(asOf);
                                                               }
                                                               if (m_engine && m_restored) {
                                                                   m_engine->step();
                                                               }
                                                           }});
    m_evacuationFollower->start();
}

void OwnerController::startProgressReader()
{
    if (!m_engine || m_restored || m_progressReader) {
        return;
    }
    TableFollower::Settings progress;
    progress.table = ProgressTable;
    TableFollower::Hooks hooks;
    hooks.page = [this](const std::vector<Row> &rows) {
        handleProgressRows(rows);
    };
    hooks.snapshot = [this](const std::vector<Row> &) {
        finishRestore();
    };
    hooks.changed = [](const std::vector<Row> &) {
    };
    m_progressReader.emplace(m_loop, m_store, progress, hooks);
    m_progressReader->start();
}

void OwnerController::handleProgressRows(const std::vector<Row> &rows)
{
    if (!m_engine || m_restored) {
        return;
    }
    for (const Row &row : rows) {
        ProtocolError error;
        const auto key = parseProgressKey(row.key);
        const std::optional<OccurrenceRecord> record = decodeOccurrence(row.value, error);
        if (!key || !record) {
            logIgnoredRow(row, key ? error.reason : "expected a key of the form JOB.OCCURRENCE");
            continue;
        }
        const bool known = m_engine->restoreProgress(key->first, key->second, *record);
        if (!known && m_unreadableJobs.count(key->first) == 0) {
            m_leftoverProgress[key->first].insert(key->second);
        }
    }
}

void OwnerController::finishRestore()
{
    if (!m_engine || m_restored) {
        return;
    }
    m_engine->finishRestore();
    for (const auto &[id, occurrences] : std::exchange(m_leftoverProgress, {})) {
        m_engine->removeProgress(id, occurrences);
    }
    for (const JobId &id : std::exchange(m_cancelsWhileRestoring, {})) {
        m_engine->cancelJob(id);
    }
    m_unreadableJobs.clear();
    m_restored = true;
    logEvent(LogLevel::Info,
             "state-restored",
             {{"epoch", m_chain.owned().value_or(Epoch())}, {"jobs", m_engine->jobCount()}});
    startWorkersFollower();
    // The reader is calling this function, so it is destroyed later.
    boost::asio::post(m_loop, [this] { m_progressReader.reset(); });
}

void OwnerController::startWorkersFollower()
{
    TableFollower::Settings workers;
    workers.table = m_discovery.table;
    // A call does not wait for changes; the calls are spaced by the discovery interval.
    workers.wait = Duration(0);
    workers.pause = m_times.discoveryInterval;
    workers.storeCallTimeout = DiscoveryCallTimeout;
    workers.retryAfter = DiscoveryRetryPause;
    m_workersFollower.emplace(
        m_loop,
        m_store,
        workers,
        TableFollower::Hooks{[this](const std::vector<Row> &all) { handleAllWorkerRows(all); },
                             [this](const std::vector<Row> &changed) { handleChangedWorkerRows(changed); },
                             {},
                             [this] {
                                 if (m_engine) {
                                     m_engine->discoveryRead();
                                 }
                             }});
    m_workersFollower->start();
}

void OwnerController::addJobFromRow(const Row &row)
{
    ProtocolError error;
    std::optional<JobSpec> job = decodeJob(row.value, error);
    if (job) {
        m_engine->addJob(std::move(*job));
        return;
    }
    logIgnoredRow(row, error.reason);
    if (!m_restored) {
        m_unreadableJobs.insert(JobId(row.key));
    }
}

void OwnerController::handleJobRows(const std::vector<Row> &rows)
{
    if (!m_engine) {
        return;
    }
    for (const Row &row : rows) {
        if (!row.removed && !cancelledJob(row.key)) {
            addJobFromRow(row);
        }
    }
    for (const Row &row : rows) {
        const std::optional<JobId> cancelled = cancelledJob(row.key);
        if (row.removed || !cancelled) {
            continue;
        }
        if (m_restored) {
            m_engine->cancelJob(*cancelled);
        } else {
            // The runs of the job, which have to be stopped, are not known yet.
            m_cancelsWhileRestoring.insert(*cancelled);
        }
    }
    if (m_restored) {
        m_engine->step();
    }
}

void OwnerController::handleAllWorkerRows(const std::vector<Row> &rows)
{
    if (!m_engine) {
        return;
    }
    std::set<WorkerId> listed;
    for (const Row &row : rows) {
        listed.insert(WorkerId(row.key));
    }
    std::vector<WorkerId> missing;
    for (const auto &[id, worker] : m_engine->workers().all()) {
        if (worker.listed && listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const WorkerId &id : missing) {
        m_engine->handleWorkerUnlisted(id);
    }
    handleChangedWorkerRows(rows);
}

void OwnerController::handleChangedWorkerRows(const std::vector<Row> &rows)
{
    if (!m_engine) {
        return;
    }
    for (const Row &row : rows) {
        if (row.removed) {
            m_engine->handleWorkerUnlisted(WorkerId(row.key));
            continue;
        }
        ProtocolError error;
        const std::optional<WorkerReport> report = m_discovery.decode(row, error);
        if (!report) {
            logIgnoredRow(row, error.reason);
            m_engine->handleWorkerUnlisted(WorkerId(row.key));
            continue;
        }
        m_engine->handleWorkerReport(*report);
    }
    m_engine->step();
}

std::optional<RowChange> OwnerController::nextChange(const ChangeLimits &limits)
{
    if (!m_engine || !m_restored) {
        return std::nullopt;
    }
    EngineBatch batch = m_engine->takeBatch(limits);
    if (batch.written.empty() && batch.removed.empty()) {
        if (!batch.processedEnds.empty()) {
            m_engine->batchStored(batch);
        }
        return std::nullopt;
    }
    RowChange change;
    change.written = batch.written;
    change.removed = batch.removed;
    m_batch = std::move(batch);
    return change;
}

void OwnerController::changeStored()
{
    const std::optional<EngineBatch> batch = std::exchange(m_batch, std::nullopt);
    if (m_engine && batch) {
        m_engine->batchStored(*batch);
        m_engine->step();
        m_stateSweeper->step();
    }
}

void OwnerController::endTerm(const std::string &)
{
    m_batch.reset();
    m_restored = false;
    // The engine or a follower may be calling this function, so they are destroyed later.
    boost::asio::post(m_loop, [this, engine = std::shared_ptr<JobEngine>(std::move(m_engine))] {
        m_progressReader.reset();
        m_jobsFollower.reset();
        m_workersFollower.reset();
        m_evacuationFollower.reset();
    });
}

void OwnerController::armTimer(Duration pause)
{
    m_stepDueAt = m_clock.now() + pause;
    m_timer.expires_after(pause);
    m_timer.async_wait([this](boost::system::error_code code) {
        if (!code) {
            step();
        }
    });
}

void OwnerController::step()
{
    const MonotonicTime now = m_clock.now();
    if (m_engine && m_restored) {
        if (now > m_stepDueAt + m_times.maximumLateness) {
            m_engine->pausePlacing(now + m_times.lateOwnerPause);
        }
        m_engine->step();
    }
    // step() may have ended the term.
    if (m_engine && m_restored) {
        checkIsolation(now);
    }
    if (m_engine && m_engine->superseded()) {
        m_chain.endSupersededTerm();
    }
    if (now >= m_resumeAt) {
        m_resumeAt = NeverDue;
        m_chain.resume();
    }
    m_chain.step();
    armTimer(m_times.stepInterval);
}

void OwnerController::checkIsolation(MonotonicTime now)
{
    std::size_t silent = 0;
    std::size_t listed = 0;
    for (const auto &[id, worker] : m_engine->workers().all()) {
        listed += worker.listed ? 1 : 0;
        silent += worker.listed && worker.silentCalls > 0 ? 1 : 0;
    }
    if (silent * 2 <= listed) {
        m_isolatedSince = NeverDue;
        return;
    }
    if (m_isolatedSince == NeverDue) {
        m_isolatedSince = now;
    }
    if (now - m_isolatedSince < m_times.isolationTimeout) {
        return;
    }
    m_isolatedSince = NeverDue;
    m_resumeAt = m_retired ? NeverDue : now + m_times.isolationPause;
    logEvent(LogLevel::Warning, "owner-isolated", {{"silent", silent}, {"workers", listed}});
    m_chain.release("more than half of the workers do not answer");
}

} // namespace coriander::workflow
