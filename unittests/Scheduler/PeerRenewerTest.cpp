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
        m_world.addWorker("w1");
        m_world.addWorker("w2");
        m_world.takeOver("s1");
        m_job = m_world.submit("g", 2, "run ms=900000", 8);
        m_world.advance(1s);
        m_renewer.offer(m_world.core->snapshot(), m_world.now);
        m_world.core.reset();
    }

    void advance(Duration time, bool mayRenew)
    {
        for (Duration passed{}; passed < time; passed += 1s) {
            for (int phase = 0; phase < 3; ++phase) {
                for (const WorkerRequest &request : m_renewer.takeRequests(mayRenew, m_world.at())) {
                    const auto worker = m_world.workers.find(request.worker);
                    std::optional<WorkerReport> report;
                    if (worker != m_world.workers.end()) {
                        report = worker->second->handle(request.orders, m_world.now, m_world.at().wallNow);
                    }
                    m_renewer.answered(request.worker, request.id, report);
                }
            }
            m_world.advance(1s, 500ms);
        }
    }

    CoreWorld m_world;
    JobId m_job;
    PeerRenewer m_renewer{InstanceId("s2"), SchedulerTiming()};
};

// Guards against leases of running gangs that expire because the store is unavailable.
TEST_F(PeerRenewerTest, RenewsForLongWhileTheStoreIsAway)
{
    advance(600s, true);
    EXPECT_TRUE(m_renewer.isActive());
    EXPECT_EQ(m_world.running(m_job).size(), 2U);
    EXPECT_EQ(m_world.violations, std::vector<std::string>());
}

// Guards against renewal of the remaining members after one member of a gang was lost.
TEST_F(PeerRenewerTest, GangThatLostAMemberIsNotRenewed)
{
    advance(100s, true);
    m_world.killWorker("w1");
    advance(50s, true);
    EXPECT_TRUE(m_world.running(m_job).empty());
    EXPECT_EQ(m_world.violations, std::vector<std::string>());
}

// Guards against renewal while the store is available, when an owner may be renewing.
TEST_F(PeerRenewerTest, RenewsNothingWhileTheStoreAnswers)
{
    advance(60s, false);
    EXPECT_TRUE(m_world.running(m_job).empty());
}

} // namespace
} // namespace coriander
