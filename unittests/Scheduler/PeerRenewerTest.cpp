#include "corianderscale/Scheduler/PeerRenewer.h"

#include <gtest/gtest.h>

#include "SchedulerSimulation.h"

namespace coriander {
namespace {

using namespace std::chrono_literals;

class PeerRenewerTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_simulation.addWorker("w1");
        m_simulation.addWorker("w2");
        m_simulation.takeOver("s1");
        m_job = m_simulation.submit("g", 2, "run ms=900000", 8);
        m_simulation.advance(1s);
        m_renewer.offer(m_simulation.core->snapshot(), m_simulation.now);
        m_simulation.core.reset();
    }

    void advance(Duration time, bool mayRenew)
    {
        for (Duration passed{}; passed < time; passed += 1s) {
            for (int phase = 0; phase < 3; ++phase) {
                for (const WorkerRequest &request : m_renewer.takeRequests(mayRenew, m_simulation.at())) {
                    const auto worker = m_simulation.workers.find(request.worker);
                    std::optional<WorkerReport> report;
                    if (worker != m_simulation.workers.end()) {
                        report = worker->second->handle(request.orders, m_simulation.now, m_simulation.at().wallNow);
                    }
                    m_renewer.handleAnswer(request.worker, request.id, report);
                }
            }
            m_simulation.advance(1s, 500ms);
        }
    }

    SchedulerSimulation m_simulation;
    JobId m_job;
    PeerRenewer m_renewer{InstanceId("s2"), SchedulerTiming()};
};

// Guards against leases of running gangs that expire because the store is unavailable.
TEST_F(PeerRenewerTest, RenewsLeasesWhileStoreIsUnavailable)
{
    advance(600s, true);
    EXPECT_TRUE(m_renewer.isActive());
    EXPECT_EQ(m_simulation.running(m_job).size(), 2U);
    EXPECT_EQ(m_simulation.violations, std::vector<std::string>());
}

// Guards against renewal of the remaining members after one member of a gang was lost.
TEST_F(PeerRenewerTest, GangThatLostAMemberIsNotRenewed)
{
    advance(100s, true);
    m_simulation.killWorker("w1");
    advance(50s, true);
    EXPECT_TRUE(m_simulation.running(m_job).empty());
    EXPECT_EQ(m_simulation.violations, std::vector<std::string>());
}

// Guards against renewal while the store is available, when an owner may be renewing.
TEST_F(PeerRenewerTest, RenewsNothingWhileStoreIsAvailable)
{
    advance(60s, false);
    EXPECT_TRUE(m_simulation.running(m_job).empty());
}

} // namespace
} // namespace coriander
