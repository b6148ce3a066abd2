#include "corianderscale/Workflow/StoreWatch.h"

#include <algorithm>
#include <utility>

namespace coriander::workflow {

const char *storeReachName(StoreReach reach)
{
    switch (reach) {
    case StoreReach::Reachable:
        return "reachable";
    case StoreReach::Slow:
        return "slow";
    case StoreReach::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

StoreWatch::StoreWatch(Settings settings, Clock clock, RowStore &store, Changed changed)
    : m_settings(settings)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_changed(std::move(changed))
{
}

void StoreWatch::change(RowChange change, Duration limit, ChangeDone done)
{
    const MonotonicTime sentAt = m_clock.now();
    begin(sentAt);
    m_store.change(
        std::move(change),
        limit,
        [this, alive = std::weak_ptr<int>(m_alive), sentAt, done = std::move(done)](const ChangeResult &result) {
            if (alive.lock()) {
                m_inFlight.extract(sentAt);
                const bool answered
                    = result.outcome == ChangeOutcome::Committed || result.outcome == ChangeOutcome::Conflict;
                record(sentAt, answered, Duration(0), result.reason);
            }
            done(result);
        });
}

void StoreWatch::read(
    const std::string &table, const std::string &from, const std::string &to, Duration limit, PageDone done)
{
    const MonotonicTime sentAt = m_clock.now();
    begin(sentAt);
    m_store.read(table,
                 from,
                 to,
                 limit,
                 [this, alive = std::weak_ptr<int>(m_alive), sentAt, done = std::move(done)](
                     const std::optional<RowPage> &page, const StateError &error) {
                     if (alive.lock()) {
                         m_inFlight.extract(sentAt);
                         record(sentAt, page.has_value(), Duration(0), error.reason);
                     }
                     done(page, error);
                 });
}

void StoreWatch::follow(const std::string &table, RowVersion after, Duration wait, Duration limit, PageDone done)
{
    m_store.follow(table,
                   after,
                   wait,
                   limit,
                   [this, alive = std::weak_ptr<int>(m_alive), sentAt = m_clock.now(), wait, done = std::move(done)](
                       const std::optional<RowPage> &page, const StateError &error) {
                       if (alive.lock()) {
                           const bool answered = page || error.code == StateCode::NotFound;
                           record(sentAt, answered, wait, error.reason);
                       }
                       done(page, error);
                   });
}

void StoreWatch::begin(MonotonicTime sentAt)
{
    m_inFlight.insert(sentAt);
}

void StoreWatch::record(MonotonicTime sentAt, bool answered, Duration waited, const std::string &reason)
{
    if (sentAt < m_lastAnsweredSentAt) {
        return;
    }
    const MonotonicTime now = m_clock.now();
    if (answered) {
        m_lastAnsweredSentAt = sentAt;
        if (waited == Duration(0)) {
            m_lastAnswerTook = now - sentAt;
        }
        m_failuresInRow = 0;
        m_firstFailureAt = NeverDue;
        if (std::exchange(m_reportedUnreachable, false)) {
            m_changed(true, {});
        }
        return;
    }
    if (m_failuresInRow++ == 0) {
        m_firstFailureAt = now;
    }
    if (reach() == StoreReach::Unreachable && !std::exchange(m_reportedUnreachable, true)) {
        m_changed(false, reason);
    }
}

bool StoreWatch::isOverdue(MonotonicTime now) const
{
    const auto oldest = m_inFlight.upper_bound(m_lastAnsweredSentAt);
    const Duration limit = std::max(m_settings.overdueAfter, m_settings.overduePerAnswerTime * m_lastAnswerTook);
    return oldest != m_inFlight.end() && now - *oldest > limit;
}

StoreReach StoreWatch::reach() const
{
    const int overdue = isOverdue(m_clock.now()) ? 1 : 0;
    if (m_failuresInRow + overdue >= m_settings.failuresForUnreachable) {
        return StoreReach::Unreachable;
    }
    return m_lastAnswerTook > m_settings.slowAnswer ? StoreReach::Slow : StoreReach::Reachable;
}

std::optional<MonotonicTime> StoreWatch::unreachableSince() const
{
    if (reach() != StoreReach::Unreachable) {
        return std::nullopt;
    }
    return std::min(m_firstFailureAt, m_clock.now());
}

} // namespace coriander::workflow
