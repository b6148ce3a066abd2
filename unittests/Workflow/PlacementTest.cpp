#include "corianderscale/Workflow/Reclaim.h"

#include "Workflow/BoardFixture.h"

namespace coriander::workflow {
namespace {

// Guards against small tasks on empty workers, which then have no room for large tasks.
TEST_F(Board, fullestWorkerThatFitsIsTaken)
{
    add("w1", "r1");
    use(add("w2", "r1"), 6);
    PlacementBoard board(m_book, {});
    EXPECT_EQ(names(board, placeEach(board, need(3, 1))), (std::vector<std::string>{"w2", "w2", "w1"}));
}

// Guards against a gang that spans racks although one rack can hold it, or waits although no rack can ever hold it.
TEST_F(Board, gangStaysInOneRackWhenOneCouldHoldIt)
{
    add("w1", "r1");
    add("w2", "r2");
    add("w3", "r2");
    PlacementNeed two = need(2, 8);
    two.sameRack = true;
    PlacementBoard board(m_book, {});
    EXPECT_EQ(names(board, placeTogether(board, two)), (std::vector<std::string>{"w2", "w3"}));
    EXPECT_TRUE(placeTogether(board, two).empty());
    PlacementNeed three = need(3, 8);
    three.sameRack = true;
    PlacementBoard fresh(m_book, {});
    EXPECT_EQ(placeTogether(fresh, three).size(), 3U);
}

// Guards against work on workers that drain, do not answer, are avoided, failed, are of another pool or lack the label.
TEST_F(Board, onlyFittingWorkersAreUsed)
{
    add("w1", "r1").report.draining = true;
    add("w2", "r1").silentCalls = 1;
    add("w3", "r1").avoidedUntil = MonotonicTime(std::chrono::seconds(1));
    add("w4", "r1").report.service = ServiceName("other");
    add("w5", "r1").known = false;
    add("w6", "r1").listed = false;
    add("w7", "r1").failuresInRow = 1;
    add("w8", "r2");
    PlacementBoard board(m_book, {});
    PlacementNeed sound = need(9, 8);
    sound.excludeFailing = true;
    EXPECT_EQ(names(board, placeEach(board, sound)), std::vector<std::string>{"w8"});
    EXPECT_EQ(names(board, placeEach(board, need(9, 8))), std::vector<std::string>{"w7"});
    PlacementBoard labels(m_book, {});
    PlacementNeed labelled = need(1, 1);
    labelled.requiredLabel = "b";
    EXPECT_TRUE(placeEach(labels, labelled).empty());
}

// Guards against a retry on a worker that has not completed any run.
TEST_F(Board, retriesGoToProvenWorkers)
{
    add("w1", "r1");
    add("w2", "r1").runsDone = 1;
    PlacementBoard board(m_book, {});
    PlacementNeed retry = need(2, 8);
    retry.requireCompletedRun = true;
    EXPECT_EQ(names(board, placeEach(board, retry)), std::vector<std::string>{"w2"});
}

// Guards against more tasks of a step on one worker than allowed, and against tasks outside the rack of their data.
TEST_F(Board, limitPerWorkerAndDataRackAreRespected)
{
    add("w1", "r1");
    add("w2", "r2");
    PlacementNeed bounded = need(5, 1);
    bounded.maximumPerWorker = 2;
    bounded.placedTasks[WorkerId("w1")] = 1;
    PlacementBoard board(m_book, {});
    EXPECT_EQ(placeEach(board, bounded).size(), 3U);
    PlacementNeed near = need(2, 1);
    near.dataRack = RackId("r2");
    EXPECT_EQ(names(board, placeEach(board, near)), (std::vector<std::string>{"w2", "w2"}));
}

// Guards against preempting more work than needed.
TEST_F(Board, cheapestVictimsMakeRoom)
{
    Worker &full = add("w1", "r1");
    use(full, 8);
    Worker &halves = add("w2", "r1");
    use(halves, 4);
    use(halves, 4);
    PlacementBoard board(m_book, {});
    const auto cost = [](const Worker &, const workflow::Run &run) -> std::optional<double> {
        return static_cast<double>(run.resources.accelerators.count());
    };
    const auto half = planReclaim(board, need(1, 4), cost);
    ASSERT_TRUE(half);
    EXPECT_EQ(half->victims.size(), 1U);
    EXPECT_EQ(half->victims[0].first, WorkerId("w2"));
    const auto none = planReclaim(
        board, need(1, 4), [](const Worker &, const workflow::Run &) -> std::optional<double> { return std::nullopt; });
    EXPECT_FALSE(none);
}

// Guards against a plan that makes room for more tasks of a step on one worker than allowed.
TEST_F(Board, victimsMakeRoomWithinTheLimitPerWorker)
{
    use(add("w1", "r1"), 8);
    use(add("w2", "r1"), 8);
    use(add("w3", "r1"), 8);
    const PlacementBoard board(m_book, {});
    const auto cost = [](const Worker &worker, const workflow::Run &) -> std::optional<double> {
        return worker.report.id == WorkerId("w1") ? 1 : 100;
    };
    PlacementNeed bounded = need(3, 1);
    bounded.maximumPerWorker = 2;
    const auto plan = planReclaim(board, bounded, cost);
    ASSERT_TRUE(plan);
    EXPECT_EQ(std::count(plan->entries.begin(), plan->entries.end(), plan->entries.front()), 2);
    bounded.placedTasks[WorkerId("w1")] = 2;
    const auto elsewhere = planReclaim(board, bounded, cost);
    ASSERT_TRUE(elsewhere);
    for (const auto &[worker, key] : elsewhere->victims) {
        EXPECT_NE(worker, WorkerId("w1"));
    }
}

// Guards against reserving workers that have less free room for the gang than others.
TEST_F(Board, workersWithMostRoomAreReservedForAGang)
{
    use(add("w1", "r1"), 8);
    use(add("w2", "r1"), 8);
    use(add("w3", "r2"), 4);
    add("w4", "r2");
    add("w5", "r3");
    const PlacementBoard board(m_book, {});
    PlacementNeed gang = need(2, 8);
    gang.sameRack = true;
    EXPECT_EQ(names(board, entriesToReserve(board, gang)), (std::vector<std::string>{"w3", "w4"}));
    gang.sameRack = false;
    EXPECT_EQ(names(board, entriesToReserve(board, gang)), (std::vector<std::string>{"w4", "w5"}));
    EXPECT_TRUE(entriesToReserve(board, need(6, 8)).empty());
}

} // namespace
} // namespace coriander::workflow
