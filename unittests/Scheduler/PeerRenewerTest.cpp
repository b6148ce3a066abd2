#include "corianderscale/Scheduler/PeerRenewer.h"

#include <gtest/gtest.h>

#include "CoreWorld.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

class PeerRenewerTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        world.addWorker("w1");
        world.addWorker("w2");
        world.takeOver("s1");
        job = world.submit("g", 2, "run ms=900000", 8);
        world.advance(1s);
        renewer.offer(world.core->snapshot(), world.now);
        world.core.reset();
    }

    void advance(Duration time, bool mayRenew)
    {
        for (Duration passed{}; passed < time; passed += 1s) {
            for (int phase = 0; phase < 3; ++phase) {
                for (const WorkerRequest &request : renewer.takeRequests(mayRenew, world.at())) {
                    const auto worker = world.workers.find(request.worker);
                    std::optional<WorkerReport> report;
                    if (worker != world.workers.end()) {
                        report = worker->second->handle(request.orders, world.now, world.at().wallNow);
                    }
                    renewer.answered(request.worker, request.id, report);
                }
            }
            world.advance(1s, 500ms);
        }
    }

    CoreWorld world;
    JobId job;
    PeerRenewer renewer{InstanceId("s2"), SchedulerTiming()};
};

// Guards against running gangs that die because the store is away.
TEST_F(PeerRenewerTest, RenewsForLongWhileTheStoreIsAway)
{
    advance(600s, true);
    EXPECT_TRUE(renewer.isActive());
    EXPECT_EQ(world.running(job).size(), 2U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Guards against a gang that is kept running in part.
TEST_F(PeerRenewerTest, GangThatLostAMemberIsNotRenewed)
{
    advance(100s, true);
    world.killWorker("w1");
    advance(50s, true);
    EXPECT_TRUE(world.running(job).empty());
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Guards against renewal beside an owner that has the store.
TEST_F(PeerRenewerTest, RenewsNothingWhileTheStoreAnswers)
{
    advance(60s, false);
    EXPECT_TRUE(world.running(job).empty());
}

} // namespace
} // namespace coriander
