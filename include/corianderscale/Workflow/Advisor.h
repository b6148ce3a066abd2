#pragma once

#include "corianderscale/Workflow/JobSpec.h"
#include "corianderscale/Workflow/WorkerMessages.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander::workflow {

/** Names a step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;

    auto operator<=>(const StepKey &) const = default;
};

/** Which of the workers that were asked about may run a step. */
struct Advice {
    /** Approved workers with the ticket that a start there has to carry. */
    std::vector<std::pair<WorkerId, std::string>> approved;
    /** How long the tickets are valid. */
    Duration valid{};
};

/** Advice, or no value and the reason. */
using AdviceDone = std::function<void(const std::optional<Advice> &, const std::string &reason)>;

/**
 * The service that knows which workers the policy of a queue allows. It handles one call of an instance at a time.
 * Completions run later on the thread of the event loop, exactly once. Thread safety: that thread only.
 */
class Advisor
{
public:
    virtual ~Advisor() = default;

    /** Precondition: at most 100 workers. */
    virtual void ask(const StepKey &step, const std::vector<WorkerId> &workers, AdviceDone done) = 0;
};

} // namespace coriander::workflow
