#include "corianderscale/Decision/Scheduler.h"

#include <cassert>

#include "SchedulerImplementation.h"

namespace coriander::decision {

Scheduler::Scheduler(Policy policy)
    : m_implementation(std::make_unique<Implementation>(std::move(policy)))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

std::vector<Decision> Scheduler::handle(const Event &event, MonotonicTime now)
{
    return m_implementation->handle(event, now);
}

std::optional<Explanation> Scheduler::explain(const JobId &job, MonotonicTime now) const
{
    return m_implementation->explain(job, now);
}

std::vector<PlacementView> Scheduler::placements() const
{
    return m_implementation->placements();
}

MonotonicTime Scheduler::nextTick() const
{
    return m_implementation->nextTick();
}

Scheduler::Implementation::Implementation(Policy policy)
    : m_policy(std::move(policy))
{
    assert(m_policy.rank && m_policy.order && m_policy.chooseWorkers && "all hooks of a policy must be set");
    assert(m_policy.victimCost && m_policy.mayBorrow && "all hooks of a policy must be set");
}

std::vector<Decision> Scheduler::Implementation::handle(const Event &event, MonotonicTime now)
{
    assert(now >= m_now && "the time of an event must not be before that of the previous event");
    m_now = now;
    m_decisions.clear();
    m_submittedJob = nullptr;
    std::visit([this](const auto &typed) { on(typed); }, event);
    if (m_fleetChanged) {
        applyFleetChange();
    }
    if (m_now >= m_nextMaintenance) {
        runMaintenance();
    }
    schedule();
    return std::move(m_decisions);
}

std::vector<PlacementView> Scheduler::Implementation::placements() const
{
    std::vector<PlacementView> views;
    views.reserve(m_active.size());
    for (const auto &[sequence, job] : m_active) {
        views.push_back({job->request.id,
                         job->request.organisation,
                         job->attempt,
                         m_fleet.expand(job->parts),
                         job->guaranteed,
                         job->state == JobState::Stopping});
    }
    return views;
}

MonotonicTime Scheduler::Implementation::nextTick() const
{
    if (m_jobs.empty() && m_quarantine.size() == 0 && m_impaired.empty()) {
        return NeverDue;
    }
    return std::min(m_nextMaintenance, m_nextRetry);
}

} // namespace coriander::decision
