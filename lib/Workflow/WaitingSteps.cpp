#include "corianderscale/Workflow/WaitingSteps.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace coriander::workflow {

namespace {

/** Order of a heap with the lowest position at the front. */
bool comesLater(const WaitingStep &left, const WaitingStep &right)
{
    // The same as comparing the positions, without copies of the ids.
    const auto key = [](const WaitingStep &step) {
        return std::tuple<double, MonotonicTime, const JobId &, std::size_t, std::size_t>(
            step.rank, step.since() + step.objective, step.job->spec.id, step.occurrence, step.step);
    };
    return key(right) < key(left);
}

} // namespace

MonotonicTime WaitingStep::since() const
{
    return firstSince + job->spec.interval * static_cast<std::int64_t>(occurrence);
}

PlanningPosition WaitingStep::position() const
{
    return {rank, since() + objective, job->spec.id, occurrence, step};
}

void WaitingSteps::add(WaitingStep step)
{
    step.occurrence = step.occurrences.find_first();
    if (step.occurrence == boost::dynamic_bitset<>::npos) {
        return;
    }
    m_steps.push_back(std::move(step));
    std::push_heap(m_steps.begin(), m_steps.end(), comesLater);
}

void WaitingSteps::moveOn(const std::function<bool(const WaitingStep &)> &isPassed)
{
    std::pop_heap(m_steps.begin(), m_steps.end(), comesLater);
    WaitingStep &step = m_steps.back();
    do {
        step.occurrence = step.occurrences.find_next(step.occurrence);
    } while (step.occurrence != boost::dynamic_bitset<>::npos && isPassed(step));
    if (step.occurrence == boost::dynamic_bitset<>::npos) {
        m_steps.pop_back();
    } else {
        std::push_heap(m_steps.begin(), m_steps.end(), comesLater);
    }
}

void WaitingSteps::advanceFirst()
{
    moveOn([](const WaitingStep &) { return false; });
}

void WaitingSteps::skipFirstThrough(const PlanningPosition &position)
{
    if (first().rank < position.rank) {
        dropFirst();
        return;
    }
    moveOn([&position](const WaitingStep &step) { return step.position() <= position; });
}

void WaitingSteps::dropFirst()
{
    std::pop_heap(m_steps.begin(), m_steps.end(), comesLater);
    m_steps.pop_back();
}

} // namespace coriander::workflow
