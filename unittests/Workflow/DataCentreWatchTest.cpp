#include "corianderscale/Workflow/DataCentreWatch.h"

#include "Workflow/BoardFixture.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Two data centres with three workers each; a hold to every worker is in flight. */
class DataCentreSilence : public Board
{
protected:
    DataCentreSilence()
    {
        for (int i = 0; i < 6; ++i) {
            Worker &worker = add("w" + std::to_string(i), "r1");
            worker.report.dataCentre = i < 3 ? m_near : m_far;
            worker.lastAnswerAt = m_start;
            askAgain(worker, m_start);
        }
    }

    static void askAgain(Worker &worker, MonotonicTime now)
    {
        worker.holdInFlight = true;
        worker.holdDueAt = now + seconds(1);
    }

    void answer(const DataCentreId &place, MonotonicTime now)
    {
        for (auto &[id, worker] : m_book.all()) {
            if (worker.report.dataCentre == place) {
                worker.lastAnswerAt = now;
                askAgain(worker, now);
            }
        }
    }

    const DataCentreId m_near{"near"};
    const DataCentreId m_far{"far"};
    const MonotonicTime m_start{seconds(100)};
    DataCentreWatch m_watch;
};

// Guards against work that is sent to a data centre that cannot be reached, so that its end is not seen.
TEST_F(DataCentreSilence, dataCentreWithoutAnswersGetsNoWork)
{
    answer(m_near, m_start + milliseconds(1000));
    EXPECT_TRUE(m_watch.silentDataCentres(m_book, m_start + milliseconds(1200)).empty());
    const std::set<DataCentreId> silent = m_watch.silentDataCentres(m_book, m_start + milliseconds(1400));
    EXPECT_EQ(silent, std::set<DataCentreId>{m_far});
    PlacementBoard board(m_book, m_start, silent);
    EXPECT_EQ(names(board, placeEach(board, need(6, 8))), (std::vector<std::string>{"w0", "w1", "w2"}));
}

// Guards against a data centre that gets no work although its workers answer again, or its silent workers have left.
TEST_F(DataCentreSilence, endsWithAnAnswerOrWithoutEvidence)
{
    answer(m_near, m_start + milliseconds(1000));
    ASSERT_EQ(m_watch.silentDataCentres(m_book, m_start + milliseconds(1400)).size(), 1U);
    answer(m_far, m_start + milliseconds(1500));
    answer(m_near, m_start + milliseconds(1500));
    EXPECT_TRUE(m_watch.silentDataCentres(m_book, m_start + milliseconds(1510)).empty());
    answer(m_near, m_start + milliseconds(2500));
    ASSERT_EQ(m_watch.silentDataCentres(m_book, m_start + milliseconds(2900)).size(), 1U);
    for (auto &[id, worker] : m_book.all()) {
        worker.holdInFlight = false;
    }
    EXPECT_TRUE(m_watch.silentDataCentres(m_book, m_start + milliseconds(4500)).empty());
}

// Guards against a single silent worker that excludes its data centre, and against an owner that places nothing because
// it is cut off itself and all data centres are silent.
TEST_F(DataCentreSilence, needsSeveralWorkersAndAnotherDataCentre)
{
    answer(m_near, m_start + milliseconds(1000));
    m_book.all().at(WorkerId("w5")).lastAnswerAt = m_start + milliseconds(1050);
    EXPECT_TRUE(m_watch.silentDataCentres(m_book, m_start + milliseconds(1400)).empty());
    answer(m_far, m_start + milliseconds(1500));
    answer(m_near, m_start + milliseconds(1500));
    EXPECT_TRUE(m_watch.silentDataCentres(m_book, m_start + milliseconds(3000)).empty());
}

} // namespace
} // namespace coriander::workflow
