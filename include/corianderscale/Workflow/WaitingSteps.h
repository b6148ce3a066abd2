#pragma once

#include "corianderscale/Workflow/JobTable.h"

#include <boost/dynamic_bitset.hpp>

#include <compare>
#include <cstddef>
#include <functional>
#include <vector>

namespace coriander::workflow {

/** Position of a waiting step in the order of a planning pass; lower positions come first. */
struct PlanningPosition {
    /** See decision::waitingRank(). */
    double rank = 0;
    /** When the occurrence becomes late. */
    MonotonicTime objective;
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;

    auto operator<=>(const PlanningPosition &) const = default;
};

/** A step of a job, in the occurrences in which it waits and has the same rank. The other members belong to all of
 * them. */
struct WaitingStep {
    Job *job = nullptr;
    const QueuePolicy *policy = nullptr;
    std::size_t step = 0;
    boost::dynamic_bitset<> occurrences;
    double rank = 0;
    /** Whether the step would end after the objective even if it started now. */
    bool late = false;
    /** Whether the organisation's guarantee covers the job. */
    bool guaranteed = false;
    /** When occurrence 0 was submitted or due. */
    MonotonicTime firstSince;
    /** Time from when an occurrence was submitted or due until it is late. */
    Duration objective{};
    /** The occurrence that comes first. */
    std::size_t occurrence = 0;

    /** When the occurrence was submitted or due. */
    MonotonicTime since() const;
    PlanningPosition position() const;
};

/**
 * The waiting steps of all jobs in the order in which a planning pass comes to them. Occurrences of a step are ordered
 * when it is their turn, so the cost of a pass does not follow their number.
 *
 * Thread safety: none.
 */
class WaitingSteps
{
public:
    /** Adds a step; ignored if it waits in no occurrence. */
    void add(WaitingStep step);
    bool empty() const
    {
        return m_steps.empty();
    }
    /** The step with the lowest position. Precondition: not empty. */
    const WaitingStep &first() const
    {
        return m_steps.front();
    }
    /** Goes on to the step's next occurrence. Precondition: not empty. */
    void advanceFirst();
    /** Goes on to the step's first occurrence after @p position. Precondition: not empty. */
    void skipFirstThrough(const PlanningPosition &position);
    /** Leaves the step out with all its further occurrences. Precondition: not empty. */
    void dropFirst();

private:
    /** Goes on to the first step's next occurrence that is not passed, or leaves the step out if there is none. */
    void moveOn(const std::function<bool(const WaitingStep &)> &isPassed);

    /** A heap with the lowest position at the front. */
    std::vector<WaitingStep> m_steps;
};

} // namespace coriander::workflow
