#include "corianderscale/Scheduler/UsageLedger.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

using namespace std::chrono_literals;

const TaskId Task{"j.1.0"};
const WorkerId Worker{"w1"};
const InstanceId Incarnation{"w1-a"};
const CallerKey Caller{OrganisationId("org"), CallerId("caller")};

TaskReport makeReport(std::int64_t sequence, std::int64_t acceleratorMs)
{
    TaskReport report;
    report.task = Task;
    report.sequence = sequence;
    report.acceleratorMs = acceleratorMs;
    return report;
}

std::vector<UsageRecord> rowsOf(UsageLedger &ledger, MonotonicTime now, WallTime wallNow)
{
    std::vector<UsageRecord> rows;
    ProtocolError error;
    for (const StoreWrite &write : ledger.takeWrites(now, wallNow)) {
        for (const TablePut &put : write.transaction.puts) {
            rows.push_back(*decodeMessage<UsageRecord>(put.value, error));
        }
    }
    return rows;
}

// Guards against reports that are counted twice when repeated, reordered, or seen again by a new owner.
TEST(UsageLedgerTest, RepeatedAndReorderedReportsCountOnceAcrossTakeover)
{
    const WallTime start(std::chrono::hours(24 * 365 * 50));
    UsageLedger first(DataCentreId("dc1"), CivilDays("UTC"), 1s);
    first.openTask(Task, Worker, Incarnation, Caller, false, start);
    first.countReport(Worker, Incarnation, makeReport(2, 500), start + 2s);
    first.countReport(Worker, Incarnation, makeReport(1, 300), start + 2s);
    first.countReport(Worker, Incarnation, makeReport(2, 500), start + 2s);
    const std::vector<UsageRecord> rows = rowsOf(first, MonotonicTime(5s), start + 2s);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().usage.at(Caller).borrowed.acceleratorMs, 500);
    UsageLedger second(DataCentreId("dc1"), CivilDays("UTC"), 1s);
    second.restore(rows.front(), RowVersion(1));
    second.countReport(Worker, Incarnation, makeReport(2, 500), start + 3s);
    EXPECT_TRUE(rowsOf(second, MonotonicTime(5s), start + 3s).empty());
    second.countReport(Worker, Incarnation, makeReport(3, 700), start + 3s);
    EXPECT_EQ(rowsOf(second, MonotonicTime(5s), start + 3s).front().usage.at(Caller).borrowed.acceleratorMs, 700);
}

// Guards against usage that is counted in the wrong day, including on a day of 25 hours.
TEST(UsageLedgerTest, UsageIsSplitAtMidnightOfTimeZone)
{
    // 2026-10-25 has 25 hours in Rome: it lasts from 22:00 UTC of the 24th to 23:00 UTC of the 25th.
    const WallTime dayStart = fromUnixMs(1792879200000);
    const CivilDays rome("Europe/Rome");
    EXPECT_EQ(rome.split(dayStart, dayStart + 26h).front().length, Duration(25h));
    UsageLedger ledger(DataCentreId("dc1"), rome, 1s);
    ledger.openTask(Task, Worker, Incarnation, Caller, true, dayStart + 24h);
    ledger.countReport(Worker, Incarnation, makeReport(1, 4000), dayStart + 28h);
    const std::vector<UsageRecord> rows = rowsOf(ledger, MonotonicTime(5s), dayStart + 28h);
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows[0].day, "2026-10-25");
    EXPECT_EQ(rows[0].usage.at(Caller).guaranteed.acceleratorMs, 1000);
    EXPECT_EQ(rows[1].usage.at(Caller).guaranteed.acceleratorMs, 3000);
}

// Guards against late reports of released tasks that are still counted.
TEST(UsageLedgerTest, ReportsOfReleasedTasksDoNotCount)
{
    const WallTime start(std::chrono::hours(24 * 365 * 50));
    UsageLedger ledger(DataCentreId("dc1"), CivilDays("UTC"), 1s);
    ledger.openTask(Task, Worker, Incarnation, Caller, false, start);
    ledger.closeTask(Task);
    EXPECT_FALSE(ledger.countReport(Worker, Incarnation, makeReport(1, 100), start + 1s));
}

} // namespace
} // namespace coriander
