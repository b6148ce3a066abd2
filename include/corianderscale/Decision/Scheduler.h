#pragma once

#include "corianderscale/Decision/Policy.h"
#include "corianderscale/Decision/Types.h"

#include <memory>
#include <string_view>
#include <vector>

namespace coriander::decision {

/**
 * Decides for one data centre which gangs run where. Deterministic: the same events and times give the same decisions.
 *
 * Thread safety: not thread safe; one thread owns it.
 */
class Scheduler
{
public:
    /** Precondition: all hooks of @p policy are set. */
    explicit Scheduler(Policy policy);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /** Handles an event and returns the decisions in order. Precondition: @p now never decreases between calls. */
    std::vector<Decision> handle(const Event &event, MonotonicTime now);

    /** Explains the state of a job; returns no value for an unknown job. */
    std::optional<Explanation> explain(const JobId &job, MonotonicTime now) const;

    /** All gangs that hold capacity, in the order of their submission. */
    std::vector<PlacementView> placements() const;

    /** When the next Tick is due, or NeverDue. */
    MonotonicTime nextTick() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * Returns a policy by name: `corianderscale`, or one of the baselines `fifo-first-fit`, `quota-best-fit` and
 * `fifo-backfill`; no value for others.
 */
std::optional<Policy> makePolicy(std::string_view name);

/**
 * Whether all guarantees of one data centre can be packed at once into the racks. On failure @p reason names the
 * shape that does not fit. Thread safety: pure function.
 */
bool packGuarantees(const std::vector<WorkerSpec> &workers,
                    const std::vector<OrganisationPolicy> &organisations,
                    std::string &reason);

} // namespace coriander::decision
