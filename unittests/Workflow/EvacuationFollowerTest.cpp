#include "corianderscale/Workflow/EvacuationFollower.h"

#include "corianderscale/Workflow/JobEngine.h"

#include <optional>
#include <vector>

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

/** A follower of rows with keys of the form away/DATA-CENTRE in a table with other rows. */
class EvacuationRows : public ::testing::Test
{
protected:
    EvacuationRows()
    {
        write("another-row", "x");
    }

    void start()
    {
        EvacuationFollower::Times times;
        times.retryAfter = Duration(0);
        const EvacuationSource source{"t", "away/", [](const Row &row, ProtocolError &error) {
                                          const std::string name = row.key.substr(5);
                                          if (name.empty() || row.value == "odd") {
                                              error.reason = "not as expected";
                                          }
                                          return name.empty() ? std::nullopt : std::optional(DataCentreId(name));
                                      }};
        m_follower.emplace(m_loop,
                           times,
                           m_timeline.clock(),
                           m_store,
                           source,
                           EvacuationFollower::Hooks{[this](const auto &evacuated) { m_reports.push_back(evacuated); },
                                                     [this](MonotonicTime asOf) {
                                                         m_readAt = asOf;
                                                     }});
        m_follower->start();
    }

    void write(const std::string &key, const std::string &value = "")
    {
        m_store.apply({{}, {{"t", key, value, {}, false}}, {}});
    }

    void remove(const std::string &key)
    {
        m_store.apply({{}, {}, {{"t", key}}});
    }

    /** Runs for @p time; pauses of the follower take no time. */
    void runFor(Duration time)
    {
        for (Duration done{}; done < time; done += milliseconds(10)) {
            m_timeline.runFor(milliseconds(10));
            m_loop.restart();
            m_loop.poll();
        }
    }

    using Set = std::set<DataCentreId>;
    const DataCentreId m_a{"a"};
    const DataCentreId m_b{"b"};
    Timeline m_timeline;
    FakeRowStore m_store{m_timeline};
    boost::asio::io_context m_loop;
    std::vector<Set> m_reports;
    std::optional<MonotonicTime> m_readAt;
    std::optional<EvacuationFollower> m_follower;
};

// Guards against rows that are missed, and against other rows of the table that count as evacuations.
TEST_F(EvacuationRows, setAndRemovedRowsAreReported)
{
    write("away/a");
    start();
    runFor(milliseconds(100));
    write("away/b");
    write("another-row", "y");
    write("awayc");
    runFor(milliseconds(100));
    remove("away/a");
    runFor(milliseconds(100));
    remove("away/b");
    runFor(milliseconds(100));
    EXPECT_EQ(m_reports, (std::vector<Set>{{m_a}, {m_a, m_b}, {m_b}, {}}));
}

// Guards against an evacuation that is lost, or reported as ended, when its row is removed and set again at once.
TEST_F(EvacuationRows, rowThatIsSetAgainAtOnceStillCounts)
{
    write("away/a");
    start();
    runFor(milliseconds(100));
    remove("away/a");
    write("away/a");
    runFor(milliseconds(100));
    ASSERT_FALSE(m_reports.empty());
    EXPECT_EQ(m_reports.back(), Set{m_a});
}

// Guards against an evacuation that goes on for ever because its removal was in the history that the store dropped, and
// against one that is missed for this reason.
TEST_F(EvacuationRows, rowsAreReadAgainAfterTheHistoryWasDropped)
{
    write("away/a");
    start();
    runFor(milliseconds(100));
    m_store.silentTables = {"t"};
    runFor(milliseconds(100));
    remove("away/a");
    write("away/b");
    m_store.dropHistory();
    m_store.silentTables.clear();
    runFor(seconds(3));
    EXPECT_EQ(m_reports, (std::vector<Set>{{m_a}, {m_b}}));
}

// Guards against rows of other writers that end the follower or hide the rows after them.
TEST_F(EvacuationRows, unexpectedRowsDoNotHideOthers)
{
    write("away/", "odd");
    write("away/a", "odd");
    start();
    runFor(milliseconds(100));
    write("away/");
    write("away/b");
    runFor(milliseconds(100));
    EXPECT_EQ(m_reports, (std::vector<Set>{{m_a}, {m_a, m_b}}));
}

// Guards against calls that cost more than one for each wait, where no data centre is ever evacuated.
TEST_F(EvacuationRows, callsWaitForChanges)
{
    start();
    runFor(seconds(60));
    EXPECT_EQ(m_reports, std::vector<Set>{Set()});
    EXPECT_EQ(m_store.reads, 1U);
    EXPECT_LE(m_store.follows, 87U) << "more than one call in 700 ms";
}

// Guards against an age that exceeds the engine's limit while the store answers, so that an owner stops placing without
// a reason, also when one answer is lost.
TEST_F(EvacuationRows, ageStaysWithinTheLimitWhenOneAnswerIsLost)
{
    m_store.answerTime = milliseconds(150); // The read of all rows takes this time twice.
    start();
    runFor(milliseconds(2500));
    m_store.silentTables = {"t"};
    runFor(milliseconds(700));
    Duration longest{};
    for (int i = 0; i < 300; ++i) {
        if (i == 10) {
            m_store.silentTables.clear();
        }
        runFor(milliseconds(10));
        longest = std::max<Duration>(longest, m_timeline.now() - *m_readAt);
    }
    EXPECT_GT(longest, seconds(2)) << "no answer was lost";
    EXPECT_LE(longest, EngineTimes().maximumEvacuationsAge);
}

// Guards against rows that count as current as of an answer that lay in a buffer while the process was stopped.
TEST_F(EvacuationRows, rowsAreCurrentAsOfTheCallNotOfTheAnswer)
{
    start();
    const MonotonicTime startedAt = m_timeline.now();
    runFor(milliseconds(1050));
    EXPECT_EQ(m_store.follows, 2U) << "the first call for changes was answered";
    EXPECT_LE(*m_readAt, startedAt + milliseconds(50));
}

// Guards against rows that count as current although the connection is silent and its calls began long ago.
TEST_F(EvacuationRows, rowsAreNotCurrentWhileTheConnectionIsSilent)
{
    start();
    runFor(seconds(5));
    m_store.silentTables = {"t"};
    const MonotonicTime silentSince = m_timeline.now();
    write("away/a");
    runFor(seconds(10));
    EXPECT_LE(*m_readAt, silentSince);
    EXPECT_EQ(m_reports.size(), 1U);
    m_store.silentTables.clear();
    runFor(seconds(2));
    EXPECT_GT(*m_readAt, silentSince);
    EXPECT_EQ(m_reports.back(), Set{m_a});
}

} // namespace
} // namespace coriander::workflow
