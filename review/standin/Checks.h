#pragma once

#include "Fleet.h"

namespace review {

/** `finish_s` of the site sheet: jobs are asked for this long after the end of the traffic. */
constexpr double FinishSeconds = 14;

/**
 * The part of rule LOST on work that stands still: for 3 s a job has nothing running while a task's turn has come,
 * there is capacity for it twice over, and under half of the service's capacity is in use. For jobs without times whose
 * steps follow each other.
 */
class StandstillWatch
{
public:
    StandstillWatch(Fleet &fleet, std::string id);

    /** Looks once; call several times a second. */
    void look();
    bool broken() const;

private:
    bool standsStill() const;
    /** The step whose turn has come, or null if the job is done. */
    const StepPlan *currentStep() const;

    Fleet &m_fleet;
    std::string m_id;
    double m_since = -1;
    bool m_broken = false;
};

/** Calls @p next every 100 ms between two times in seconds. */
void repeat(Fleet &fleet, double from, double to, const std::function<void()> &next);

/** The state in an answer, or an empty string. */
std::string stateIn(const Answer &answer);

} // namespace review
