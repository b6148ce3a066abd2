#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "SchedulerSimulation.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

/** One generated step of a history. The action decides what worker and duration are used for. */
struct Step {
    int action = 0;
    int worker = 0;
    int duration = 0;
};

std::vector<Step> makeSteps()
{
    const auto step
        = rc::gen::construct<Step>(rc::gen::inRange(0, 9), rc::gen::inRange(0, 4), rc::gen::inRange(1, 200));
    return *rc::gen::resize(30, rc::gen::container<std::vector<Step>>(step));
}

void apply(SchedulerSimulation &simulation, const Step &step, int index, int &faultsLeft)
{
    const std::string worker = fmt::format("w{}", step.worker);
    switch (step.action) {
    case 0:
    case 1:
    case 2:
        simulation.submit(
            fmt::format("j{}", index),
            1 + step.worker,
            fmt::format("run ms={} {}", 500 * step.duration, step.duration % 7 == 0 ? "outcome=fail" : ""),
            4);
        break;
    case 3:
        simulation.takeOver(fmt::format("s{}", index));
        break;
    case 4:
        simulation.restartWorker(worker);
        break;
    case 5:
        if (!simulation.runs.empty()) {
            simulation.cancel(simulation.runs.back().job);
        }
        break;
    default:
        faultsLeft = step.duration / 10;
        break;
    }
    simulation.advance(std::chrono::milliseconds(100 * step.duration));
}

// Guards against concurrent attempts of a job, partial gangs that run past the bound, usage counted twice, and jobs
// that never end, in any order of submissions, takeovers, restarts, cancellations and lost messages.
TEST(SchedulerInterleavingTest, InvariantsHoldInGeneratedHistories)
{
    const bool invariantsHold = rc::check([] {
        SchedulerSimulation simulation;
        for (int index = 0; index < 4; ++index) {
            simulation.addWorker(fmt::format("w{}", index));
        }
        simulation.takeOver("s0");
        const std::vector<Step> steps = makeSteps();
        const int seed = *rc::gen::inRange(0, 1000);
        int faultsLeft = 0;
        int message = seed;
        simulation.faultHook = [&](const std::string &, const auto &) {
            if (faultsLeft == 0) {
                return LinkFault::None;
            }
            --faultsLeft;
            message = message * 31 + 7;
            return static_cast<LinkFault>(static_cast<unsigned>(message / 8) % 4U);
        };
        int index = 0;
        for (const Step &step : steps) {
            apply(simulation, step, ++index, faultsLeft);
        }
        faultsLeft = 0;
        simulation.advance(1500s, 500ms);
        RC_ASSERT(simulation.violations == std::vector<std::string>());
        std::int64_t runAcceleratorMs = 0;
        for (const SchedulerSimulation::TaskRun &run : simulation.runs) {
            RC_ASSERT(run.to != NeverDue);
            RC_ASSERT(isTerminal(simulation.row(run.job).state));
            runAcceleratorMs += 4 * std::chrono::duration_cast<std::chrono::milliseconds>(run.to - run.from).count();
        }
        RC_ASSERT(simulation.acceleratorMsInRows() <= runAcceleratorMs);
    });
    EXPECT_TRUE(invariantsHold);
}

} // namespace
} // namespace coriander
