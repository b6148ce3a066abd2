#pragma once

#include <cstddef>

namespace coriander::decision {

/**
 * Limits the work of one part of a planning pass. The thread that plans also serves callers, the store and the term, so
 * a long pass is done in several parts.
 *
 * Load pattern: a backlog of many thousand steps that differ, so that each has to be compared with each worker; and
 * many small tasks that become due at once.
 *
 * Thread safety: none.
 */
class PlanningBudget
{
public:
    /** Work of one unit: the comparison of a step with a worker, some 40 ns. */
    static constexpr std::size_t MaximumWork = 200000;
    /** What a step takes beside the comparisons, and the number of its waiting tasks that take as long as one. */
    static constexpr std::size_t WorkPerStep = 20;
    static constexpr std::size_t TasksPerWork = 20;
    /** Assigning a task takes as long as this many comparisons. */
    static constexpr std::size_t WorkPerAssignment = 100;

    explicit PlanningBudget(std::size_t maximumWork = MaximumWork)
        : m_maximum(maximumWork)
    {
    }

    void spend(std::size_t work)
    {
        m_spent += work;
    }

    bool isSpent() const
    {
        return m_spent >= m_maximum;
    }

    /** Whether the part of the budget is spent that urgent work may take again before a pass is continued. */
    bool isUrgentShareSpent() const
    {
        return m_spent >= m_maximum / 2;
    }

private:
    std::size_t m_maximum;
    std::size_t m_spent = 0;
};

} // namespace coriander::decision
