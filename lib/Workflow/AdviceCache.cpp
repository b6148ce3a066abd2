#include "corianderscale/Workflow/AdviceCache.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Maximum number of workers in one question; the deployments' latency objectives allow for one question about 30. */
constexpr std::size_t MaximumWorkersPerQuestion = 30;
/** A ticket is not used in this time before it expires, so that the start arrives in time. */
constexpr Duration TicketMargin = std::chrono::milliseconds(300);
/** Pause before the next question after one without an answer. */
constexpr Duration FailedQuestionPause = std::chrono::milliseconds(300);

} // namespace

AdviceCache::AdviceCache(Clock clock, std::function<void()> answered)
    : m_clock(std::move(clock))
    , m_answered(std::move(answered))
{
}

void AdviceCache::setAdvisor(Advisor *advisor)
{
    m_advisor = advisor;
}

bool AdviceCache::usable(const WorkerAdvice &workerAdvice, const Worker &worker) const
{
    return workerAdvice.isApproved && workerAdvice.incarnation == worker.report.incarnation
        && m_clock.now() < workerAdvice.usableUntil;
}

std::set<WorkerId> AdviceCache::approved(const StepKey &step, const WorkerTable &workers) const
{
    std::set<WorkerId> result;
    const auto adviceByWorker = m_advice.find(step);
    if (adviceByWorker == m_advice.end()) {
        return result;
    }
    for (const auto &[id, workerAdvice] : adviceByWorker->second.workers) {
        const auto worker = workers.all().find(id);
        if (worker != workers.all().end() && usable(workerAdvice, worker->second)) {
            result.insert(id);
        }
    }
    return result;
}

std::string AdviceCache::ticket(const StepKey &step, const Worker &worker) const
{
    const auto adviceByWorker = m_advice.find(step);
    if (adviceByWorker == m_advice.end()) {
        return {};
    }
    const auto workerAdvice = adviceByWorker->second.workers.find(worker.report.id);
    return workerAdvice == adviceByWorker->second.workers.end() ? std::string() : workerAdvice->second.ticket;
}

AdviceCache::StepAdvice &AdviceCache::adviceOn(const StepKey &step)
{
    if (m_advice.size() >= MaximumSteps && !knows(step)) {
        m_advice.erase(std::min_element(m_advice.begin(), m_advice.end(), [](const auto &left, const auto &right) {
            return left.second.askedAt < right.second.askedAt;
        }));
    }
    StepAdvice &advice = m_advice[step];
    advice.askedAt = m_clock.now();
    return advice;
}

bool AdviceCache::knows(const StepKey &step) const
{
    return m_advice.count(step) > 0;
}

void AdviceCache::ask(const StepKey &step, const PlacementBoard &board, PlacementNeed need)
{
    if (m_advisor == nullptr || m_questionInFlight || m_clock.now() < m_nextAskAt) {
        return;
    }
    need.approved.reset();
    const std::map<WorkerId, WorkerAdvice> &adviceByWorker = adviceOn(step).workers;
    // Workers whose approval expired come first, then workers with room now, then all others.
    std::vector<std::pair<int, const Worker *>> candidates;
    for (const std::size_t index : board.eligible(need)) {
        const BoardEntry &entry = board.entries()[index];
        const auto workerAdvice = adviceByWorker.find(entry.worker->report.id);
        const bool known = workerAdvice != adviceByWorker.end()
            && workerAdvice->second.incarnation == entry.worker->report.incarnation;
        if (!entry.open || !fitsInto(need.perTask, entry.worker->report.capacity)
            || (known && (!workerAdvice->second.isApproved || usable(workerAdvice->second, *entry.worker)))) {
            continue;
        }
        candidates.emplace_back(known ? 0 : fitsInto(need.perTask, entry.room) ? 1 : 2, entry.worker);
    }
    if (candidates.empty()) {
        return;
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    candidates.resize(std::min(candidates.size(), MaximumWorkersPerQuestion));
    std::map<WorkerId, Incarnation> asked;
    std::vector<WorkerId> workerIds;
    for (const auto &[order, worker] : candidates) {
        asked[worker->report.id] = worker->report.incarnation;
        workerIds.push_back(worker->report.id);
    }
    m_questionInFlight = true;
    logEvent(LogLevel::Info,
             "advice-asked",
             {{"job", step.job}, {"occurrence", step.occurrence}, {"step", step.step}, {"workers", workerIds.size()}});
    const auto done = [this, alive = std::weak_ptr<int>(m_alive), step, asked, sentAt = m_clock.now()](
                          const std::optional<Advice> &advice, const std::string &reason) {
        if (!alive.lock()) {
            return;
        }
        m_questionInFlight = false;
        if (advice) {
            storeAdvice(step, asked, sentAt, *advice);
        } else {
            m_nextAskAt = m_clock.now() + FailedQuestionPause;
            logEvent(LogLevel::Warning, "advice-missing", {{"job", step.job}, {"reason", reason}});
        }
        m_answered();
    };
    m_advisor->ask(step, workerIds, done);
}

void AdviceCache::storeAdvice(const StepKey &step,
                              const std::map<WorkerId, Incarnation> &asked,
                              MonotonicTime sentAt,
                              const Advice &advice)
{
    const auto adviceByWorker = m_advice.find(step);
    if (adviceByWorker == m_advice.end()) {
        return;
    }
    for (const auto &[id, incarnation] : asked) {
        adviceByWorker->second.workers[id] = {incarnation, false, {}, {}};
    }
    for (const auto &[id, ticket] : advice.approved) {
        const auto known = asked.find(id);
        if (known != asked.end()) {
            adviceByWorker->second.workers[id] = {known->second, true, ticket, sentAt + advice.valid - TicketMargin};
        }
    }
    logEvent(LogLevel::Info,
             "advice-taken",
             {{"job", step.job},
              {"occurrence", step.occurrence},
              {"step", step.step},
              {"approved", advice.approved.size()},
              {"asked", asked.size()},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - sentAt).count()}});
}

void AdviceCache::dropTicket(const StepKey &step, const WorkerId &worker)
{
    const auto adviceByWorker = m_advice.find(step);
    if (adviceByWorker != m_advice.end()) {
        adviceByWorker->second.workers.erase(worker);
    }
}

void AdviceCache::forget(const JobId &job)
{
    std::erase_if(m_advice, [&job](const auto &each) { return each.first.job == job; });
}

void AdviceCache::forget(const StepKey &step)
{
    m_advice.erase(step);
}

} // namespace coriander::workflow
