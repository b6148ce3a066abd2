#include "corianderscale/Workflow/AdviceBook.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander::workflow {

namespace {

/** Maximum number of workers in one question; the deployments' latency objectives allow for one question about 30. */
constexpr std::size_t MostAsked = 30;
/** A ticket is not used in this time before it expires, so that the start arrives in time. */
constexpr Duration TicketMargin = std::chrono::milliseconds(300);
/** Pause before the next question after one without an answer. */
constexpr Duration AskAgainAfter = std::chrono::milliseconds(300);

} // namespace

AdviceBook::AdviceBook(Clock clock, std::function<void()> answered)
    : m_clock(std::move(clock))
    , m_answered(std::move(answered))
{
}

void AdviceBook::setAdvisor(Advisor *advisor)
{
    m_advisor = advisor;
}

bool AdviceBook::usable(const Opinion &opinion, const Worker &worker) const
{
    return opinion.good && opinion.incarnation == worker.report.incarnation && m_clock.now() < opinion.usableUntil;
}

std::set<WorkerId> AdviceBook::approved(const StepKey &step, const WorkerBook &workers) const
{
    std::set<WorkerId> result;
    const auto opinions = m_opinions.find(step);
    if (opinions == m_opinions.end()) {
        return result;
    }
    for (const auto &[id, opinion] : opinions->second) {
        const auto worker = workers.all().find(id);
        if (worker != workers.all().end() && usable(opinion, worker->second)) {
            result.insert(id);
        }
    }
    return result;
}

std::string AdviceBook::ticket(const StepKey &step, const Worker &worker) const
{
    const auto opinions = m_opinions.find(step);
    if (opinions == m_opinions.end()) {
        return {};
    }
    const auto opinion = opinions->second.find(worker.report.id);
    return opinion == opinions->second.end() ? std::string() : opinion->second.ticket;
}

void AdviceBook::ask(const StepKey &step, const PlacementBoard &board, PlacementNeed need)
{
    if (m_advisor == nullptr || m_asking || m_clock.now() < m_nextAskAt) {
        return;
    }
    need.approved.reset();
    std::map<WorkerId, Opinion> &opinions = m_opinions[step];
    // Workers whose approval expired come first, then workers with room now, then all others.
    std::vector<std::pair<int, const Worker *>> candidates;
    for (const std::size_t index : board.eligible(need)) {
        const BoardEntry &entry = board.entries()[index];
        const auto opinion = opinions.find(entry.worker->report.id);
        const bool known = opinion != opinions.end() && opinion->second.incarnation == entry.worker->report.incarnation;
        if (!entry.open || !fitsInto(need.perTask, entry.worker->report.capacity)
            || (known && (!opinion->second.good || usable(opinion->second, *entry.worker)))) {
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
    candidates.resize(std::min(candidates.size(), MostAsked));
    std::map<WorkerId, Incarnation> asked;
    std::vector<WorkerId> names;
    for (const auto &[order, worker] : candidates) {
        asked[worker->report.id] = worker->report.incarnation;
        names.push_back(worker->report.id);
    }
    m_asking = true;
    logEvent(LogLevel::Info,
             "advice-asked",
             {{"job", step.job}, {"occurrence", step.occurrence}, {"step", step.step}, {"workers", names.size()}});
    const auto done = [this, alive = std::weak_ptr<int>(m_alive), step, asked, sentAt = m_clock.now()](
                          const std::optional<Advice> &advice, const std::string &reason) {
        if (!alive.lock()) {
            return;
        }
        m_asking = false;
        if (advice) {
            take(step, asked, sentAt, *advice);
        } else {
            m_nextAskAt = m_clock.now() + AskAgainAfter;
            logEvent(LogLevel::Warning, "advice-missing", {{"job", step.job}, {"reason", reason}});
        }
        m_answered();
    };
    m_advisor->ask(step, names, done);
}

void AdviceBook::take(const StepKey &step,
                      const std::map<WorkerId, Incarnation> &asked,
                      MonotonicTime sentAt,
                      const Advice &advice)
{
    const auto opinions = m_opinions.find(step);
    if (opinions == m_opinions.end()) {
        return;
    }
    for (const auto &[id, incarnation] : asked) {
        opinions->second[id] = {incarnation, false, {}, {}};
    }
    for (const auto &[id, ticket] : advice.approved) {
        const auto known = asked.find(id);
        if (known != asked.end()) {
            opinions->second[id] = {known->second, true, ticket, sentAt + advice.valid - TicketMargin};
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

void AdviceBook::dropTicket(const StepKey &step, const WorkerId &worker)
{
    const auto opinions = m_opinions.find(step);
    if (opinions != m_opinions.end()) {
        opinions->second.erase(worker);
    }
}

void AdviceBook::forget(const JobId &job)
{
    std::erase_if(m_opinions, [&job](const auto &each) { return each.first.job == job; });
}

} // namespace coriander::workflow
