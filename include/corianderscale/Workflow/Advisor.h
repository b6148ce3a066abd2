#pragma once

#include "corianderscale/Decision/AdvicePace.h"
#include "corianderscale/Workflow/JobSpec.h"
#include "corianderscale/Workflow/WorkerMessages.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander::workflow {

/** The advisor's answer: which of the workers in the question may run the step. */
struct Advice {
    /** Approved workers, each with the ticket that a start on it has to carry. */
    std::vector<std::pair<WorkerId, std::string>> approved;
    /** How long the tickets are valid. */
    Duration valid{};
};

/** Called with the advice, or with no value and the reason. */
using AdviceDone = std::function<void(const std::optional<Advice> &, const std::string &reason)>;

/**
 * Interface to the service that decides which workers the policy of a queue allows. The service handles one call of an
 * instance at a time.
 * Completions run later on the thread of the event loop, exactly once. Thread safety: that thread only.
 */
class Advisor
{
public:
    virtual ~Advisor() = default;

    /** Gives up after @p timeLimit. Precondition: at most decision::MaximumAdviceWorkers workers. */
    virtual void ask(const StepKey &step, const std::vector<WorkerId> &workers, Duration timeLimit, AdviceDone done)
        = 0;
};

} // namespace coriander::workflow
