#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Protocol/EndpointMessages.h"
#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Protocol/TimelineMessages.h"
#include "corianderscale/Protocol/WorkerMessages.h"

#include <gtest/gtest.h>

namespace coriander {
namespace {

// Guards against encoding or decoding dropping a field of an order, so that a task gets the wrong resources or lease.
TEST(Messages, ordersRoundTrip)
{
    WorkerOrders orders;
    orders.epoch = Epoch(7);
    orders.from = InstanceId("s1");
    WorkerOrder reserve;
    reserve.kind = OrderKind::Reserve;
    reserve.task = TaskId("t");
    reserve.job = JobId("j");
    reserve.cores = MilliCores(1500);
    reserve.memory = MemoryMib(2048);
    reserve.accelerators = Accelerators(4);
    WorkerOrder renew;
    renew.milliseconds = 45000;
    renew.digest = taskSetDigest({TaskId("b"), TaskId("a")});
    renew.excepted = {JobId("x")};
    orders.orders = {reserve, renew};
    ProtocolError error;
    const auto decoded = decodeMessage<WorkerOrders>(encodeMessage(orders), error);
    ASSERT_TRUE(decoded) << error.reason;
    EXPECT_EQ(decoded->toJson(), orders.toJson());
    EXPECT_EQ(decoded->orders[1].digest, taskSetDigest({TaskId("a"), TaskId("b")}));
}

// Guards against a refusal that does not say whether the attempt started being treated as proof that it did not run.
TEST(Messages, refusalWithoutProofCountsAsStarted)
{
    ProtocolError error;
    const auto refusal = decodeMessage<EndpointRefusal>(std::string_view(R"({"code":"slot-full"})"), error);
    ASSERT_TRUE(refusal);
    EXPECT_TRUE(refusal->started);
}

// Guards against malformed input of callers crashing the process, or being accepted with default values.
TEST(Messages, invalidJobSpecsNameTheFaultyField)
{
    const auto reasonFor = [](std::string_view text) {
        ProtocolError error;
        EXPECT_FALSE(decodeMessage<JobSpec>(text, error));
        return error.reason;
    };
    EXPECT_EQ(reasonFor("{"), "the message is not valid JSON");
    EXPECT_EQ(reasonFor("[]"), "message: expected an object");
    EXPECT_EQ(reasonFor("{}"), "command: missing; expected a string");
    EXPECT_EQ(reasonFor(R"({"command":"c","tasks":65})"), "tasks: expected a whole number from 1 to 64");
    EXPECT_EQ(reasonFor(R"({"command":"c","tasks":18446744073709551615})"),
              "tasks: expected a whole number from 1 to 64");
    EXPECT_EQ(reasonFor(R"({"command":"c","urgency":"now"})"), "urgency: expected one of: urgent, normal, background");
    EXPECT_EQ(reasonFor(std::string(10000, '[')), "the message is nested deeper than 32 levels");
}

// Guards against the decoder accepting a transaction with more writes than the table service takes.
TEST(Messages, rejectsTransactionsWithTooManyWrites)
{
    TableTransaction transaction;
    transaction.operation = OperationId("o");
    transaction.puts.resize(MaximumTransactionWrites + 1);
    ProtocolError error;
    EXPECT_FALSE(decodeMessage<TableTransaction>(encodeMessage(transaction), error));
}

// Guards against the events of several processes being grouped by process instead of ordered by hybrid time.
TEST(Messages, timelinesMergeByHybridTime)
{
    ProcessTimeline gateway{InstanceId("gateway-1"), {{{10, 0}, "job-accepted", {}}, {{12, 1}, "job-seen", {}}}, 0};
    const ProcessTimeline scheduler{InstanceId("scheduler-1"), {{{10, 1}, "job-placed", {{"job", "j"}}}}, 3};
    ProtocolError error;
    const auto decoded = decodeMessage<ProcessTimeline>(encodeMessage(scheduler), error);
    ASSERT_TRUE(decoded) << error.reason;
    const auto merged = mergeTimelines({gateway, *decoded});
    ASSERT_EQ(merged.size(), 3U);
    EXPECT_EQ(merged[0].event.event, "job-accepted");
    EXPECT_EQ(merged[1].event.event, "job-placed");
    EXPECT_EQ(merged[1].event.fields.at(0).value, "j");
    EXPECT_EQ(merged[2].event.event, "job-seen");
}

// Guards against a malformed query of a peer crashing the process, and against the reply losing events.
TEST(Messages, answersTimelineQueries)
{
    const InstanceId instance("scheduler-1");
    EXPECT_FALSE(answerTimelineMessage("gossip", instance, {}));
    EXPECT_EQ(answerTimelineMessage(TimelineMessage, instance, "\xff"), std::string());
    processEvents().add({{1, 0}, "job-placed", {{"job", "j-answered"}}});
    TimelineQuery query;
    query.filter.id = "j-answered";
    const std::vector<std::uint8_t> body = Json::to_cbor(query.toJson());
    const auto reply = answerTimelineMessage(TimelineMessage, instance, std::string(body.begin(), body.end()));
    ASSERT_TRUE(reply);
    ProtocolError error;
    const auto timeline = decodeJson<ProcessTimeline>(Json::from_cbor(*reply), error);
    ASSERT_TRUE(timeline) << error.reason;
    ASSERT_EQ(timeline->events.size(), 1U);
    EXPECT_EQ(timeline->events[0].event, "job-placed");
}

} // namespace
} // namespace coriander
