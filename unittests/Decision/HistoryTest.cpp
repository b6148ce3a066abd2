#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Decision/GeneratedHistory.h"

namespace coriander::decision {
namespace {

constexpr std::uint64_t SeedBase = 5000;
constexpr int Histories = 100;
constexpr int StepsEach = 250;

/** Split into four parts of 25,000 steps each, so that they can run in parallel. */
class History : public ::testing::TestWithParam<int>
{
};

// Guards against guarantees that cannot all be claimed by preempting lent work only, gangs of which only a part runs,
// jobs that end twice or never, and impairments that are not reported or reported wrongly.
TEST_P(History, invariantsHoldAfterEveryStep)
{
    for (int i = 0; i < Histories; ++i) {
        const std::uint64_t seed = SeedBase + static_cast<std::uint64_t>(GetParam() * Histories + i);
        test::GeneratedHistory history(seed);
        for (int step = 0; step < StepsEach; ++step) {
            const auto failure = history.step();
            ASSERT_FALSE(failure) << "seed " << seed << ", step " << step << ": " << *failure;
        }
        const auto failure = history.finish();
        ASSERT_FALSE(failure) << "seed " << seed << ", in finish(): " << *failure;
    }
}

INSTANTIATE_TEST_SUITE_P(Parts, History, ::testing::Range(0, 4));

// Guards against the document check differing from an exhaustive search.
RC_GTEST_PROP(Packing, agreesWithExhaustiveSearch, ())
{
    std::vector<WorkerSpec> workers;
    std::vector<test::ExactWorker> exactWorkers;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        const auto accelerators = *rc::gen::inRange<std::int64_t>(0, 9);
        const std::string rack = "r" + std::to_string(*rc::gen::inRange(0, 3));
        workers.push_back({WorkerId(std::to_string(i)), RackId(rack), i, {{}, {}, Accelerators(accelerators)}});
        exactWorkers.push_back({std::to_string(i), rack, accelerators});
    }
    OrganisationPolicy policy;
    policy.id = OrganisationId("org");
    std::vector<test::ExactItem> items;
    const int shapes = *rc::gen::inRange(0, 5);
    for (int i = 0; i < shapes; ++i) {
        const auto accelerators = *rc::gen::inRange<std::int64_t>(1, 12);
        const auto closeness = static_cast<Closeness>(*rc::gen::inRange(0, 3));
        policy.guarantees.push_back({DataCentreId("dc"), Accelerators(accelerators), closeness, 1});
        items.push_back({"org", accelerators, closeness});
    }
    std::string reason;
    RC_ASSERT(packGuarantees(workers, {policy}, reason) == test::isPackable(exactWorkers, items, {}));
}

} // namespace
} // namespace coriander::decision
