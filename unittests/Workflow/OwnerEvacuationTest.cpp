#include "corianderscale/Workflow/OwnerController.h"

#include "Workflow/EngineHarness.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

constexpr const char *WorkersTable = "workers";
constexpr const char *OperatorTable = "operator";

/** Real owner controllers on a fake store, with three workers in each of the data centres near and far. Their timers
 * take 1 ms of real time for each 10 ms of virtual time. */
class OwnerEvacuation : public ::testing::Test
{
protected:
    OwnerEvacuation()
    {
        m_harness.addWorkers(6);
        RowChange reports;
        for (int i = 0; i < 6; ++i) {
            const std::string id = "w" + std::to_string(i);
            m_harness.workers.machines().at(WorkerId(id)).report.dataCentre = i < 3 ? m_near : m_far;
            reports.written.push_back({WorkersTable, id, "", {}, false});
        }
        m_harness.store.apply(reports);
        m_harness.workers.onStart = [this](const TaskKey &key, std::int64_t run) {
            const DataCentreId dataCentre = dataCentreOf({key, run});
            ++m_starts[dataCentre];
            m_lastStart[dataCentre] = m_harness.timeline.now();
        };
    }

    DataCentreId dataCentreOf(const RunKey &key)
    {
        for (const auto &[id, machine] : m_harness.workers.machines()) {
            if (machine.runs.count(key) > 0) {
                return machine.report.dataCentre;
            }
        }
        return {};
    }

    std::unique_ptr<OwnerController> makeOwner(const std::string &instance)
    {
        OwnerTimes times;
        times.stepInterval = milliseconds(1);
        times.discoveryInterval = milliseconds(1);
        times.evacuations.retryAfter = milliseconds(1);
        const DiscoverySource discovery{WorkersTable, [this](const Row &row, ProtocolError &) {
                                            return std::optional(
                                                m_harness.workers.machines().at(WorkerId(row.key)).report);
                                        }};
        const EvacuationSource evacuations{OperatorTable, "away/", [](const Row &row, ProtocolError &) {
                                               return std::optional(DataCentreId(row.key.substr(5)));
                                           }};
        auto owner = std::make_unique<OwnerController>(m_loop,
                                                       times,
                                                       m_harness.timeline.clock(),
                                                       InstanceId(instance),
                                                       m_harness.store,
                                                       m_harness.workers,
                                                       nullptr,
                                                       discovery,
                                                       evacuations);
        owner->setCatalogue(m_harness.catalogue);
        owner->start();
        return owner;
    }

    void runFor(Duration time)
    {
        for (Duration done{}; done < time; done += milliseconds(10)) {
            m_harness.runFor(milliseconds(10));
            m_loop.restart();
            m_loop.run_one();
            m_loop.poll();
        }
    }

    void evacuate(const DataCentreId &dataCentre)
    {
        m_harness.store.apply({{}, {{OperatorTable, "away/" + dataCentre.value(), "", {}, false}}, {}});
    }

    void endEvacuation(const DataCentreId &dataCentre)
    {
        m_harness.store.apply({{}, {}, {{OperatorTable, "away/" + dataCentre.value()}}});
    }

    /** Submits a job of six tasks that each take a whole worker. */
    void submit(const std::string &id, Duration work = milliseconds(300))
    {
        m_harness.submit(m_harness.job(id, 1, {stepOf(6, 1, 8)}), {.work = work});
    }

    /** Submits such a job every 200 ms for @p time, so that there always is work to start. */
    void submitFor(Duration time)
    {
        for (Duration done{}; done < time; done += milliseconds(200)) {
            submit("load" + std::to_string(++m_submitted));
            runFor(milliseconds(200));
        }
    }

    const DataCentreId m_near{"near"};
    const DataCentreId m_far{"far"};
    EngineHarness m_harness;
    boost::asio::io_context m_loop;
    std::map<DataCentreId, int> m_starts;
    std::map<DataCentreId, MonotonicTime> m_lastStart;
    int m_submitted = 0;
};

// Guards against a row that does not reach the engine, is not taken back, or ends the term of an owner that stands in
// the evacuated data centre itself.
TEST_F(OwnerEvacuation, rowOfTheOperatorDecidesAlsoForTheOwnersDataCentre)
{
    const auto owner = makeOwner("vm-in-near/1");
    submitFor(seconds(4));
    ASSERT_GT(m_starts[m_near], 0);
    const std::optional<Epoch> epoch = owner->epoch();
    ASSERT_TRUE(epoch);
    evacuate(m_near);
    runFor(milliseconds(50));
    const int before = m_starts[m_near];
    const int beforeFar = m_starts[m_far];
    submitFor(seconds(4));
    EXPECT_EQ(m_starts[m_near], before);
    EXPECT_GT(m_starts[m_far], beforeFar);
    EXPECT_EQ(owner->epoch(), epoch);
    endEvacuation(m_near);
    submitFor(seconds(1));
    EXPECT_GT(m_starts[m_near], before);
}

// Guards against an owner that places work after a restart or takeover before it has read the rows.
TEST_F(OwnerEvacuation, newOwnerReadsTheRowsBeforeItPlacesWork)
{
    evacuate(m_far);
    m_harness.store.silentTables = {OperatorTable};
    auto first = makeOwner("a/1");
    submit("one");
    runFor(seconds(8));
    ASSERT_NE(first->engine(), nullptr);
    EXPECT_TRUE(m_starts.empty());
    m_harness.store.silentTables.clear();
    runFor(seconds(3));
    EXPECT_EQ(m_starts, (std::map<DataCentreId, int>{{m_near, 6}}));
    first.reset();
    auto second = makeOwner("b/1");
    submitFor(seconds(6));
    ASSERT_NE(second->engine(), nullptr);
    EXPECT_GT(m_starts[m_near], 6);
    EXPECT_EQ(m_starts[m_far], 0);
}

// Guards against starts in a data centre that was evacuated while the owner's connection was silent: the other tables
// are still read, so that nothing else stops the owner. 5 s is the limit of rule EVAC.
TEST_F(OwnerEvacuation, silentConnectionStopsThePlacingInTime)
{
    const auto owner = makeOwner("a/1");
    submitFor(seconds(4));
    ASSERT_GT(m_starts[m_far], 0);
    m_harness.store.silentTables = {OperatorTable};
    evacuate(m_far);
    const MonotonicTime evacuatedAt = m_harness.timeline.now();
    submitFor(seconds(8));
    EXPECT_LE(m_lastStart[m_far] - evacuatedAt, seconds(5) - EngineTimes().orderTimeout);
    m_harness.store.silentTables.clear();
    runFor(seconds(3));
    const int before = m_starts[m_far];
    submitFor(seconds(4));
    EXPECT_EQ(m_starts[m_far], before);
    EXPECT_GT(m_lastStart[m_near] - evacuatedAt, seconds(12)) << "work goes on in the other data centre";
}

// Guards against starts in a data centre whose evacuation became known only after an outage of the store.
TEST_F(OwnerEvacuation, outageOfTheStoreDoesNotHideARow)
{
    const auto owner = makeOwner("a/1");
    submitFor(seconds(4));
    ASSERT_GT(m_starts[m_far], 0);
    m_harness.store.isUnreachable = true;
    evacuate(m_far);
    m_harness.store.dropHistory();
    const MonotonicTime evacuatedAt = m_harness.timeline.now();
    submitFor(seconds(5));
    m_harness.store.isUnreachable = false;
    submitFor(seconds(6));
    EXPECT_LE(m_lastStart[m_far] - evacuatedAt, seconds(5) - EngineTimes().orderTimeout);
    EXPECT_GT(m_lastStart[m_near] - evacuatedAt, seconds(9)) << "work goes on in the other data centre";
}

} // namespace
} // namespace coriander::workflow
