#include <gtest/gtest.h>

#include <rapidcheck.h>

#include "CoreWorld.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

/** One generated step of a history; @c worker and @c duration also parametrise the action. */
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

void apply(CoreWorld &world, const Step &step, int index, int &faultsLeft)
{
    const std::string worker = fmt::format("w{}", step.worker);
    switch (step.action) {
    case 0:
    case 1:
    case 2:
        world.submit(fmt::format("j{}", index),
                     1 + step.worker,
                     fmt::format("run ms={} {}", 500 * step.duration, step.duration % 7 == 0 ? "outcome=fail" : ""),
                     4);
        break;
    case 3:
        world.takeOver(fmt::format("s{}", index));
        break;
    case 4:
        world.restartWorker(worker);
        break;
    case 5:
        if (!world.runs.empty()) {
            world.cancel(world.runs.back().job);
        }
        break;
    default:
        faultsLeft = step.duration / 10;
        break;
    }
    world.advance(std::chrono::milliseconds(100 * step.duration));
}

// Guards against concurrent attempts of a job, partial gangs that run past the bound, usage counted twice, and jobs
// that never end, in any order of submissions, takeovers, restarts, cancellations and lost messages.
TEST(SchedulerInterleavingTest, PromisesHoldInGeneratedHistories)
{
    const bool held = rc::check([] {
        CoreWorld world;
        for (int index = 0; index < 4; ++index) {
            world.addWorker(fmt::format("w{}", index));
        }
        world.takeOver("s0");
        const std::vector<Step> steps = makeSteps();
        const int seed = *rc::gen::inRange(0, 1000);
        int faultsLeft = 0;
        int message = seed;
        world.faults = [&](const std::string &, const auto &) {
            if (faultsLeft == 0) {
                return LinkFault::None;
            }
            --faultsLeft;
            message = message * 31 + 7;
            return static_cast<LinkFault>(static_cast<unsigned>(message / 8) % 4U);
        };
        int index = 0;
        for (const Step &step : steps) {
            apply(world, step, ++index, faultsLeft);
        }
        faultsLeft = 0;
        world.advance(1500s, 500ms);
        RC_ASSERT(world.violations == std::vector<std::string>());
        std::int64_t ran = 0;
        for (const CoreWorld::Run &run : world.runs) {
            RC_ASSERT(run.to != NeverDue);
            RC_ASSERT(isTerminal(world.row(run.job).state));
            ran += 4 * std::chrono::duration_cast<std::chrono::milliseconds>(run.to - run.from).count();
        }
        RC_ASSERT(world.acceleratorMsInRows() <= ran);
    });
    EXPECT_TRUE(held);
}

} // namespace
} // namespace coriander
