#include "corianderscale/State/Totals.h"

#include "corianderscale/State/TotalsCsv.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

constexpr std::int64_t HourMs = 3600 * 1000;
const CallerKey Caller{OrganisationId("diocese"), CallerId("desk")};

DayBounds dayOf(const std::string &day)
{
    return findDay(day, "Europe/Rome").value();
}

InstanceView gatewayView(const std::string &instance)
{
    InstanceView view;
    view.member.instance = InstanceId(instance);
    view.member.role = MemberRole::Gateway;
    view.member.dataCentre = DataCentreId("palermo");
    return view;
}

class TotalsTest : public ::testing::Test
{
protected:
    TotalsTest()
        : m_day(dayOf("2026-05-04"))
    {
    }

    TotalsRecount recount(std::int64_t afterEndMs, std::vector<InstanceView> instances = {}) const
    {
        return TotalsRecount(m_day, std::move(instances), m_day.endUnixMs + afterEndMs);
    }

    CountsRecord counts(bool closed) const
    {
        CountsRecord record;
        record.day = m_day.day;
        record.gateway = InstanceId("g1");
        record.closed = closed;
        record.flushedUnixMs = m_day.startUnixMs;
        record.counts[Caller].accepted = 7;
        record.counts[Caller].finished = 7;
        return record;
    }

    UsageRecord usage(std::int64_t sequence, std::int64_t acceleratorMs) const
    {
        UsageRecord record;
        record.day = m_day.day;
        record.worker = WorkerId("w1");
        record.incarnation = InstanceId("i1");
        record.sequence = sequence;
        record.usage[Caller].guaranteed.acceleratorMs = acceleratorMs;
        record.reportedUnixMs = m_day.startUnixMs + HourMs;
        return record;
    }

    JobRecord runningJob() const
    {
        JobRecord job;
        job.id = JobId("palermo-1");
        job.organisation = Caller.organisation;
        job.caller = Caller.caller;
        job.state = JobState::Running;
        job.submittedUnixMs = job.startedUnixMs = m_day.endUnixMs - HourMs;
        job.placements = {{TaskId("t"), WorkerId("w1")}};
        return job;
    }

    DayBounds m_day;
};

// Guards against days that are an hour too long or too short at daylight-saving changes.
TEST_F(TotalsTest, daysFollowTheTimeZone)
{
    EXPECT_EQ(dayOf("2026-03-29").endUnixMs - dayOf("2026-03-29").startUnixMs, 23 * HourMs);
    EXPECT_EQ(dayOf("2026-10-25").endUnixMs - dayOf("2026-10-25").startUnixMs, 25 * HourMs);
    EXPECT_EQ(dayOf("2026-03-29").endUnixMs, dayOf("2026-03-30").startUnixMs);
    EXPECT_EQ(civilDayOf(fromUnixMs(dayOf("2026-10-25").endUnixMs - 1), "Europe/Rome"), "2026-10-25");
    EXPECT_EQ(dayAfter(dayOf("2026-12-31")), "2027-01-01");
    for (const char *day : {"2026-02-30", "2026-3-1", "yesterday", "2026-03-01 ", "9999-01-01"}) {
        EXPECT_FALSE(findDay(day, "Europe/Rome")) << day;
    }
}

// Guards against a day that is reported as complete while a live gateway may still add to it.
TEST_F(TotalsTest, openCountsOfLiveGatewayAreMissing)
{
    TotalsRecount open = recount(LostGatewayGraceMs * 2, {gatewayView("g1")});
    open.add(counts(false));
    const DayTotals totals = open.finish();
    ASSERT_EQ(totals.missing.size(), 1U);
    EXPECT_NE(totals.missing[0].what.find("gateway g1"), std::string::npos);
    EXPECT_GT(totals.missing[0].expectedUnixMs, m_day.endUnixMs);
    TotalsRecount closed = recount(LostGatewayGraceMs * 2, {gatewayView("g1")});
    closed.add(counts(true));
    EXPECT_TRUE(closed.finish().complete());
}

// Guards against a day that never becomes complete because a gateway was lost.
TEST_F(TotalsTest, countsOfLostGatewayBecomeFinal)
{
    TotalsRecount early = recount(LostGatewayGraceMs - 1);
    early.add(counts(false));
    EXPECT_FALSE(early.finish().complete());
    TotalsRecount late = recount(LostGatewayGraceMs);
    late.add(counts(false));
    EXPECT_TRUE(late.finish().complete());
}

// Guards against usage that is counted twice when reports repeat, or lost when they arrive out of order.
TEST_F(TotalsTest, highestSequenceOfUsageCountsOnce)
{
    TotalsRecount all = recount(HourMs);
    all.add(usage(3, 300));
    all.add(usage(2, 200));
    all.add(usage(3, 300));
    UsageRecord restarted = usage(1, 50);
    restarted.incarnation = InstanceId("i2");
    all.add(restarted);
    EXPECT_EQ(all.finish().callers.at(Caller).usage.guaranteed.acceleratorMs, 350);
}

// Guards against closing a day before the usage until midnight of a job that runs past midnight has been reported.
TEST_F(TotalsTest, usageOfJobsOverMidnightIsMissingUntilReported)
{
    TotalsRecount before = recount(HourMs);
    before.add(runningJob());
    before.add(usage(1, 100));
    const DayTotals totals = before.finish();
    ASSERT_EQ(totals.missing.size(), 1U);
    EXPECT_NE(totals.missing[0].what.find("worker w1"), std::string::npos);
    TotalsRecount after = recount(HourMs);
    after.add(runningJob());
    UsageRecord next = usage(2, 5);
    next.day = dayAfter(m_day);
    after.add(next);
    const DayTotals complete = after.finish();
    EXPECT_TRUE(complete.complete());
    EXPECT_EQ(complete.callers.at(Caller).usage.guaranteed.acceleratorMs, 0);
}

// Guards against a day that is complete while a claim is open, and against counting a stored answer of an idempotent
// request twice.
TEST_F(TotalsTest, openClaimsAreMissingAndStoredAnswersAreNotCounted)
{
    RequestRecord claim;
    claim.organisation = Caller.organisation;
    claim.caller = Caller.caller;
    claim.key = RequestKey("k");
    claim.claimedUnixMs = m_day.startUnixMs;
    TotalsRecount open = recount(HourMs);
    open.add(claim);
    EXPECT_FALSE(open.finish().complete());
    RequestRecord storedAnswer = claim;
    storedAnswer.claimedUnixMs = 0;
    storedAnswer.state = RequestState::Finished;
    storedAnswer.endedUnixMs = m_day.startUnixMs;
    TotalsRecount kept = recount(HourMs);
    kept.add(storedAnswer);
    EXPECT_TRUE(kept.finish().callers.empty());
}

// Guards against a day that is reported as complete while an instance that served on that day is cut off.
TEST_F(TotalsTest, cutOffInstancesAreMissing)
{
    InstanceView gateway = gatewayView("g1");
    gateway.cutOff = true;
    gateway.cutOffSinceUnixMs = m_day.startUnixMs + HourMs;
    TotalsRecount cutOff = recount(HourMs, {gateway});
    const DayTotals totals = cutOff.finish();
    ASSERT_EQ(totals.missing.size(), 1U);
    EXPECT_NE(totals.missing[0].what.find("palermo"), std::string::npos);
    gateway.cutOffSinceUnixMs = m_day.endUnixMs + LateWriteGraceMs;
    EXPECT_TRUE(recount(HourMs, {gateway}).finish().complete());
}

// Guards against silently skipping a row that cannot be decoded.
TEST_F(TotalsTest, unreadableRowsAreMissing)
{
    TotalsRecount bad = recount(HourMs);
    bad.addUnreadable("jobs/palermo/x", "not JSON");
    EXPECT_FALSE(bad.finish().complete());
}

// Guards against names that a spreadsheet would evaluate as formulas or split into columns.
TEST_F(TotalsTest, csvQuotesFieldsAndEscapesFormulas)
{
    EXPECT_EQ(csvField("plain-name"), "plain-name");
    EXPECT_EQ(csvField("a,\"b\""), "\"a,\"\"b\"\"\"");
    EXPECT_EQ(csvField("=1+1"), "'=1+1");
    EXPECT_EQ(csvField("@SUM(A1)"), "'@SUM(A1)");
    EXPECT_EQ(csvField("-2"), "'-2");
    DayTotals totals;
    totals.bounds = m_day;
    totals.callers[{OrganisationId("=cmd"), CallerId("x,y")}].usage.borrowed.memoryMibMs = 1024 * HourMs;
    totals.missing.push_back({"=HYPERLINK()", m_day.endUnixMs});
    const std::string csv = totalsToCsv(totals);
    EXPECT_NE(csv.find("2026-05-04,caller,'=cmd,\"x,y\",0,0,0,0,0,0,0.000000,0.000000,0.000000,0.000000,0.000000,"
                       "1.000000,\r\n"),
              std::string::npos)
        << csv;
    EXPECT_NE(csv.find("2026-05-04,status,,,,,,,,,,,,,,,incomplete\r\n"), std::string::npos) << csv;
    EXPECT_NE(csv.find("\"'=HYPERLINK(); expected at 2026-05-05 00:00:00 +02:00\""), std::string::npos) << csv;
}

} // namespace
} // namespace coriander
