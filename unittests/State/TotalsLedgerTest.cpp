#include "corianderscale/State/TotalsLedger.h"

#include "corianderscale/Support/ManualClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Coordination/FakeStore.h"

namespace coriander {
namespace {

constexpr std::int64_t HourMs = 3600 * 1000;

class LedgerFixture
{
public:
    LedgerFixture()
        : m_day(findDay("2026-10-25", "Europe/Rome").value())
        , m_clock(fromUnixMs(m_day.endUnixMs + 2 * LostGatewayGraceMs))
        , m_store(m_clock.clock())
        , m_ledger(m_store, m_clock.clock(), [this] { return m_instances; })
    {
        m_document.timeZone = "Europe/Rome";
        m_document.dataCentres.push_back({DataCentreId("palermo"), "west", {}});
    }

    template<typename Record>
    void put(const std::string &key, const Record &record)
    {
        TableTransaction transaction;
        transaction.operation = OperationId(randomHex(8));
        transaction.puts.push_back({key, encodeMessage(record)});
        m_store.commit(std::move(transaction), NeverDue, [](const auto &, const auto &) {});
    }

    void putCounts(std::int64_t finished)
    {
        CountsRecord record;
        record.day = m_day.day;
        record.gateway = InstanceId("g1");
        record.closed = true;
        record.counts[m_caller].accepted = finished;
        record.counts[m_caller].finished = finished;
        put(countsRowKey(record.day, record.gateway), record);
    }

    std::optional<DayTotals> totals()
    {
        return m_ledger.totals(m_day.day, m_document, NeverDue, m_error);
    }

    DayBounds m_day;
    ManualClock m_clock;
    FakeStore m_store;
    std::vector<InstanceView> m_instances;
    TotalsLedger m_ledger;
    Document m_document;
    StateError m_error;
    CallerKey m_caller{OrganisationId("diocese"), CallerId("desk")};
};

// Guards against totals of a closed day that change, and against late rows that are not counted.
TEST(TotalsLedger, closedDayKeepsItsNumbersAndGetsCorrections)
{
    LedgerFixture fixture;
    fixture.putCounts(5);
    const auto first = fixture.totals();
    ASSERT_TRUE(first) << fixture.m_error.reason;
    EXPECT_TRUE(first->complete());
    EXPECT_GT(first->closedUnixMs, 0);
    fixture.putCounts(8);
    fixture.m_clock.advance(std::chrono::hours(1));
    for (int round = 0; round < 2; ++round) {
        const auto later = fixture.totals();
        ASSERT_TRUE(later);
        EXPECT_EQ(later->closedUnixMs, first->closedUnixMs);
        EXPECT_EQ(later->callers.at(fixture.m_caller).items.finished, 5);
        ASSERT_EQ(later->corrections.size(), 1U);
        EXPECT_EQ(later->corrections[0].difference.at(fixture.m_caller).items.finished, 3);
    }
}

// Guards against a later change of the document's time zone that changes the bounds of a closed day.
TEST(TotalsLedger, closedDayKeepsItsTimeZone)
{
    LedgerFixture fixture;
    fixture.putCounts(5);
    ASSERT_TRUE(fixture.totals());
    fixture.m_document.timeZone = "Asia/Tokyo";
    const auto later = fixture.totals();
    ASSERT_TRUE(later);
    EXPECT_EQ(later->bounds.timeZone, "Europe/Rome");
    EXPECT_TRUE(later->corrections.empty());
}

// Guards against an incomplete day that is stored as closed.
TEST(TotalsLedger, incompleteDayStaysOpen)
{
    LedgerFixture fixture;
    fixture.putCounts(5);
    fixture.m_clock.jumpWall(-std::chrono::hours(3));
    const auto totals = fixture.totals();
    ASSERT_TRUE(totals);
    EXPECT_FALSE(totals->complete());
    EXPECT_EQ(totals->closedUnixMs, 0);
    EXPECT_TRUE(fixture.m_store.value("totals/2026-10-25/0000/0000").empty());
}

// Guards against totals that are computed from only some of the rows when the store fails during the scans.
TEST(TotalsLedger, storeFaultsGiveNoTotals)
{
    LedgerFixture fixture;
    int scans = 0;
    fixture.m_store.setFaults([&scans](const std::string &operation, const OperationId &) {
        return operation == "scan" && ++scans == 3 ? StoreFault::Unavailable : StoreFault::None;
    });
    EXPECT_FALSE(fixture.totals());
    EXPECT_EQ(fixture.m_error.code, StateCode::Unavailable);
}

// Guards against a lost answer to the closing write that leads to a second closing or to a failure.
TEST(TotalsLedger, lostAnswerOfClosingIsReadBack)
{
    LedgerFixture fixture;
    fixture.putCounts(5);
    fixture.m_store.setFaults([](const std::string &operation, const OperationId &) {
        return operation == "commit" ? StoreFault::AnswerLost : StoreFault::None;
    });
    const auto totals = fixture.totals();
    ASSERT_TRUE(totals) << fixture.m_error.reason;
    EXPECT_GT(totals->closedUnixMs, 0);
    EXPECT_TRUE(totals->corrections.empty());
}

/** A generated item with its start, end and outcome. */
struct Event {
    int kind;
    int caller;
    std::int64_t startMs;
    std::int64_t endMs;
    int outcome;
};

Event generateEvent(const DayBounds &day)
{
    const std::int64_t start = *rc::gen::inRange(day.startUnixMs - 2 * HourMs, day.endUnixMs + HourMs);
    const std::int64_t length = *rc::gen::inRange<std::int64_t>(1, 2 * HourMs);
    return {*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4), start, start + length, *rc::gen::inRange(0, 4)};
}

CallerKey callerOf(int index)
{
    return {OrganisationId("o" + std::to_string(index / 2)), CallerId("c" + std::to_string(index))};
}

/** Writes the row of one event. Idempotent requests of a day are counted in the row of their gateway. */
void putEvent(LedgerFixture &fixture, const Event &event, int index, std::map<std::string, CountsRecord> &counts)
{
    constexpr std::array JobStates = {JobState::Finished, JobState::Failed, JobState::Cancelled, JobState::Refused};
    constexpr std::array RequestStates
        = {RequestState::Finished, RequestState::Failed, RequestState::NotRun, RequestState::Unknown};
    const CallerKey caller = callerOf(event.caller);
    if (event.kind == 0) {
        JobRecord job;
        job.id = JobId("palermo-" + std::to_string(index));
        job.dataCentre = DataCentreId("palermo");
        job.organisation = caller.organisation;
        job.caller = caller.caller;
        job.spec.cores = MilliCores(1000);
        job.spec.memory = MemoryMib(1024);
        job.state = JobStates.at(event.outcome);
        job.submittedUnixMs = event.startMs;
        job.endedUnixMs = event.endMs;
        fixture.put(jobRowKey(job.dataCentre, job.id), job);
    } else if (event.kind == 1) {
        RequestRecord request;
        request.organisation = caller.organisation;
        request.caller = caller.caller;
        request.key = RequestKey(std::to_string(index));
        request.service = ServiceName("confirm");
        request.state = RequestStates.at(event.outcome);
        request.claimedUnixMs = event.startMs;
        request.endedUnixMs = event.endMs;
        fixture.put(requestRowKey(caller.organisation, caller.caller, request.key), request);
    } else {
        const std::string day = civilDayOf(fromUnixMs(event.endMs), "Europe/Rome");
        CountsRecord &row = counts[day];
        row.day = day;
        row.gateway = InstanceId("g1");
        row.closed = true;
        ItemCounts &items = row.counts[caller];
        ++items.accepted;
        ++(event.outcome == 0       ? items.finished
               : event.outcome == 1 ? items.failed
               : event.outcome == 2 ? items.refusedNotRun
                                    : items.unknown);
        fixture.put(countsRowKey(row.day, row.gateway), row);
    }
}

/** Counts the same events without rows, by comparing their times with literal bounds of the day. */
ItemCounts expectedItems(const std::vector<Event> &events, int caller)
{
    // 2026-10-25 in Rome has 25 hours, from 22:00 UTC of the previous day to 23:00 UTC.
    constexpr std::int64_t Start = 1792879200000;
    constexpr std::int64_t End = Start + 25 * HourMs;
    ItemCounts expected;
    for (const Event &event : events) {
        if (event.caller != caller) {
            continue;
        }
        const std::int64_t acceptedAt = event.kind == 2 ? event.endMs : event.startMs;
        expected.accepted += acceptedAt >= Start && acceptedAt < End ? 1 : 0;
        if (event.endMs < Start || event.endMs >= End) {
            continue;
        }
        expected.finished += event.outcome == 0 ? 1 : 0;
        expected.failed += event.outcome == 1 ? 1 : 0;
        const bool refused = event.kind == 0 ? event.outcome == 3 : event.outcome == 2;
        expected.refusedNotRun += refused ? 1 : 0;
        expected.cancelled += event.kind == 0 && event.outcome == 2 ? 1 : 0;
        expected.unknown += event.kind != 0 && event.outcome == 3 ? 1 : 0;
    }
    return expected;
}

// Guards against items that are counted twice, on the wrong day, for the wrong caller or with the wrong outcome.
RC_GTEST_PROP(TotalsLedger, agreesWithAnIndependentRecount, ())
{
    LedgerFixture fixture;
    std::vector<Event> events;
    std::map<std::string, CountsRecord> counts;
    const int size = *rc::gen::inRange(0, 60);
    for (int index = 0; index < size; ++index) {
        events.push_back(generateEvent(fixture.m_day));
        putEvent(fixture, events.back(), index, counts);
    }
    fixture.m_clock.advance(std::chrono::hours(4));
    const auto totals = fixture.totals();
    RC_ASSERT(totals.has_value());
    RC_ASSERT(totals->complete());
    for (int caller = 0; caller < 4; ++caller) {
        const auto found = totals->callers.find(callerOf(caller));
        const ItemCounts counted = found == totals->callers.end() ? ItemCounts() : found->second.items;
        RC_ASSERT(counted == expectedItems(events, caller));
    }
}

// Guards against usage that is counted twice or lost when reports are repeated, reordered or interrupted by restarts.
RC_GTEST_PROP(TotalsLedger, usageAgreesWithAnIndependentRecount, ())
{
    LedgerFixture fixture;
    std::map<std::pair<int, int>, std::int64_t> highestSequence;
    TotalsRecount recount(fixture.m_day, {}, fixture.m_day.endUnixMs + HourMs);
    const int reports = *rc::gen::inRange(1, 50);
    for (int report = 0; report < reports; ++report) {
        const int worker = *rc::gen::inRange(0, 3);
        const int incarnation = *rc::gen::inRange(0, 2);
        const std::int64_t sequence = *rc::gen::inRange<std::int64_t>(1, 20);
        UsageRecord row;
        row.day = fixture.m_day.day;
        row.dataCentre = DataCentreId("palermo");
        row.worker = WorkerId(std::to_string(worker));
        row.incarnation = InstanceId(std::to_string(incarnation));
        row.sequence = sequence;
        row.usage[fixture.m_caller].borrowed.coreMs = sequence * 100;
        recount.add(row);
        std::int64_t &highest = highestSequence[{worker, incarnation}];
        highest = std::max(highest, sequence);
    }
    std::int64_t expected = 0;
    for (const auto &[workerIncarnation, highest] : highestSequence) {
        expected += highest * 100;
    }
    RC_ASSERT(recount.finish().callers.at(fixture.m_caller).usage.borrowed.coreMs == expected);
}

} // namespace
} // namespace coriander
