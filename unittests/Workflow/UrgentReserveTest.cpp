#include "corianderscale/Workflow/UrgentReserve.h"

#include "Workflow/BoardFixture.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Four racks of two workers with 8 accelerators each. */
class Reserve : public Board
{
protected:
    Reserve()
    {
        for (int i = 0; i < 8; ++i) {
            add("w" + std::to_string(i), "r" + std::to_string(i / 2));
        }
    }

    void useEvery(std::int64_t accelerators)
    {
        for (auto &[id, worker] : m_book.all()) {
            use(worker, accelerators);
        }
    }

    PlacementBoard boardAt(MonotonicTime now, std::int64_t demand)
    {
        PlacementBoard board(m_book, now);
        m_reserve.apply({{ServiceName("pool"), demand}}, board, now);
        return board;
    }

    static std::size_t reservedWorkers(const PlacementBoard &board)
    {
        return static_cast<std::size_t>(std::count_if(
            board.entries().begin(), board.entries().end(), [](const BoardEntry &entry) { return entry.reserved; }));
    }

    UrgentReserve m_reserve;
    MonotonicTime m_now{seconds(100)};
};

// Guards against other work that fills all racks, so that the next urgent job has to preempt it.
TEST_F(Reserve, keepsRacksForUrgentWork)
{
    useEvery(5);
    PlacementBoard board = boardAt(m_now, 20);
    EXPECT_EQ(names(board, placeEach(board, need(2, 3))), (std::vector<std::string>{"w4", "w5"}));
    PlacementNeed urgent = need(2, 3);
    urgent.urgent = true;
    urgent.sameRack = true;
    EXPECT_EQ(names(board, placeTogether(board, urgent)), (std::vector<std::string>{"w0", "w1"}));
}

// Guards against jobs that wait for reserved workers although half of the pool is free.
TEST_F(Reserve, nothingIsReservedWhileThereIsRoomForAll)
{
    useEvery(4);
    EXPECT_EQ(reservedWorkers(boardAt(m_now, 20)), 0U);
}

// Guards against a reserve that is dropped between two bursts of urgent work, or kept long after the last one.
TEST_F(Reserve, followsTheRecentPeak)
{
    useEvery(5);
    EXPECT_EQ(reservedWorkers(boardAt(m_now, 30)), 4U);
    EXPECT_EQ(reservedWorkers(boardAt(m_now + seconds(2), 0)), 4U);
    EXPECT_EQ(reservedWorkers(boardAt(m_now + seconds(10), 0)), 2U);
    EXPECT_EQ(reservedWorkers(boardAt(m_now + seconds(100), 0)), 0U);
}

// Guards against a high urgent demand that reserves the whole pool and leaves no room for other work.
TEST_F(Reserve, leavesAThirdOfThePool)
{
    useEvery(5);
    EXPECT_EQ(reservedWorkers(boardAt(m_now, 1000)), 4U);
}

// Guards against a reserve of all workers of a pool without accelerators, for demand that it cannot serve.
TEST_F(Reserve, workersWithoutAcceleratorsAreNotReserved)
{
    for (auto &[id, worker] : m_book.all()) {
        worker.report.capacity.accelerators = Accelerators(0);
    }
    EXPECT_EQ(reservedWorkers(boardAt(m_now, 1)), 0U);
}

// The same where some workers of a reserved rack have none.
TEST_F(Reserve, onlyWorkersThatCanServeTheDemandAreReserved)
{
    useEvery(5);
    for (int i = 0; i < 4; ++i) {
        add("cores" + std::to_string(i), "r" + std::to_string(i)).report.capacity.accelerators = Accelerators(0);
    }
    const PlacementBoard board = boardAt(m_now, 20);
    EXPECT_EQ(reservedWorkers(board), 4U);
    for (const BoardEntry &entry : board.entries()) {
        EXPECT_FALSE(entry.reserved && entry.worker->report.capacity.accelerators.count() == 0);
    }
}

// Guards against a reserve of workers in an evacuated data centre, where urgent work cannot go, and against a reserve
// whose size counts their accelerators.
TEST_F(Reserve, evacuatedWorkersAreNotReserved)
{
    useEvery(5);
    for (int i = 0; i < 4; ++i) {
        m_book.all().at(WorkerId("w" + std::to_string(i))).report.dataCentre = DataCentreId("far");
    }
    PlacementBoard board(m_book, m_now, {}, {DataCentreId("far")});
    EXPECT_EQ(board.entries().size(), 4U);
    m_reserve.apply({{ServiceName("pool"), 1000}}, board, m_now);
    EXPECT_EQ(reservedWorkers(board), 2U) << "0.65 of the two racks that are left";
}

// Guards against one entry of another writer that ends the reserve of a whole pool: it names more accelerators than all
// workers have, and no worker answers for it.
TEST_F(Reserve, entryThatNoWorkerAnswersForDoesNotCount)
{
    useEvery(5);
    Worker &odd = add("odd", "r9");
    odd.report.capacity.accelerators = Accelerators(1000000000);
    odd.known = false;
    EXPECT_EQ(reservedWorkers(boardAt(m_now, 1000)), 4U);
}

} // namespace
} // namespace coriander::workflow
