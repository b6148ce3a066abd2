#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** Keeps the orders; the test answers them, in any order. */
class HeldOrders : public WorkerOrders
{
public:
    void start(const OrderTarget &, const StartOrder &, OrderDone done) override
    {
        starts.push_back(std::move(done));
    }

    void stop(const OrderTarget &, const StopOrder &, OrderDone) override
    {
        ++stops;
    }

    void hold(const OrderTarget &, const HoldOrder &, HoldDone done) override
    {
        holds.push_back(std::move(done));
    }

    std::vector<OrderDone> starts;
    std::vector<HoldDone> holds;
    std::size_t stops = 0;
};

/** An engine with one worker whose answers may overtake each other, because orders take different connections. */
class OvertakenAnswer : public ::testing::Test
{
protected:
    OvertakenAnswer()
        : m_engine(m_harness.times, m_harness.timeline.clock(), Epoch(1), m_orders, [] {})
    {
        m_engine.setCatalogue(m_harness.catalogue);
        m_report.id = WorkerId("w");
        m_report.incarnation = Incarnation(1);
        m_report.address = "w:1";
        m_report.service = ServiceName("pool");
        m_report.rack = RackId("r");
        m_report.capacity = WorkerSize;
    }

    /** Lets @p time pass, in which the engine stores all its changes. */
    void step(Duration time = milliseconds(10))
    {
        m_harness.runFor(time);
        m_engine.termConfirmed(m_harness.timeline.now());
        m_engine.discoveryRead();
        m_engine.evacuationsRead(m_harness.timeline.now());
        m_engine.step();
        m_engine.batchStored(m_engine.takeBatch({}));
    }

    /** Answers a hold with empty lists. */
    void answerHold(std::size_t index)
    {
        HoldAnswer answer;
        answer.outcome = OrderOutcome::Done;
        answer.clock = clock();
        answer.incarnation = m_report.incarnation;
        m_orders.holds.at(index)(answer);
    }

    void answerStart(std::size_t index)
    {
        m_orders.starts.at(index)({OrderOutcome::Done, clock(), {}});
    }

    EngineHarness m_harness;
    HeldOrders m_orders;
    JobEngine m_engine;
    WorkerReport m_report;

private:
    WorkerClockMs clock() const
    {
        return WorkerClockMs(
            std::chrono::duration_cast<milliseconds>(m_harness.timeline.now().time_since_epoch()).count());
    }
};

// Guards against a run that is stopped because the answer to a hold that was sent before its start does not list it.
// The worker was not listed for a moment, so that two holds were under way.
TEST_F(OvertakenAnswer, answerToAHoldBeforeTheStartDoesNotStopTheRun)
{
    m_engine.handleWorkerReport(m_report);
    step();
    m_engine.handleWorkerUnlisted(m_report.id);
    step();
    m_engine.handleWorkerReport(m_report);
    step();
    ASSERT_EQ(m_orders.holds.size(), 2U);
    answerHold(0);
    m_engine.addJob(m_harness.job("j", 1, {stepOf(1, 1, 1)}));
    step();
    ASSERT_EQ(m_orders.starts.size(), 1U);
    answerStart(0);
    step();
    answerHold(1);
    step();
    EXPECT_EQ(m_orders.stops, 0U);
}

// Guards against a worker that is asked twice at a time from then on, each hold a request of its own.
TEST_F(OvertakenAnswer, oneHoldIsUnderWayAfterAnEarlierOneIsAnswered)
{
    m_engine.handleWorkerReport(m_report);
    step();
    m_engine.handleWorkerUnlisted(m_report.id);
    step();
    m_engine.handleWorkerReport(m_report);
    step();
    ASSERT_EQ(m_orders.holds.size(), 2U);
    m_engine.addJob(m_harness.job("j", 1, {stepOf(1, 1, 1)}));
    answerHold(0);
    step();
    answerStart(0);
    step();
    EXPECT_EQ(m_orders.holds.size(), 2U);
    answerHold(1);
    step();
    EXPECT_EQ(m_orders.holds.size(), 3U);
}

} // namespace
} // namespace coriander::workflow
