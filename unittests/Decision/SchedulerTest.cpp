#include "corianderscale/Decision/Scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace coriander::decision {
namespace {

MonotonicTime at(std::int64_t seconds)
{
    return MonotonicTime(std::chrono::seconds(seconds));
}

WorkerSpec worker(const std::string &id, const std::string &rack, std::int64_t position = 0)
{
    return {WorkerId(id), RackId(rack), position, {MilliCores(32000), MemoryMib(65536), Accelerators(8)}};
}

JobRequest job(const std::string &id, std::int64_t tasks, std::int64_t accelerators, const std::string &owner = "org-a")
{
    JobRequest request;
    request.id = JobId(id);
    request.organisation = OrganisationId(owner);
    request.caller = CallerId("caller");
    request.kind = "kind";
    request.tasks = tasks;
    request.perTask = {MilliCores(1000), MemoryMib(1024), Accelerators(accelerators)};
    return request;
}

template<typename T>
std::vector<T> only(const std::vector<Decision> &decisions)
{
    std::vector<T> found;
    for (const Decision &decision : decisions) {
        if (const T *typed = std::get_if<T>(&decision)) {
            found.push_back(*typed);
        }
    }
    return found;
}

Scheduler schedulerWith(const std::string &policy, int workers)
{
    Scheduler scheduler(*makePolicy(policy));
    for (int i = 0; i < workers; ++i) {
        scheduler.handle(WorkerJoined{worker("w" + std::to_string(i), "r" + std::to_string(i / 2), i % 2)}, at(0));
    }
    return scheduler;
}

// Guards against a policy that the daemon can name but that cannot place a gang.
TEST(Scheduler, everyPolicyRunsAGangToItsEnd)
{
    for (const char *policy : {"corianderscale", "fifo-first-fit", "quota-best-fit"}) {
        Scheduler scheduler = schedulerWith(policy, 2);
        const auto started = only<StartGang>(scheduler.handle(JobSubmitted{job("j", 4, 2)}, at(1)));
        ASSERT_EQ(started.size(), 1U) << policy;
        EXPECT_EQ(started[0].placement.size(), 4U);
        scheduler.handle(GangStarted{JobId("j"), started[0].attempt}, at(2));
        const auto ended = scheduler.handle(GangEnded{JobId("j"), started[0].attempt, true, {}}, at(9));
        EXPECT_EQ(only<FinishJob>(ended).size(), 1U) << policy;
        EXPECT_FALSE(scheduler.explain(JobId("j"), at(10)));
    }
    EXPECT_FALSE(makePolicy("unknown"));
}

// Guards against a claimed guarantee waiting for lent work to end by itself.
TEST(Scheduler, claimStopsLentWorkWithinTheCheckpointBound)
{
    Scheduler scheduler = schedulerWith("corianderscale", 1);
    OrganisationPolicy owner;
    owner.id = OrganisationId("org-a");
    owner.guarantees = {{DataCentreId("dc"), Accelerators(8), Closeness::Worker, 1}};
    scheduler.handle(OrganisationsChanged{{owner}}, at(0));
    ASSERT_EQ(only<StartGang>(scheduler.handle(JobSubmitted{job("lent", 1, 8, "org-b")}, at(1))).size(), 1U);
    scheduler.handle(GangStarted{JobId("lent"), 1}, at(1));
    JobRequest claim = job("claim", 8, 1);
    claim.useGuarantee = true;
    const auto stops = only<StopGang>(scheduler.handle(JobSubmitted{claim}, at(2)));
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].job, JobId("lent"));
    EXPECT_LE(stops[0].stopBy, at(32));
    const auto started = only<StartGang>(scheduler.handle(GangStopped{JobId("lent"), 1, false}, at(20)));
    ASSERT_EQ(started.size(), 1U);
    EXPECT_TRUE(started[0].guaranteed);
}

// Guards against an impossible job waiting for ever and against a truthless reason.
TEST(Scheduler, refusesAJobThatCanNeverRun)
{
    Scheduler scheduler = schedulerWith("corianderscale", 2);
    const auto refused = only<RefuseJob>(scheduler.handle(JobSubmitted{job("j", 1, 9)}, at(1)));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, "can-never-run");
    EXPECT_EQ(only<StartGang>(scheduler.handle(JobSubmitted{job("small", 1, 1)}, at(1))).size(), 1U);
}

// Guards against the document check accepting guarantees that cannot be had together.
TEST(Packing, namesTheShapeThatDoesNotFit)
{
    const std::vector<WorkerSpec> workers = {worker("a", "r0"), worker("b", "r0"), worker("c", "r1")};
    OrganisationPolicy owner;
    owner.id = OrganisationId("org-a");
    owner.guarantees = {{DataCentreId("dc"), Accelerators(5), Closeness::Worker, 3},
                        {DataCentreId("dc"), Accelerators(6), Closeness::Rack, 1}};
    std::string reason;
    EXPECT_TRUE(packGuarantees(workers, {owner}, reason)) << reason;
    owner.guarantees[1].accelerators = Accelerators(7);
    EXPECT_FALSE(packGuarantees(workers, {owner}, reason));
    EXPECT_NE(reason.find("org-a"), std::string::npos) << reason;
}

} // namespace
} // namespace coriander::decision
