#include "corianderscale/PolicyBench/StreamDriver.h"

#include <algorithm>
#include <chrono>
#include <queue>
#include <unordered_map>

namespace coriander::policybench {

namespace {

using namespace decision;

/** Delay from the decision to the start of all members. */
constexpr Duration GangStartDelay = std::chrono::milliseconds(200);
/** Time to read a checkpoint back before work continues. */
constexpr Duration CheckpointReadTime = std::chrono::seconds(15);
/** Time for which a periodic checkpoint pauses a gang. */
constexpr Duration CheckpointDuration = std::chrono::seconds(3);
/** Time until all members of a gang with a lost member have ended: lease term of 45 s and 5 s stop grace. */
constexpr Duration LostGangStopTime = std::chrono::seconds(50);
/** Delay from the start of a gang to its usage report. */
constexpr Duration UsageDelay = std::chrono::seconds(60);
/** A stream that has not drained this long after its horizon ends with unfinished jobs. */
constexpr Duration MaximumDrainTime = std::chrono::hours(24 * 14);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct LiveJob {
    const TimedJob *job = nullptr;
    std::size_t outcome = 0;
    std::int64_t attempt = 0;
    GangPlacement placement;
    /** Incremented by each event that invalidates earlier timers of the gang. */
    std::int64_t version = 0;
    bool holdsWorkers = false;
    bool running = false;
    bool stopping = false;
    /** Run time saved by checkpoints. */
    Duration kept{};
    /** When the work since the last checkpoint began. */
    MonotonicTime workStartedAt{};
    MonotonicTime allocatedAt{};
    Duration usefulRun{};
};

struct Timer {
    MonotonicTime at{};
    std::int64_t order = 0;
    Event event;
    /** For events of gangs: valid only while the gang has this version. */
    std::int64_t version = -1;

    bool operator>(const Timer &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

class Driver
{
public:
    Driver(const Stream &stream, const Policy &policy, bool measureCalls)
        : m_stream(stream)
        , m_scheduler(policy)
        , m_measureCalls(measureCalls)
    {
    }

    StreamResult run();

private:
    void schedule(MonotonicTime at, Event event, std::int64_t version = -1);
    void handle(const Event &event);
    void apply(const Decision &decision);
    void start(const StartGang &start);
    void stop(const StopGang &stop);
    bool applyEvent(const Event &event, std::int64_t version);
    void releaseWorkers(LiveJob &live);
    void recordCheckpoint(LiveJob &live);
    void scheduleEnd(LiveJob &live);
    void closeJob(const JobId &id, bool finished, bool refused);
    void integrate(MonotonicTime until);
    void updateUse(const GangPlacement &placement, std::int64_t accelerators);
    std::int64_t gangAccelerators(const LiveJob &live) const;
    /** Pseudo-random value in [0, 1) that depends only on job, attempt and salt, so that it is equal for all policies.
     */
    static double pseudoRandom(const LiveJob &live, std::uint64_t salt);

    const Stream &m_stream;
    Scheduler m_scheduler;
    bool m_measureCalls;
    StreamResult m_result;
    MonotonicTime m_now{};
    std::int64_t m_order = 0;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::unordered_map<JobId, LiveJob> m_live;
    struct WorkerUse {
        std::size_t rack = 0;
        std::int64_t capacity = 0;
        std::int64_t used = 0;
        bool live = true;
    };
    std::unordered_map<WorkerId, WorkerUse> m_workers;
    std::vector<std::int64_t> m_rackFree;
    std::int64_t m_capacity = 0;
    std::int64_t m_used = 0;
    std::int64_t m_unusableByWorker = 0;
    double m_observedSeconds = 0;
};

double Driver::pseudoRandom(const LiveJob &live, std::uint64_t salt)
{
    std::uint64_t value = std::hash<std::string>()(live.job->request.id.value()) + salt * 0x9e3779b97f4a7c15ULL
        + static_cast<std::uint64_t>(live.attempt) * 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 31;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 29;
    return static_cast<double>(value >> 11) / 9007199254740992.0;
}

std::int64_t Driver::gangAccelerators(const LiveJob &live) const
{
    return live.job->request.tasks * live.job->request.perTask.accelerators.count();
}

void Driver::schedule(MonotonicTime at, Event event, std::int64_t version)
{
    m_timers.push({at, m_order++, std::move(event), version});
}

void Driver::updateUse(const GangPlacement &placement, std::int64_t accelerators)
{
    constexpr std::int64_t GangSize = 8;
    const auto unusable = [](const WorkerUse &use) {
        const std::int64_t free = use.capacity - use.used;
        return use.live && free < GangSize ? free : 0;
    };
    for (const WorkerId &worker : placement) {
        WorkerUse &use = m_workers.at(worker);
        m_unusableByWorker -= unusable(use);
        use.used += accelerators;
        m_unusableByWorker += unusable(use);
        m_used += accelerators;
        m_rackFree[use.rack] -= accelerators;
    }
}

void Driver::integrate(MonotonicTime until)
{
    const MonotonicTime to = std::min(until, m_stream.horizon);
    if (to > m_now) {
        const double span = seconds(to - m_now);
        m_result.capacity += span * static_cast<double>(m_capacity);
        m_result.used += span * static_cast<double>(m_used);
        const std::int64_t free = m_capacity - m_used;
        if (free > 0) {
            constexpr std::int64_t GangSize = 8;
            std::int64_t byRack = 0;
            for (const std::int64_t rackFree : m_rackFree) {
                byRack += rackFree < GangSize ? rackFree : 0;
            }
            m_observedSeconds += span;
            m_result.unusableByWorker += span * static_cast<double>(m_unusableByWorker) / static_cast<double>(free);
            m_result.unusableByRack += span * static_cast<double>(byRack) / static_cast<double>(free);
        }
    }
    m_now = until;
}

void Driver::scheduleEnd(LiveJob &live)
{
    const TimedJob &job = *live.job;
    const Duration left = std::max(job.run - live.kept, Duration::zero());
    const JobId &id = job.request.id;
    for (const WorkerId &worker : live.placement) {
        if (m_stream.badWorkers.contains(worker)) {
            schedule(m_now + std::chrono::seconds(5), GangEnded{id, live.attempt, false, worker}, live.version);
            return;
        }
    }
    if (job.failsEverywhere) {
        schedule(m_now + std::min(left, Duration(std::chrono::seconds(20))),
                 GangEnded{id, live.attempt, false, live.placement.front()},
                 live.version);
        return;
    }
    schedule(live.workStartedAt + left, GangEnded{id, live.attempt, true, {}}, live.version);
}

void Driver::start(const StartGang &start)
{
    LiveJob &live = m_live.at(start.job);
    live.attempt = start.attempt;
    live.placement = start.placement;
    live.holdsWorkers = true;
    live.stopping = false;
    live.running = false;
    live.allocatedAt = m_now;
    live.usefulRun = {};
    ++live.version;
    JobOutcome &outcome = m_result.outcomes[live.outcome];
    outcome.firstStart = std::min(outcome.firstStart, m_now);
    ++outcome.starts;
    updateUse(live.placement, live.job->request.perTask.accelerators.count());
    if (!start.resume) {
        live.kept = {};
    }
    schedule(m_now + GangStartDelay, GangStarted{start.job, start.attempt}, live.version);
}

void Driver::stop(const StopGang &stop)
{
    LiveJob &live = m_live.at(stop.job);
    const std::int64_t version = ++live.version;
    live.stopping = true;
    ++m_result.outcomes[live.outcome].stops;
    m_result.preemptions += stop.reason == StopReason::Preempted ? 1 : 0;
    const Duration grace = stop.stopBy - m_now;
    if (stop.reason == StopReason::MemberLost) {
        schedule(m_now + LostGangStopTime, GangStopped{stop.job, stop.attempt, false}, version);
        return;
    }
    const Duration needed = std::chrono::milliseconds(3000 + static_cast<std::int64_t>(22000 * pseudoRandom(live, 1)));
    if (stop.checkpoint && live.running && needed <= grace) {
        // Work up to the stop order is kept; the time for storing the checkpoint is lost.
        live.kept += std::max(m_now - live.workStartedAt, Duration::zero());
        live.usefulRun += std::max(m_now - live.workStartedAt, Duration::zero());
        live.workStartedAt = m_now + needed;
        schedule(m_now + needed, GangStopped{stop.job, stop.attempt, true}, version);
        return;
    }
    const Duration spent
        = stop.checkpoint ? grace : std::chrono::duration_cast<Duration>(grace * (0.1 + 0.9 * pseudoRandom(live, 2)));
    schedule(m_now + spent, GangStopped{stop.job, stop.attempt, false}, version);
}

void Driver::recordCheckpoint(LiveJob &live)
{
    const Duration work = std::max(m_now - live.workStartedAt, Duration::zero());
    live.kept += work;
    live.usefulRun += work;
    live.workStartedAt = m_now + CheckpointDuration;
}

void Driver::releaseWorkers(LiveJob &live)
{
    const double accelerators = static_cast<double>(gangAccelerators(live));
    m_result.useful += accelerators * seconds(live.usefulRun);
    m_result.lost += accelerators * seconds(m_now - live.allocatedAt - live.usefulRun);
    updateUse(live.placement, -live.job->request.perTask.accelerators.count());
    live.holdsWorkers = false;
    live.running = false;
    live.placement.clear();
    ++live.version;
}

bool Driver::applyEvent(const Event &event, std::int64_t version)
{
    if (const auto *submitted = std::get_if<JobSubmitted>(&event)) {
        (void)submitted;
        return true;
    }
    if (const auto *joined = std::get_if<WorkerJoined>(&event)) {
        WorkerUse &use = m_workers.at(joined->worker.id);
        if (!use.live) {
            use.live = true;
            m_capacity += use.capacity;
            m_rackFree[use.rack] += use.capacity;
            m_unusableByWorker += use.capacity - use.used < 8 ? use.capacity - use.used : 0;
        }
        return true;
    }
    if (const auto *lost = std::get_if<WorkerLost>(&event)) {
        WorkerUse &use = m_workers.at(lost->worker);
        if (use.live) {
            m_unusableByWorker -= use.capacity - use.used < 8 ? use.capacity - use.used : 0;
            use.live = false;
            m_capacity -= use.capacity;
            m_rackFree[use.rack] -= use.capacity;
        }
        return true;
    }
    if (version < 0) {
        return true;
    }
    const auto byId = [&](const JobId &id) -> LiveJob * {
        const auto found = m_live.find(id);
        return found != m_live.end() && found->second.version == version ? &found->second : nullptr;
    };
    if (const auto *started = std::get_if<GangStarted>(&event)) {
        LiveJob *live = byId(started->job);
        if (live == nullptr) {
            return false;
        }
        live->running = true;
        live->workStartedAt = m_now + (live->kept > Duration::zero() ? CheckpointReadTime : Duration::zero());
        scheduleEnd(*live);
        schedule(
            m_now + UsageDelay, UsageObserved{started->job, live->placement.front(), live->job->use}, live->version);
        return true;
    }
    if (const auto *stopped = std::get_if<GangStopped>(&event)) {
        LiveJob *live = byId(stopped->job);
        if (live != nullptr) {
            releaseWorkers(*live);
        }
        return live != nullptr;
    }
    if (const auto *kept = std::get_if<GangCheckpointed>(&event)) {
        LiveJob *live = byId(kept->job);
        if (live != nullptr) {
            recordCheckpoint(*live);
            ++live->version;
            scheduleEnd(*live);
        }
        return live != nullptr;
    }
    if (const auto *ended = std::get_if<GangEnded>(&event)) {
        LiveJob *live = byId(ended->job);
        if (live == nullptr) {
            return false;
        }
        if (ended->succeeded) {
            live->usefulRun += std::max(m_now - live->workStartedAt, Duration::zero());
        }
        releaseWorkers(*live);
        return true;
    }
    if (const auto *usage = std::get_if<UsageObserved>(&event)) {
        return byId(usage->job) != nullptr;
    }
    return true;
}

void Driver::closeJob(const JobId &id, bool finished, bool refused)
{
    const auto found = m_live.find(id);
    JobOutcome &outcome = m_result.outcomes[found->second.outcome];
    outcome.ended = m_now;
    outcome.finished = finished;
    outcome.refused = refused;
    m_live.erase(found);
}

void Driver::apply(const Decision &decision)
{
    ++m_result.decisions;
    if (const auto *started = std::get_if<StartGang>(&decision)) {
        start(*started);
    } else if (const auto *stopped = std::get_if<StopGang>(&decision)) {
        stop(*stopped);
    } else if (const auto *checkpoint = std::get_if<CheckpointGang>(&decision)) {
        const LiveJob &live = m_live.at(checkpoint->job);
        schedule(m_now, GangCheckpointed{checkpoint->job, checkpoint->attempt}, live.version);
    } else if (const auto *refused = std::get_if<RefuseJob>(&decision)) {
        closeJob(refused->job, false, true);
    } else if (const auto *failed = std::get_if<FailJob>(&decision)) {
        closeJob(failed->job, false, false);
    } else if (const auto *finished = std::get_if<FinishJob>(&decision)) {
        closeJob(finished->job, true, false);
    } else if (const auto *cancelled = std::get_if<CancelJob>(&decision)) {
        closeJob(cancelled->job, false, false);
    }
}

void Driver::handle(const Event &event)
{
    const auto before = m_measureCalls ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point();
    const std::vector<Decision> decisions = m_scheduler.handle(event, m_now);
    if (m_measureCalls) {
        const auto spent = std::chrono::steady_clock::now() - before;
        m_result.callNanoseconds.push_back(
            static_cast<double>(std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count()));
    }
    for (const Decision &decision : decisions) {
        apply(decision);
    }
}

StreamResult Driver::run()
{
    std::unordered_map<RackId, std::size_t> racks;
    std::unordered_map<WorkerId, WorkerSpec> specs;
    for (const WorkerSpec &worker : m_stream.workers) {
        const std::size_t rack = racks.try_emplace(worker.rack, racks.size()).first->second;
        m_rackFree.resize(racks.size(), 0);
        const std::int64_t accelerators = worker.capacity.accelerators.count();
        m_workers[worker.id] = {rack, accelerators, 0, true};
        m_rackFree[rack] += accelerators;
        m_capacity += accelerators;
        m_unusableByWorker += accelerators < 8 ? accelerators : 0;
        specs[worker.id] = worker;
        handle(WorkerJoined{worker});
    }
    handle(OrganisationsChanged{m_stream.organisations});
    m_result.callNanoseconds.clear();
    for (const TimedJob &job : m_stream.jobs) {
        LiveJob live;
        live.job = &job;
        live.outcome = m_result.outcomes.size();
        JobOutcome outcome;
        outcome.job = &job;
        m_result.outcomes.push_back(outcome);
        m_live.emplace(job.request.id, std::move(live));
        schedule(job.at, JobSubmitted{job.request});
        if (job.cancelAt != NeverDue) {
            schedule(job.cancelAt, JobCancelled{job.request.id});
        }
    }
    for (const FleetChange &change : m_stream.changes) {
        switch (change.kind) {
        case FleetChange::Kind::Lost:
            schedule(change.at, WorkerLost{change.worker});
            break;
        case FleetChange::Kind::Joined:
            schedule(change.at, WorkerJoined{specs.at(change.worker)});
            break;
        case FleetChange::Kind::Draining:
            schedule(change.at, WorkerDraining{change.worker});
            break;
        }
    }
    const MonotonicTime last = m_stream.drain ? m_stream.horizon + MaximumDrainTime : m_stream.horizon;
    while (!m_live.empty()) {
        const MonotonicTime tick = m_scheduler.nextTick();
        const MonotonicTime next = m_timers.empty() ? tick : std::min(tick, m_timers.top().at);
        if (next > last) {
            break;
        }
        integrate(std::max(next, m_now));
        if (m_timers.empty() || tick < m_timers.top().at) {
            handle(Tick{});
            continue;
        }
        const Timer timer = m_timers.top();
        m_timers.pop();
        if (applyEvent(timer.event, timer.version)) {
            handle(timer.event);
        }
    }
    integrate(std::max(m_now, std::min(last, m_stream.horizon)));
    for (auto &[id, live] : m_live) {
        if (live.holdsWorkers) {
            live.usefulRun += live.running && !live.stopping ? std::max(m_now - live.workStartedAt, Duration::zero())
                                                             : Duration::zero();
            const double accelerators = static_cast<double>(gangAccelerators(live));
            m_result.useful += accelerators * seconds(live.usefulRun);
            m_result.lost += accelerators * seconds(m_now - live.allocatedAt - live.usefulRun);
        }
    }
    if (m_observedSeconds > 0) {
        m_result.unusableByWorker /= m_observedSeconds;
        m_result.unusableByRack /= m_observedSeconds;
    }
    return std::move(m_result);
}

} // namespace

StreamResult runStream(const Stream &stream, const Policy &policy, bool measureCalls)
{
    return Driver(stream, policy, measureCalls).run();
}

} // namespace coriander::policybench
