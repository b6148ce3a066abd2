#include "Decision/GeneratedHistory.h"

#include <algorithm>
#include <sstream>

namespace coriander::decision::test {

namespace {

/** Longest time that a part of a gang may keep running: lease term of 45 s and 5 s stop grace (design, section 9). */
constexpr Duration MaximumPartialGangTime = std::chrono::seconds(50);
constexpr Duration MaximumCheckpointGrace = std::chrono::seconds(30);

} // namespace

GeneratedHistory::GeneratedHistory(std::uint64_t seed)
    : m_random(seed)
    , m_scheduler(*makePolicy("corianderscale"))
{
    const std::int64_t racks = randomInteger(2, 3);
    for (std::int64_t rack = 0; rack < racks; ++rack) {
        const std::int64_t workers = randomInteger(1, 3);
        for (std::int64_t position = 0; position < workers; ++position) {
            const std::string id = "w" + std::to_string(rack) + "-" + std::to_string(position);
            const std::int64_t accelerators = randomBool(0.2) ? 0 : randomInteger(2, 8);
            m_specs[id] = {WorkerId(id),
                           RackId("r" + std::to_string(rack)),
                           position,
                           {MilliCores(8000 * accelerators + 8000), MemoryMib(65536), Accelerators(accelerators)}};
            m_workers[id] = {};
        }
    }
    for (const auto &[id, spec] : m_specs) {
        m_workers[id].live = true;
        deliver(WorkerJoined{spec});
    }
    deliver(randomOrganisations());
}

std::int64_t GeneratedHistory::randomInteger(std::int64_t minimum, std::int64_t maximum)
{
    return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(m_random);
}

bool GeneratedHistory::randomBool(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

void GeneratedHistory::fail(const std::string &what)
{
    if (!m_failure) {
        m_failure = what;
    }
}

Event GeneratedHistory::randomOrganisations()
{
    m_organisations.clear();
    std::vector<WorkerSpec> specs;
    for (const auto &[id, spec] : m_specs) {
        specs.push_back(spec);
    }
    for (std::int64_t i = 0; i < 3; ++i) {
        OrganisationPolicy policy;
        policy.id = OrganisationId("org-" + std::to_string(i));
        policy.weight = randomInteger(1, 3);
        m_organisations.push_back(policy);
        const std::int64_t shapes = randomInteger(0, 2);
        for (std::int64_t shape = 0; shape < shapes; ++shape) {
            std::vector<Guarantee> &guarantees = m_organisations.back().guarantees;
            guarantees.push_back({DataCentreId("dc"),
                                  Accelerators(randomInteger(1, 6)),
                                  static_cast<Closeness>(randomInteger(0, 2)),
                                  randomInteger(1, 2)});
            std::string reason;
            // A document whose guarantees do not fit the declared racks is never accepted (section 9 of the design).
            if (!packGuarantees(specs, m_organisations, reason)) {
                guarantees.pop_back();
            }
        }
    }
    return OrganisationsChanged{m_organisations};
}

Event GeneratedHistory::randomJob()
{
    JobRequest request;
    request.id = JobId("j" + std::to_string(m_nextJob++));
    request.organisation = OrganisationId("org-" + std::to_string(randomInteger(0, 3)));
    request.caller = CallerId("caller-" + std::to_string(randomInteger(0, 1)));
    request.kind = "kind-" + std::to_string(randomInteger(0, 3));
    request.tasks = randomBool(0.5) ? 1 : randomInteger(2, 6);
    request.perTask = {MilliCores(randomInteger(1, 8) * 1000),
                       MemoryMib(randomInteger(1, 4) * 1024),
                       Accelerators(randomInteger(0, 3))};
    request.closeness = static_cast<Closeness>(randomInteger(0, 2));
    request.jobClass = static_cast<JobClass>(randomInteger(0, 2));
    request.declaredRun = randomBool(0.3) ? Duration::zero() : Duration(std::chrono::seconds(randomInteger(1, 3000)));
    request.canCheckpoint = randomBool(0.5);
    request.useGuarantee = randomBool(0.4);
    request.submittedAt = m_now;
    if (randomBool(0.1)) {
        request.deadline = m_now + std::chrono::seconds(randomInteger(1, 2000));
    }
    m_jobs[request.id.value()].request = request;
    return JobSubmitted{request};
}

std::optional<Event> GeneratedHistory::randomGangEvent()
{
    std::vector<std::string> busy;
    for (const auto &[id, job] : m_jobs) {
        if (!job.terminal && (job.starting || job.running || job.stopping)) {
            busy.push_back(id);
        }
    }
    if (busy.empty()) {
        return std::nullopt;
    }
    SimulatedJob &job
        = m_jobs[busy[static_cast<std::size_t>(randomInteger(0, static_cast<std::int64_t>(busy.size()) - 1))]];
    const JobId id = job.request.id;
    const std::int64_t attempt = job.attempt;
    const WorkerId member = job.placement[static_cast<std::size_t>(
        randomInteger(0, static_cast<std::int64_t>(job.placement.size()) - 1))];
    if (job.stopping) {
        job.starting = job.running = job.stopping = false;
        job.memberLostAt = NeverDue;
        return GangStopped{id, attempt, job.request.canCheckpoint && randomBool(0.7)};
    }
    if (job.starting && randomBool(0.15)) {
        job.starting = false;
        return GangStartFailed{id, attempt, {member}};
    }
    if (job.starting) {
        job.starting = false;
        job.running = true;
        return GangStarted{id, attempt};
    }
    if (randomBool(0.2)) {
        return GangCheckpointed{id, attempt};
    }
    if (randomBool(0.2)) {
        return UsageObserved{id, member, job.request.perTask};
    }
    job.running = false;
    const bool succeeded = randomBool(0.85);
    return GangEnded{id, attempt, succeeded, succeeded ? WorkerId() : member};
}

Event GeneratedHistory::randomEvent()
{
    const double choice = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (choice < 0.38) {
        return randomJob();
    }
    if (choice < 0.44 && !m_jobs.empty()) {
        auto job = m_jobs.begin();
        std::advance(job, randomInteger(0, static_cast<std::int64_t>(m_jobs.size()) - 1));
        return JobCancelled{JobId(job->first)};
    }
    if (choice < 0.46) {
        m_guaranteeMayMove = true;
        return randomOrganisations();
    }
    if (choice < 0.56) {
        auto worker = m_workers.begin();
        std::advance(worker, randomInteger(0, static_cast<std::int64_t>(m_workers.size()) - 1));
        SimulatedWorker &workerState = worker->second;
        if (!workerState.live || workerState.draining) {
            workerState.live = true;
            workerState.draining = false;
            return WorkerJoined{m_specs[worker->first]};
        }
        if (randomBool(0.3)) {
            m_guaranteeMayMove = true;
            if (randomBool(0.5)) {
                workerState.draining = true;
                return WorkerDraining{WorkerId(worker->first)};
            }
            workerState.live = false;
            workerState.quarantined = false;
            loseWorker(worker->first);
            return WorkerLost{WorkerId(worker->first)};
        }
    }
    return randomGangEvent().value_or(Event(Tick{}));
}

void GeneratedHistory::loseWorker(const std::string &id)
{
    for (auto &[name, job] : m_jobs) {
        const bool member = std::find(job.placement.begin(), job.placement.end(), WorkerId(id)) != job.placement.end();
        if (member && (job.starting || job.running || job.stopping) && job.memberLostAt == NeverDue) {
            job.memberLostAt = m_now;
        }
    }
}

void GeneratedHistory::checkStart(const StartGang &start)
{
    SimulatedJob &job = m_jobs[start.job.value()];
    if (job.starting || job.running || job.stopping) {
        fail(start.job.value() + " was started while its previous attempt may still run");
    }
    if (start.placement.size() != static_cast<std::size_t>(job.request.tasks)) {
        fail(start.job.value() + " was started with a number of members other than its number of tasks");
    }
    std::set<std::string> racks;
    std::set<std::string> workers;
    std::int64_t quarantined = 0;
    for (const WorkerId &worker : start.placement) {
        const SimulatedWorker &workerState = m_workers[worker.value()];
        if (!workerState.live || workerState.draining) {
            fail(start.job.value() + " was placed on a worker that accepts no tasks: " + worker.value());
        }
        quarantined += workerState.quarantined && workers.insert(worker.value()).second ? 1 : 0;
        workers.insert(worker.value());
        racks.insert(m_specs[worker.value()].rack.value());
    }
    if ((job.request.closeness == Closeness::Worker && workers.size() > 1)
        || (job.request.closeness == Closeness::Rack && racks.size() > 1)) {
        fail(start.job.value() + " was placed on more workers or racks than its closeness allows");
    }
    if (quarantined > (start.guaranteed ? 0 : 1)) {
        fail(start.job.value() + " was placed on more quarantined workers than one probe allows");
    }
    job.attempt = start.attempt;
    job.placement = start.placement;
    job.starting = true;
    job.guaranteed = start.guaranteed;
    job.memberLostAt = NeverDue;
    job.stopBy = NeverDue;
}

void GeneratedHistory::apply(const Decision &decision)
{
    const auto end = [this](const JobId &id, bool ran) {
        SimulatedJob &job = m_jobs[id.value()];
        if (job.terminal || job.starting || job.running || job.stopping) {
            fail(id.value() + " reached a terminal state twice or while members were running");
        }
        if (ran && job.attempt == 0) {
            fail(id.value() + " was reported as run but never started");
        }
        job.terminal = true;
    };
    if (const auto *start = std::get_if<StartGang>(&decision)) {
        checkStart(*start);
    } else if (const auto *stop = std::get_if<StopGang>(&decision)) {
        SimulatedJob &job = m_jobs[stop->job.value()];
        if (job.stopping || stop->attempt != job.attempt || stop->stopBy > m_now + MaximumCheckpointGrace) {
            fail(stop->job.value() + " was stopped twice, for another attempt, or with more than 30 s of grace");
        }
        job.stopping = true;
        job.stopBy = stop->stopBy;
    } else if (const auto *refused = std::get_if<RefuseJob>(&decision)) {
        if (m_jobs[refused->job.value()].attempt > 0) {
            fail(refused->job.value() + " was refused although it had started");
        }
        end(refused->job, false);
    } else if (const auto *failed = std::get_if<FailJob>(&decision)) {
        end(failed->job, true);
    } else if (const auto *finished = std::get_if<FinishJob>(&decision)) {
        end(finished->job, true);
    } else if (const auto *cancelled = std::get_if<CancelJob>(&decision)) {
        end(cancelled->job, false);
    } else if (const auto *impaired = std::get_if<GuaranteeImpaired>(&decision)) {
        if (impaired->reason.empty() || impaired->since > m_now) {
            fail("an impairment was reported without a reason or with a start time in the future");
        }
        m_impaired.insert(impaired->organisation.value());
    } else if (const auto *restored = std::get_if<GuaranteeRestored>(&decision)) {
        m_impaired.erase(restored->organisation.value());
    } else if (const auto *taken = std::get_if<QuarantineWorker>(&decision)) {
        m_workers[taken->worker.value()].quarantined = true;
        m_guaranteeMayMove = true;
    } else if (const auto *released = std::get_if<ReleaseWorker>(&decision)) {
        m_workers[released->worker.value()].quarantined = false;
    }
}

void GeneratedHistory::deliver(const Event &event)
{
    // Restoring an impaired guarantee may move it away from a running job, to a worker that came back.
    m_guaranteeMayMove = m_guaranteeMayMove || !m_impaired.empty();
    for (const Decision &decision : m_scheduler.handle(event, m_now)) {
        apply(decision);
    }
    checkInvariants();
}

void GeneratedHistory::checkInvariants()
{
    std::map<std::string, std::int64_t> used;
    for (const auto &[id, job] : m_jobs) {
        if (!job.starting && !job.running && !job.stopping) {
            continue;
        }
        if (job.memberLostAt != NeverDue && (!job.stopping || job.stopBy > job.memberLostAt + MaximumPartialGangTime)) {
            fail(id + " lost a member and its other members were not stopped within 50 s");
        }
        for (const WorkerId &worker : job.placement) {
            used[worker.value()] += job.request.perTask.accelerators.count();
        }
    }
    for (const auto &[worker, amount] : used) {
        if (amount > m_specs[worker].capacity.accelerators.count()) {
            fail(worker + " has more accelerators in use than its capacity");
        }
    }
    checkGuarantees();
}

void GeneratedHistory::checkGuarantees()
{
    std::vector<ExactWorker> workers;
    std::ostringstream key;
    for (const auto &[id, workerState] : m_workers) {
        if (workerState.live && !workerState.draining && !workerState.quarantined) {
            workers.push_back({id, m_specs[id].rack.value(), m_specs[id].capacity.accelerators.count()});
            key << id << ' ';
        }
    }
    std::vector<ExactItem> all;
    std::vector<ExactItem> held;
    for (const OrganisationPolicy &policy : m_organisations) {
        for (const Guarantee &guarantee : policy.guarantees) {
            const ExactItem item{policy.id.value(), guarantee.accelerators.count(), guarantee.closeness};
            for (std::int64_t i = 0; i < guarantee.count; ++i) {
                all.push_back(item);
                if (!m_impaired.contains(policy.id.value())) {
                    held.push_back(item);
                }
                key << item.organisation << item.accelerators << static_cast<int>(item.closeness) << ' ';
            }
        }
    }
    ExactClaims claims;
    for (const PlacementView &view : m_scheduler.placements()) {
        SimulatedJob &job = m_jobs[view.job.value()];
        if (!view.guaranteed) {
            if (job.guaranteed && (job.starting || job.running) && !m_guaranteeMayMove) {
                fail(view.job.value() + " lost its guarantee without an event that may move guarantees");
            }
            job.guaranteed = false;
            continue;
        }
        for (const WorkerId &worker : view.placement) {
            claims[{view.organisation.value(), worker.value()}] += job.request.perTask.accelerators.count();
        }
    }
    m_guaranteeMayMove = false;
    for (const auto &[owner, amount] : claims) {
        key << owner.first << owner.second << amount << ' ';
    }
    for (const std::string &organisation : m_impaired) {
        key << organisation << ' ';
    }
    if (m_checkedStates.contains(key.str())) {
        return;
    }
    m_checkedStates[key.str()] = true;
    if (m_impaired.empty()) {
        if (!isPackable(workers, all, claims)) {
            fail("the guarantees cannot all be claimed at once, and none is reported impaired");
        }
        return;
    }
    if (isPackable(workers, all, claims)) {
        fail("a guarantee is reported impaired although all can be claimed at once");
    }
    // Accelerators claimed by organisations with an impaired guarantee are not available to the others.
    for (auto claim = claims.begin(); claim != claims.end();) {
        if (!m_impaired.contains(claim->first.first)) {
            ++claim;
            continue;
        }
        for (ExactWorker &worker : workers) {
            worker.accelerators -= worker.id == claim->first.second ? claim->second : 0;
        }
        claim = claims.erase(claim);
    }
    if (!isPackable(workers, held, claims)) {
        fail("the guarantees not reported impaired cannot all be claimed at once");
    }
}

std::optional<std::string> GeneratedHistory::step()
{
    m_now += std::chrono::seconds(randomBool(0.05) ? randomInteger(60, 900) : randomInteger(0, 5));
    for (auto &[id, job] : m_jobs) {
        if (job.stopping && job.stopBy <= m_now) {
            job.starting = job.running = job.stopping = false;
            job.memberLostAt = NeverDue;
            deliver(GangStopped{job.request.id, job.attempt, false});
        }
    }
    deliver(randomEvent());
    return m_failure;
}

std::optional<std::string> GeneratedHistory::finish()
{
    for (auto &[id, workerState] : m_workers) {
        workerState.live = true;
        workerState.draining = false;
        deliver(WorkerJoined{m_specs[id]});
    }
    constexpr int MaximumRounds = 4000;
    for (int round = 0; round < MaximumRounds && !m_failure; ++round) {
        bool left = false;
        m_now += std::chrono::seconds(5);
        deliver(Tick{});
        for (auto &[id, job] : m_jobs) {
            left = left || !job.terminal;
            if (job.stopping) {
                job.starting = job.running = job.stopping = false;
                deliver(GangStopped{job.request.id, job.attempt, false});
            } else if (job.starting) {
                job.starting = false;
                job.running = true;
                deliver(GangStarted{job.request.id, job.attempt});
            } else if (job.running) {
                job.running = false;
                deliver(GangEnded{job.request.id, job.attempt, true, {}});
            }
        }
        if (!left) {
            return m_failure;
        }
    }
    for (const auto &[id, job] : m_jobs) {
        if (!job.terminal) {
            const auto why = m_scheduler.explain(job.request.id, m_now);
            fail(id + " did not reach a terminal state: "
                 + (why ? why->state + ", " + why->reason : std::string("unknown to the scheduler")));
        }
    }
    return m_failure;
}

} // namespace coriander::decision::test
