#include "Checks.h"

namespace review {

namespace {

constexpr double StandstillSeconds = 3;

std::int64_t slotsFor(const Amounts &need, const Amounts &free)
{
    std::int64_t slots = 1000;
    const auto bound = [&slots](std::int64_t wanted, std::int64_t have) {
        if (wanted > 0) {
            slots = std::min(slots, std::max<std::int64_t>(have, 0) / wanted);
        }
    };
    bound(need.cpu, free.cpu);
    bound(need.memory, free.memory);
    bound(need.gpu, free.gpu);
    return slots;
}

} // namespace

StandstillWatch::StandstillWatch(Fleet &fleet, std::string id)
    : m_fleet(fleet)
    , m_id(std::move(id))
{
}

const StepPlan *StandstillWatch::currentStep() const
{
    const JobView &job = m_fleet.job(m_id);
    for (std::size_t i = 0; i < job.plan.steps.size(); ++i) {
        const std::string prefix = m_id + ".0." + std::to_string(i) + ".";
        std::size_t done = 0;
        for (const std::string &task : job.doneTasks) {
            done += task.starts_with(prefix) ? 1 : 0;
        }
        if (done < job.plan.steps[i].count) {
            return &job.plan.steps[i];
        }
    }
    return nullptr;
}

bool StandstillWatch::standsStill() const
{
    const StepPlan *step = currentStep();
    if (step == nullptr || !m_fleet.job(m_id).runningTasks.empty()) {
        return false;
    }
    std::int64_t slots = 0;
    Amounts total;
    Amounts used;
    for (std::size_t i = 0; i < m_fleet.runnerCount(); ++i) {
        if (!m_fleet.runner(i).isUp() || m_fleet.runner(i).unhealthy()) {
            continue;
        }
        const Amounts capacity = m_fleet.runner(i).settings().capacity;
        const Amounts free = m_fleet.freeOn(i);
        slots += slotsFor(step->need, free);
        total = {total.cpu + capacity.cpu, total.memory + capacity.memory, total.gpu + capacity.gpu};
        used = {used.cpu + capacity.cpu - free.cpu,
                used.memory + capacity.memory - free.memory,
                used.gpu + capacity.gpu - free.gpu};
    }
    const bool underHalf
        = used.cpu * 2 < total.cpu && used.memory * 2 < total.memory && (total.gpu == 0 || used.gpu * 2 < total.gpu);
    return underHalf && slots >= 2 * static_cast<std::int64_t>(step->count);
}

void StandstillWatch::look()
{
    if (!standsStill()) {
        m_since = -1;
        return;
    }
    const double now = m_fleet.seconds();
    if (m_since < 0) {
        m_since = now;
    }
    if (!m_broken && now - m_since >= StandstillSeconds) {
        m_broken = true;
        m_fleet.record("LOST: job " + m_id
                       + " has had nothing running for 3 s, with capacity for it twice over and "
                         "under half of the capacity in use");
    }
}

bool StandstillWatch::broken() const
{
    return m_broken;
}

void repeat(Fleet &fleet, double from, double to, const std::function<void()> &next)
{
    fleet.at(from, [&fleet, from, to, next] {
        next();
        if (fleet.seconds() < to) {
            repeat(fleet, fleet.seconds() + 0.1, to, next);
        }
    });
}

std::string stateIn(const Answer &answer)
{
    return answer.body.is_object() ? answer.body.value("state", std::string()) : std::string();
}

} // namespace review
