#include "corianderscale/Decision/Scheduler.h"

#include "corianderscale/Decision/JobEstimator.h"
#include "corianderscale/Decision/JobQueue.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace coriander::decision {
namespace {

MonotonicTime at(std::int64_t seconds)
{
    return MonotonicTime(std::chrono::seconds(seconds));
}

WorkerSpec worker(const std::string &id, const std::string &rack, std::int64_t positionInRack = 0)
{
    return {WorkerId(id), RackId(rack), positionInRack, {MilliCores(32000), MemoryMib(65536), Accelerators(8)}};
}

JobRequest job(const std::string &id,
               std::int64_t tasks,
               std::int64_t accelerators,
               const std::string &organisationId = "org-a")
{
    JobRequest request;
    request.id = JobId(id);
    request.organisation = OrganisationId(organisationId);
    request.caller = CallerId("caller");
    request.kind = "kind";
    request.tasks = tasks;
    request.perTask = {MilliCores(1000), MemoryMib(1024), Accelerators(accelerators)};
    return request;
}

template<typename T>
std::vector<T> decisionsOf(const std::vector<Decision> &decisions)
{
    std::vector<T> found;
    for (const Decision &decision : decisions) {
        if (const T *typed = std::get_if<T>(&decision)) {
            found.push_back(*typed);
        }
    }
    return found;
}

Scheduler makeScheduler(const std::string &policy, int workers)
{
    Scheduler scheduler(*makePolicy(policy));
    for (int i = 0; i < workers; ++i) {
        scheduler.handle(WorkerJoined{worker("w" + std::to_string(i), "r" + std::to_string(i / 2), i % 2)}, at(0));
    }
    return scheduler;
}

// Guards against a policy that can be selected by name but cannot run a gang.
TEST(Scheduler, everyPolicyRunsGangUntilFinished)
{
    for (const char *policy : {"corianderscale", "fifo-first-fit", "quota-best-fit"}) {
        Scheduler scheduler = makeScheduler(policy, 2);
        const auto started = decisionsOf<StartGang>(scheduler.handle(JobSubmitted{job("j", 4, 2)}, at(1)));
        ASSERT_EQ(started.size(), 1U) << policy;
        EXPECT_EQ(started[0].placement.size(), 4U);
        scheduler.handle(GangStarted{JobId("j"), started[0].attempt}, at(2));
        const auto ended = scheduler.handle(GangEnded{JobId("j"), started[0].attempt, true, {}}, at(9));
        EXPECT_EQ(decisionsOf<FinishJob>(ended).size(), 1U) << policy;
        EXPECT_FALSE(scheduler.explain(JobId("j"), at(10)));
    }
    EXPECT_FALSE(makePolicy("unknown"));
}

// Guards against a claim that waits until lent work ends, although that work can be stopped within the 30 s checkpoint
// grace.
TEST(Scheduler, claimStopsLentWorkWithinCheckpointGrace)
{
    Scheduler scheduler = makeScheduler("corianderscale", 1);
    OrganisationPolicy orgA;
    orgA.id = OrganisationId("org-a");
    orgA.guarantees = {{DataCentreId("dc"), Accelerators(8), Closeness::Worker, /*count=*/1}};
    scheduler.handle(OrganisationsChanged{{orgA}}, at(0));
    ASSERT_EQ(decisionsOf<StartGang>(scheduler.handle(JobSubmitted{job("lent", 1, 8, "org-b")}, at(1))).size(), 1U);
    scheduler.handle(GangStarted{JobId("lent"), 1}, at(1));
    JobRequest claim = job("claim", 8, 1);
    claim.useGuarantee = true;
    const auto stops = decisionsOf<StopGang>(scheduler.handle(JobSubmitted{claim}, at(2)));
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].job, JobId("lent"));
    EXPECT_LE(stops[0].stopBy, at(32));
    const auto started
        = decisionsOf<StartGang>(scheduler.handle(GangStopped{JobId("lent"), 1, /*checkpointed=*/false}, at(20)));
    ASSERT_EQ(started.size(), 1U);
    EXPECT_TRUE(started[0].guaranteed);
}

// Guards against a job that fits on no worker waiting forever, and against a wrong refusal code.
TEST(Scheduler, refusesJobThatCanNeverRun)
{
    Scheduler scheduler = makeScheduler("corianderscale", 2);
    const auto refused = decisionsOf<RefuseJob>(scheduler.handle(JobSubmitted{job("j", 1, 9)}, at(1)));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, "can-never-run");
    EXPECT_EQ(decisionsOf<StartGang>(scheduler.handle(JobSubmitted{job("small", 1, 1)}, at(1))).size(), 1U);
}

/** Runs one job until it finishes; each attempt placed on the worker @p failingWorker fails. Returns all decisions. */
std::vector<Decision> runUntilFinished(Scheduler &scheduler,
                                       const JobRequest &request,
                                       const std::string &failingWorker,
                                       std::int64_t &clock)
{
    std::vector<Decision> all = scheduler.handle(JobSubmitted{request}, at(++clock));
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (const auto *start = std::get_if<StartGang>(&all[i])) {
            const StartGang started = *start;
            scheduler.handle(GangStarted{started.job, started.attempt}, at(++clock));
            const bool fails = started.placement.front().value() == failingWorker;
            const GangEnded ended{started.job, started.attempt, !fails, fails ? WorkerId(failingWorker) : WorkerId()};
            for (const Event &event : {Event(ended), Event(Tick{})}) {
                clock += 2;
                const auto more = scheduler.handle(event, at(clock));
                all.insert(all.end(), more.begin(), more.end());
            }
        }
    }
    return all;
}

// Guards against jobs that fail because one worker fails every task, and against never using that worker again.
TEST(Quarantine, failingWorkerIsQuarantinedProbedAndReleased)
{
    Scheduler scheduler = makeScheduler("corianderscale", 8);
    std::int64_t clock = 0;
    std::size_t quarantinedCount = 0;
    for (int i = 0; i < 12; ++i) {
        JobRequest request = job("j" + std::to_string(i), 1, 1);
        request.kind = "kind-" + std::to_string(i % 4);
        const auto decisions = runUntilFinished(scheduler, request, "w0", clock);
        EXPECT_TRUE(decisionsOf<FailJob>(decisions).empty());
        quarantinedCount += decisionsOf<QuarantineWorker>(decisions).size();
    }
    EXPECT_EQ(quarantinedCount, 1U);
    // Longer than InitialProbeDelay, so that probes are due.
    clock += 3600;
    std::size_t released = 0;
    for (int i = 0; i < 4; ++i) {
        released
            += decisionsOf<ReleaseWorker>(runUntilFinished(scheduler, job("p" + std::to_string(i), 1, 1), "", clock))
                   .size();
    }
    EXPECT_EQ(released, 1U);
}

// Guards against quarantining good workers because of a job that fails on every worker.
TEST(Quarantine, failingJobEndsWithoutQuarantine)
{
    Scheduler scheduler = makeScheduler("corianderscale", 6);
    std::int64_t clock = 0;
    std::size_t failed = 0;
    for (int i = 0; i < 4; ++i) {
        std::vector<Decision> decisions
            = scheduler.handle(JobSubmitted{job("b" + std::to_string(i), 1, 1)}, at(++clock));
        for (std::size_t d = 0; d < decisions.size(); ++d) {
            EXPECT_EQ(std::get_if<QuarantineWorker>(&decisions[d]), nullptr);
            failed += std::holds_alternative<FailJob>(decisions[d]) ? 1 : 0;
            if (const auto *start = std::get_if<StartGang>(&decisions[d])) {
                const GangEnded ended{start->job, start->attempt, false, start->placement.front()};
                for (const Event &event : {Event(ended), Event(Tick{})}) {
                    clock += 2;
                    const auto more = scheduler.handle(event, at(clock));
                    decisions.insert(decisions.end(), more.begin(), more.end());
                }
            }
        }
    }
    EXPECT_EQ(failed, 4U);
}

// Guards against a full queue refusing urgent jobs instead of background jobs, and against an unbounded queue.
TEST(Queue, refusesNewestJobOfLeastUrgentClassWhenFull)
{
    Scheduler scheduler = makeScheduler("corianderscale", 1);
    JobRequest blocker = job("blocker", 8, 1);
    blocker.jobClass = JobClass::Urgent;
    scheduler.handle(JobSubmitted{blocker}, at(0));
    for (std::size_t i = 0; i < MaximumWaitingJobsPerCaller; ++i) {
        JobRequest request = job("f" + std::to_string(i), 1, 1);
        request.jobClass = i % 2 == 0 ? JobClass::Background : JobClass::Normal;
        EXPECT_TRUE(decisionsOf<RefuseJob>(scheduler.handle(JobSubmitted{request}, at(1))).empty());
    }
    JobRequest urgent = job("urgent", 1, 1);
    urgent.jobClass = JobClass::Urgent;
    const auto refused = decisionsOf<RefuseJob>(scheduler.handle(JobSubmitted{urgent}, at(2)));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].job.value(), "f" + std::to_string(MaximumWaitingJobsPerCaller - 2));
    EXPECT_EQ(refused[0].code, "overloaded");
}

// Guards against reporting a deadline that will be missed only after it has passed, and against a waiting job without a
// reason.
TEST(Scheduler, reportsDeadlineAtRiskAndExplainsWaiting)
{
    Scheduler scheduler = makeScheduler("corianderscale", 1);
    scheduler.handle(JobSubmitted{job("first", 8, 1)}, at(0));
    JobRequest late = job("late", 8, 1);
    late.declaredRun = std::chrono::seconds(600);
    late.deadline = at(1000);
    EXPECT_TRUE(decisionsOf<DeadlineAtRisk>(scheduler.handle(JobSubmitted{late}, at(1))).empty());
    std::vector<DeadlineAtRisk> reported;
    for (std::int64_t second = 5; second < 1000 && reported.empty(); second += 5) {
        reported = decisionsOf<DeadlineAtRisk>(scheduler.handle(Tick{}, at(second)));
        // The latest start is at 400 s; one check interval of 60 s and one step of 5 s are allowed on top.
        EXPECT_LE(second, 465);
    }
    EXPECT_EQ(reported.size(), 1U);
    const auto why = scheduler.explain(JobId("late"), at(500));
    ASSERT_TRUE(why);
    EXPECT_EQ(why->state, "waiting");
    EXPECT_FALSE(why->reason.empty());
    EXPECT_FALSE(why->remedy.empty());
    const auto refused = decisionsOf<RefuseJob>(scheduler.handle(Tick{}, at(1100)));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, "too-late");
}

// Guards against wrong declared run times and sizes being used although observed ones are known.
TEST(JobEstimator, correctsDeclaredRunTimesAndSizes)
{
    JobEstimator learning;
    JobRequest request = job("j", 1, 1);
    request.declaredRun = std::chrono::hours(1);
    for (int i = 0; i < 30; ++i) {
        learning.recordRun(request, std::chrono::minutes(6));
        learning.recordUse(request, {MilliCores(400), MemoryMib(512), Accelerators(1)});
    }
    EXPECT_EQ(learning.expectedRun(request), std::chrono::minutes(6));
    // The peak of 400 with a margin of 25 %.
    EXPECT_EQ(learning.expectedSize(request).cores, MilliCores(500));
    EXPECT_EQ(learning.expectedSize(request).accelerators, Accelerators(1));
    // The declared time of an unseen kind is corrected by the usual error of its caller.
    request.kind = "new-kind";
    EXPECT_LT(learning.expectedRun(request), std::chrono::minutes(7));
}

// Guards against a running job that is restarted or loses its guarantee when another scheduler instance becomes the
// owner.
TEST(Scheduler, adoptedJobKeepsPlacementAndGuarantee)
{
    Scheduler scheduler = makeScheduler("corianderscale", 2);
    OrganisationPolicy orgA;
    orgA.id = OrganisationId("org-a");
    orgA.guarantees = {{DataCentreId("dc"), Accelerators(8), Closeness::Worker, /*count=*/1}};
    scheduler.handle(OrganisationsChanged{{orgA}}, at(0));
    const auto decisions = scheduler.handle(JobAdopted{job("kept", 2, 4),
                                                       {WorkerId("w1"), WorkerId("w1")},
                                                       /*startedAt=*/at(0),
                                                       /*guaranteed=*/true,
                                                       /*attempt=*/3},
                                            at(1));
    EXPECT_TRUE(decisionsOf<StartGang>(decisions).empty());
    EXPECT_TRUE(decisionsOf<StopGang>(decisions).empty());
    const auto placed = scheduler.placements();
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].attempt, 3);
    EXPECT_TRUE(placed[0].guaranteed);
    EXPECT_EQ(placed[0].placement, GangPlacement(2, WorkerId("w1")));
}

// Guards against accepting a configuration document whose guarantees do not fit at the same time.
TEST(Packing, namesOrganisationThatDoesNotFit)
{
    const std::vector<WorkerSpec> workers = {worker("a", "r0"), worker("b", "r0"), worker("c", "r1")};
    OrganisationPolicy orgA;
    orgA.id = OrganisationId("org-a");
    orgA.guarantees = {{DataCentreId("dc"), Accelerators(5), Closeness::Worker, /*count=*/3},
                       {DataCentreId("dc"), Accelerators(6), Closeness::Rack, /*count=*/1}};
    std::string reason;
    EXPECT_TRUE(packGuarantees(workers, {orgA}, reason)) << reason;
    orgA.guarantees[1].accelerators = Accelerators(7);
    EXPECT_FALSE(packGuarantees(workers, {orgA}, reason));
    EXPECT_NE(reason.find("org-a"), std::string::npos) << reason;
}

} // namespace
} // namespace coriander::decision
