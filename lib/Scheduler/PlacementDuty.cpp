#include "corianderscale/Scheduler/PlacementDuty.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coriander {

namespace {

/** Queued inputs; holds the answers of all workers and a burst of job hints. */
constexpr std::size_t InputCapacity = 65536;
constexpr Duration TickInterval = std::chrono::milliseconds(100);
/** Attempts, 1 ms apart, to queue an input in a full ring before the input is dropped. */
constexpr int MaximumPostAttempts = 1000;
/** Inputs applied before the outputs are dispatched. */
constexpr std::size_t MaximumInputsPerStep = 256;

CoreSettings coreSettings(const SchedulerSettings &settings)
{
    CoreSettings core;
    core.dataCentre = settings.common.dataCentre;
    core.instance = settings.common.instance;
    core.reportTo = settings.common.listen;
    core.timing = settings.timing;
    core.usageInterval = settings.usageInterval;
    return core;
}

} // namespace

PlacementDuty::PlacementDuty(const SchedulerSettings &settings, Clock clock, PlacementOutputs outputs)
    : m_policy(settings.policy)
    , m_snapshotInterval(settings.snapshotInterval)
    , m_clock(std::move(clock))
    , m_outputs(std::move(outputs))
    , m_inputs(InputCapacity)
    , m_core(
          coreSettings(settings), [this] { return makeHooks(); }, m_outputs.event)
{
}

PlacementDuty::~PlacementDuty()
{
    stop();
}

void PlacementDuty::start()
{
    m_thread = std::make_unique<DutyThread>("placement", [this] { step(); });
}

void PlacementDuty::stop()
{
    m_thread.reset();
}

bool PlacementDuty::post(CoreInput input)
{
    for (int attempts = 0; attempts < MaximumPostAttempts; ++attempts) {
        if (m_inputs.push(input)) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    logEvent(LogLevel::Error, "placement-input-dropped", {{"waiting", m_inputs.size()}});
    return false;
}

DecisionHooks PlacementDuty::makeHooks()
{
    const std::lock_guard<std::mutex> lock(m_libraryMutex);
    m_library = std::make_shared<decision::Scheduler>(*decision::makePolicy(m_policy));
    const std::shared_ptr<decision::Scheduler> library = m_library;
    return {[this, library](const decision::Event &event, MonotonicTime now) {
                const std::lock_guard<std::mutex> inner(m_libraryMutex);
                const MonotonicTime before = m_clock.now();
                std::vector<decision::Decision> decisions = library->handle(event, now);
                const Duration took = m_clock.now() - before;
                m_counts.slowestDecisionMicroseconds
                    = std::max(m_counts.slowestDecisionMicroseconds.load(), static_cast<std::int64_t>(took.count()));
                return decisions;
            },
            [this, library] {
                const std::lock_guard<std::mutex> inner(m_libraryMutex);
                return library->nextTick();
            }};
}

std::optional<decision::Explanation> PlacementDuty::explain(const JobId &job) const
{
    const std::lock_guard<std::mutex> lock(m_libraryMutex);
    if (!m_library || !m_counts.active) {
        return std::nullopt;
    }
    return m_library->explain(job, m_clock.now());
}

Instant PlacementDuty::at() const
{
    return {m_clock.now(), m_clock.wallNow()};
}

void PlacementDuty::step()
{
    std::optional<CoreInput> input = m_inputs.pop(TickInterval / 2);
    for (std::size_t count = 0; input && count < MaximumInputsPerStep; ++count) {
        (*input)(m_core, at());
        input = m_inputs.tryPop();
    }
    if (input) {
        (*input)(m_core, at());
    }
    const Instant instant = at();
    if (m_nextTick <= instant.now) {
        m_nextTick = instant.now + TickInterval;
        m_core.tick(instant);
    }
    dispatchOutputs(instant);
}

void PlacementDuty::dispatchOutputs(Instant at)
{
    if (!m_core.stepDownReason().empty()) {
        const std::string reason = m_core.stepDownReason();
        m_core.relinquish();
        m_outputs.stepDown(reason);
    }
    const bool mayAct = m_outputs.ownedEpoch() == m_core.epoch();
    if (mayAct) {
        for (StoreWrite &write : m_core.takeWrites(at)) {
            m_outputs.write(std::move(write));
        }
        for (WorkerRequest &request : m_core.takeRequests(at)) {
            m_outputs.send(std::move(request));
        }
    }
    for (const JobId &job : m_core.takeReads()) {
        m_outputs.read(job);
    }
    m_counts.jobs = static_cast<std::int64_t>(m_core.jobCount());
    m_counts.gangs = static_cast<std::int64_t>(m_core.gangCount());
    m_counts.workers = static_cast<std::int64_t>(m_core.workers().size());
    m_counts.impairedGuarantees = static_cast<std::int64_t>(m_core.impairedGuarantees().size());
    m_counts.active = mayAct && m_core.phase() == SchedulerCore::Phase::Active;
    m_counts.settled = m_core.isSettled();
    if (m_counts.active && m_nextSnapshot <= at.now && m_snapshotRevision != m_core.placementRevision()) {
        m_snapshotRevision = m_core.placementRevision();
        m_nextSnapshot = at.now + m_snapshotInterval;
        m_outputs.snapshot(m_core.snapshot());
    }
}

} // namespace coriander
