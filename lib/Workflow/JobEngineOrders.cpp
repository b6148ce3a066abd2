#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

const char *outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::NotApproved:
        return "not-approved";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::OtherIncarnation:
        return "other-incarnation";
    case OrderOutcome::Unreachable:
        return "unreachable";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

const char *endKindName(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseLapsed:
        return "lease-lapsed";
    case EndKind::GangBroken:
        return "gang-broken";
    case EndKind::GangIncomplete:
        return "gang-incomplete";
    }
    return "unknown";
}

OrderTarget JobEngine::targetOf(const Worker &worker) const
{
    return {worker.report.id, worker.report.address, worker.report.incarnation, m_epoch};
}

std::optional<WorkerClockMs> JobEngine::grantLease(Worker &worker)
{
    const MonotonicTime now = m_clock.now();
    if (!worker.clock || now > m_termConfirmedAt + m_times.leaseGrantWindow) {
        return std::nullopt;
    }
    const std::int64_t leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_times.lease).count();
    const WorkerClockMs until = earliestClock(*worker.clock, now) + WorkerClockMs(leaseMs);
    worker.leaseUntil = std::max(worker.leaseUntil, until);
    worker.leaseGranted = true;
    return until;
}

bool JobEngine::recordAnswer(Worker &worker, const OrderAnswer &answer)
{
    const MonotonicTime now = m_clock.now();
    if (answer.outcome == OrderOutcome::Unreachable || answer.outcome == OrderOutcome::Unknown) {
        if (++worker.silentCalls == 1) {
            logEvent(LogLevel::Warning,
                     "worker-silent",
                     {{"worker", worker.report.id},
                      {"outcome", outcomeName(answer.outcome)},
                      {"reason", answer.reason},
                      {"runs", worker.runs.size()}});
        }
        return false;
    }
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        workerLost(worker, "another incarnation answers at the address of the worker");
        worker.listed = false;
        m_poolsOutdated = true;
        return false;
    }
    if (answer.outcome == OrderOutcome::Superseded) {
        m_superseded = true;
        return false;
    }
    if (worker.silentCalls > 0) {
        logEvent(
            LogLevel::Info, "worker-answers", {{"worker", worker.report.id}, {"silent_calls", worker.silentCalls}});
        m_planWanted = true;
    }
    worker.silentCalls = 0;
    worker.lastAnswerAt = now;
    if (answer.clock) {
        worker.clock = ClockSample{*answer.clock, now};
    }
    return true;
}

void JobEngine::sendStart(Worker &worker, Run &run)
{
    Job *job = findJobOf(run.task);
    const RunKey key{run.task, run.number};
    const MonotonicTime now = m_clock.now();
    const bool unusable = !worker.listed || worker.reportOutdated || worker.report.draining || worker.silentCalls > 0
        || now - m_discoveryReadAt > m_times.maximumDiscoveryAge;
    const bool mayBeEvacuated = isEvacuated(worker) || !knowsEvacuations(now);
    if (job == nullptr || run.stopWanted || unusable || mayBeEvacuated) {
        runGone(worker, key, "the start was not sent");
        if (job != nullptr && job->step(key.first).gang) {
            stopGang(*job, key.first, key.second);
        }
        return;
    }
    const std::optional<WorkerClockMs> lease = grantLease(worker);
    if (!lease) {
        runGone(worker, key, "no lease may be granted at present");
        return;
    }
    StartOrder order;
    order.task = run.task;
    order.run = run.number;
    order.payload = job->spec.payload;
    order.leaseUntil = *lease;
    if (const Task *task = job->task(run.task)) {
        order.checkpoint = task->checkpoint;
    }
    order.ticket = m_advice.ticket({run.task.job, run.task.occurrence, run.task.step}, worker);
    run.start = StartState::Sent;
    ++m_counts.startsSent;
    if (worker.startsInFlight++ == 0) {
        worker.startsDueAt = now;
    }
    logEvent(LogLevel::Info,
             "start-sent",
             {{"task", toString(run.task)},
              {"run", run.number},
              {"worker", worker.report.id},
              {"epoch", m_epoch},
              {"resumes", !order.checkpoint.empty()}});
    m_orders.start(
        targetOf(worker),
        order,
        [this, alive = std::weak_ptr<int>(m_alive), to = addresseeOf(worker), key](const OrderAnswer &answer) {
            if (alive.lock()) {
                startAnswered(to, key, answer);
            }
        });
}

JobEngine::Addressee JobEngine::addresseeOf(const Worker &worker)
{
    return {worker.report.id, worker.report.incarnation};
}

Worker *JobEngine::findAddressee(const Addressee &to)
{
    Worker *worker = m_workers.find(to.worker);
    return worker != nullptr && worker->report.incarnation == to.incarnation ? worker : nullptr;
}

void JobEngine::startAnswered(const Addressee &to, const RunKey &key, const OrderAnswer &answer)
{
    Worker *worker = findAddressee(to);
    if (worker == nullptr) {
        return;
    }
    worker->startsInFlight = std::max(0, worker->startsInFlight - 1);
    recordAnswer(*worker, answer);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        return;
    }
    const MonotonicTime now = m_clock.now();
    found->second.startCallEndedAt = now;
    worker->nextHoldAt = std::min(worker->nextHoldAt, now);
    if (answer.outcome == OrderOutcome::Done) {
        found->second.start = StartState::Accepted;
        runPresent(*worker, key, "start accepted");
        return;
    }
    logEvent(LogLevel::Info,
             "start-not-done",
             {{"task", toString(key.first)},
              {"run", key.second},
              {"worker", to.worker},
              {"outcome", outcomeName(answer.outcome)},
              {"reason", answer.reason}});
    if (answer.outcome == OrderOutcome::Unknown) {
        found->second.start = StartState::Unclear;
        return;
    }
    if (answer.outcome == OrderOutcome::NotApproved) {
        m_advice.dropTicket({key.first.job, key.first.occurrence, key.first.step}, to.worker);
    }
    if (answer.outcome == OrderOutcome::Refused) {
        worker->avoidedUntil = std::max(worker->avoidedUntil, now + m_times.refusalAvoidTime);
    }
    runGone(*worker, key, "the start was not carried out");
    Job *job = findJobOf(key.first);
    if (job != nullptr && job->step(key.first).gang) {
        stopGang(*job, key.first, key.second);
    }
}

void JobEngine::sendDueStops(Worker &worker, MonotonicTime now)
{
    std::vector<RunKey> neverSent;
    for (auto &[key, run] : worker.runs) {
        if (!run.stopWanted || run.stopInFlight || run.stopConfirmedAt || now < run.nextStopAt) {
            continue;
        }
        if (run.start == StartState::NotSent) {
            neverSent.push_back(key);
            continue;
        }
        if (worker.report.address.empty()) {
            continue;
        }
        run.stopInFlight = true;
        m_orders.stop(targetOf(worker),
                      {run.task, run.number},
                      [this, alive = std::weak_ptr<int>(m_alive), to = addresseeOf(worker), key = key](
                          const OrderAnswer &answer) {
                          if (alive.lock()) {
                              stopAnswered(to, key, answer);
                          }
                      });
    }
    for (const RunKey &key : neverSent) {
        runGone(worker, key, "the run was stopped before its start was sent");
    }
}

void JobEngine::stopAnswered(const Addressee &to, const RunKey &key, const OrderAnswer &answer)
{
    Worker *worker = findAddressee(to);
    if (worker == nullptr) {
        return;
    }
    const bool answered = recordAnswer(*worker, answer);
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end()) {
        return;
    }
    Run &run = found->second;
    const MonotonicTime now = m_clock.now();
    run.stopInFlight = false;
    if (answered && answer.outcome == OrderOutcome::Done) {
        run.stopConfirmedAt = now;
        worker->nextHoldAt = std::min(worker->nextHoldAt, now);
        return;
    }
    run.nextStopAt = now + m_times.retryAfter;
}

bool JobEngine::isHoldDue(const Worker &worker, MonotonicTime now) const
{
    if (worker.holdInFlight || worker.report.address.empty() || now < worker.nextHoldAt) {
        return false;
    }
    if (!worker.listed && worker.runs.empty()) {
        return false;
    }
    return !worker.known || !worker.runs.empty() || worker.lastStoredEnd > worker.lastAcknowledgedEnd
        || worker.silentCalls > 0;
}

Duration JobEngine::holdWait(const Worker &worker) const
{
    const bool urgent = std::any_of(worker.runs.begin(), worker.runs.end(), [this](const auto &each) {
        const Job *job = findJobOf(each.first.first);
        return job != nullptr && job->spec.policy && job->spec.policy->priority == 0;
    });
    return urgent ? m_times.urgentHoldWait : m_times.holdWait;
}

void JobEngine::sendDueHold(Worker &worker, MonotonicTime now)
{
    if (!isHoldDue(worker, now)) {
        return;
    }
    HoldOrder order;
    // Each incarnation numbers its ends from 1, so ends are acknowledged only when the incarnation is certain.
    const bool sameIncarnation
        = worker.known && worker.silentCalls == 0 && now - worker.lastHoldAt < m_times.sameIncarnationWindow;
    if (sameIncarnation) {
        order.acknowledgedThrough = worker.lastStoredEnd;
    }
    const bool canWait = sameIncarnation && !worker.runs.empty();
    if (canWait) {
        order.wait = holdWait(worker);
    }
    // A hold to a worker that does not answer does not extend the lease, so its leases end at a known time.
    if (!worker.runs.empty() && worker.silentCalls == 0) {
        order.leaseUntil = grantLease(worker);
    }
    worker.holdInFlight = true;
    worker.holdSentAt = now;
    worker.holdDueAt = now + order.wait;
    const SentHold hold{addresseeOf(worker), now, order.acknowledgedThrough};
    m_orders.hold(targetOf(worker), order, [this, alive = std::weak_ptr<int>(m_alive), hold](const HoldAnswer &answer) {
        if (alive.lock()) {
            holdAnswered(hold, answer);
        }
    });
}

void JobEngine::holdAnswered(const SentHold &hold, const HoldAnswer &answer)
{
    Worker *worker = findAddressee(hold.to);
    if (worker == nullptr) {
        return;
    }
    if (answer.outcome == OrderOutcome::Done) {
        worker->lastAcknowledgedEnd = std::max(worker->lastAcknowledgedEnd, hold.acknowledged);
    }
    const MonotonicTime now = m_clock.now();
    if (hold.sentAt == worker->holdSentAt) {
        worker->holdInFlight = false;
    }
    worker->nextHoldAt = now + m_times.retryAfter;
    if (!recordAnswer(*worker, answer) || answer.outcome != OrderOutcome::Done) {
        return;
    }
    if (answer.incarnation && *answer.incarnation != worker->report.incarnation) {
        workerRestarted(*worker, *answer.incarnation);
        worker->clock = answer.clock ? std::optional(ClockSample{*answer.clock, now}) : std::nullopt;
    }
    if (!worker->known) {
        worker->known = true;
        m_planWanted = true;
    }
    worker->lastHoldAt = now;
    processEnds(*worker, answer.ended);
    processRunning(*worker, answer.running);
    checkUnlistedRuns(*worker, hold.sentAt, answer);
    const bool endsOpen = worker->lastProcessedEnd > worker->lastStoredEnd;
    worker->nextHoldAt = endsOpen ? now + m_times.unstoredRunEndsPause : now;
}

void JobEngine::checkUnlistedRuns(Worker &worker, MonotonicTime sentAt, const HoldAnswer &answer)
{
    const MonotonicTime now = m_clock.now();
    if (answer.moreEnds) {
        // A run in neither list may have ended; its end is listed after earlier ones are stored and forgotten.
        logEvent(LogLevel::Info,
                 "ends-incomplete",
                 {{"worker", worker.report.id},
                  {"listed", answer.ended.size()},
                  {"processed", worker.lastProcessedEnd},
                  {"stored", worker.lastStoredEnd},
                  {"runs", worker.runs.size()}});
        return;
    }
    std::set<RunKey> running;
    for (const RunningTask &each : answer.running) {
        running.emplace(each.task, each.run);
    }
    std::vector<RunKey> gone;
    for (auto &[key, run] : worker.runs) {
        const bool settled = run.start == StartState::Accepted || run.start == StartState::Unclear;
        if (!settled || running.count(key) > 0 || run.startCallEndedAt > sentAt) {
            continue;
        }
        if (run.earlierTerm || (run.stopConfirmedAt && *run.stopConfirmedAt <= sentAt)) {
            gone.push_back(key);
            continue;
        }
        if (run.start == StartState::Unclear && now - run.startCallEndedAt < m_times.unclearStartTimeout) {
            continue;
        }
        if (!run.stopWanted) {
            run.stopWanted = true;
            run.nextStopAt = now;
        }
    }
    for (const RunKey &key : gone) {
        runGone(worker, key, "the worker does not list the run and will refuse it");
        Job *job = findJobOf(key.first);
        if (job != nullptr && job->step(key.first).gang) {
            stopGang(*job, key.first, key.second);
        }
    }
}

void JobEngine::expireLeases(MonotonicTime now)
{
    std::vector<WorkerId> gone;
    for (auto &[id, worker] : m_workers.all()) {
        if (worker.runs.empty()) {
            if (!worker.listed && !worker.holdInFlight) {
                gone.push_back(id);
            }
            continue;
        }
        const bool silent = worker.silentCalls > 0 || !worker.known;
        const bool over = now > worker.earlierLeasesEndAt && (!worker.leaseGranted || leasesHaveEnded(worker, now));
        if (silent && over) {
            workerLost(worker, "all leases of the worker have ended");
        }
    }
    for (const WorkerId &id : gone) {
        m_workerSpeeds[m_workers.find(id)->report.service].forget(id);
        m_workers.all().erase(id);
    }
}

} // namespace coriander::workflow
