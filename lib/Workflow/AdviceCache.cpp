#include "corianderscale/Workflow/AdviceCache.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** A ticket is not used in this time before it expires, so that the start arrives in time. */
constexpr Duration TicketMargin = std::chrono::milliseconds(300);
/** Pause before the next question after one without an answer. */
constexpr Duration FailedQuestionPause = std::chrono::milliseconds(300);
/** The same for steps that wait for room. Another step that becomes ready in the meantime does not have to wait for a
 * further question without an answer. */
constexpr Duration FailedAdvancePause = std::chrono::seconds(5);

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

const AdviceCache::WorkerAdvice *AdviceCache::find(const StepKey &step, const Worker &worker) const
{
    const auto adviceByWorker = m_advice.find(step);
    if (adviceByWorker == m_advice.end()) {
        return nullptr;
    }
    const auto workerAdvice = adviceByWorker->second.workers.find(worker.report.id);
    const bool known = workerAdvice != adviceByWorker->second.workers.end()
        && workerAdvice->second.incarnation == worker.report.incarnation;
    return known ? &workerAdvice->second : nullptr;
}

bool AdviceCache::isOpen(const StepKey &step, const Worker &worker) const
{
    const WorkerAdvice *known = find(step, worker);
    return known == nullptr || (known->isApproved && !usable(*known, worker));
}

std::optional<std::set<WorkerId>> AdviceCache::possible(const StepKey &step, const WorkerTable &workers) const
{
    std::set<WorkerId> result;
    for (const auto &[id, worker] : workers.all()) {
        const WorkerAdvice *known = find(step, worker);
        if (known == nullptr || known->isApproved) {
            result.insert(result.end(), id);
        }
    }
    return result.size() == workers.all().size() ? std::nullopt : std::optional(std::move(result));
}

void AdviceCache::beginPart()
{
    m_first.reset();
    m_proposedStarts = 0;
}

bool AdviceCache::canAsk() const
{
    return m_advisor != nullptr && !m_questionInFlight && m_clock.now() >= m_nextAskAt;
}

std::vector<WorkerId> AdviceCache::neededWorkers(const AdviceQuestion &question, const PlacementBoard &board) const
{
    std::set<WorkerId> used;
    std::set<WorkerId> open;
    for (const std::size_t index : question.entries) {
        const Worker &worker = *board.entries()[index].worker;
        used.insert(worker.report.id);
        if (isOpen(question.step, worker)) {
            open.insert(worker.report.id);
        }
    }
    const std::set<WorkerId> &needed = question.gang && !open.empty() ? used : open;
    return {needed.begin(), needed.end()};
}

std::vector<WorkerId> AdviceCache::furtherWorkers(const AdviceQuestion &question,
                                                  const PlacementBoard &board,
                                                  bool roomOnly) const
{
    PlacementNeed need = question.need;
    need.approved.reset();
    // Workers whose approval expired come first, then workers with room now, then all others.
    std::vector<std::pair<int, const Worker *>> candidates;
    for (const std::size_t index : board.eligible(need)) {
        const BoardEntry &entry = board.entries()[index];
        const bool hasRoom = fitsInto(need.perTask, entry.room);
        if (entry.open && isOpen(question.step, *entry.worker) && fitsInto(need.perTask, entry.worker->report.capacity)
            && (hasRoom || !roomOnly)) {
            const bool known = find(question.step, *entry.worker) != nullptr;
            candidates.emplace_back(known ? 0 : hasRoom ? 1 : 2, entry.worker);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<WorkerId> workers;
    for (const auto &[order, worker] : candidates) {
        workers.push_back(worker->report.id);
    }
    return workers;
}

void AdviceCache::propose(AdviceQuestion question, const PlacementBoard &board)
{
    const bool starts = question.request.use != decision::AdviceUse::Later;
    if (!canAsk() || (!starts && (m_proposedStarts > 0 || m_clock.now() < m_nextAskInAdvanceAt))) {
        return;
    }
    if (starts ? neededWorkers(question, board).empty() : furtherWorkers(question, board, false).empty()) {
        return;
    }
    const bool again = m_first && m_first->step == question.step;
    m_proposedStarts += starts && !again ? 1 : 0;
    if (!m_first || again || m_turns.comesBefore(question.request, m_first->request)) {
        m_first = std::move(question);
    }
}

std::optional<StepKey> AdviceCache::askFirst(const PlacementBoard &board)
{
    if (!m_first || !canAsk()) {
        return std::nullopt;
    }
    const AdviceQuestion question = std::move(*m_first);
    m_first.reset();
    const bool othersWait = m_proposedStarts > 1;
    std::vector<WorkerId> workers = neededWorkers(question, board);
    const std::size_t most = m_pace.workersPerQuestion({workers.size(), question.gang, othersWait});
    for (const WorkerId &further : furtherWorkers(question, board, othersWait)) {
        if (workers.size() < most && std::find(workers.begin(), workers.end(), further) == workers.end()) {
            workers.push_back(further);
        }
    }
    workers.resize(std::min(workers.size(), most));
    std::map<WorkerId, Incarnation> asked;
    for (const WorkerId &id : workers) {
        if (const std::optional<std::size_t> entry = board.find(id)) {
            asked[id] = board.entries()[*entry].worker->report.incarnation;
        }
    }
    adviceOn(question.step);
    m_questionInFlight = true;
    m_turns.asked(question.request.use);
    const MonotonicTime now = m_clock.now();
    logEvent(
        LogLevel::Info,
        "advice-asked",
        {{"job", question.step.job},
         {"occurrence", question.step.occurrence},
         {"step", question.step.step},
         {"workers", workers.size()},
         {"use", decision::adviceUseName(question.request.use)},
         {"waits_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - question.request.waitsSince).count()},
         {"startable_steps", m_proposedStarts}});
    m_advisor->ask(question.step,
                   workers,
                   m_pace.timeLimit(workers.size()),
                   [this, alive = std::weak_ptr<int>(m_alive), step = question.step, asked, now](
                       const std::optional<Advice> &advice, const std::string &reason) {
                       if (alive.lock()) {
                           answered(step, asked, now, advice, reason);
                       }
                   });
    return question.step;
}

void AdviceCache::answered(const StepKey &step,
                           const std::map<WorkerId, Incarnation> &asked,
                           MonotonicTime sentAt,
                           const std::optional<Advice> &advice,
                           const std::string &reason)
{
    m_questionInFlight = false;
    if (advice) {
        m_unanswered = 0;
        m_pace.answered(asked.size(), m_clock.now() - sentAt, advice->valid);
        m_nextAskInAdvanceAt = m_clock.now();
        storeAdvice(step, asked, sentAt, *advice);
    } else {
        ++m_unanswered;
        m_pace.unanswered();
        m_nextAskAt = m_clock.now() + FailedQuestionPause;
        m_nextAskInAdvanceAt = m_clock.now() + FailedAdvancePause;
        logEvent(LogLevel::Warning,
                 "advice-missing",
                 {{"job", step.job},
                  {"occurrence", step.occurrence},
                  {"step", step.step},
                  {"reason", reason},
                  {"in_a_row", m_unanswered}});
    }
    m_answered();
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
