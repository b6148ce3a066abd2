#include "corianderscale/Workflow/CallRelay.h"

#include <gtest/gtest.h>

namespace coriander::workflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CallerCall submission()
{
    CallerCall call;
    call.method = "POST";
    call.host = "desk.example";
    call.path = "/q/a b\n1";
    call.credential = "key";
    call.body = std::string("{\"spec\":\"\xff\0\"}", 13);
    call.timeLimit = seconds(2);
    return call;
}

// Guards against a neighbour that serves another call than the one that arrived.
TEST(CallRelay, callsAndAnswersKeepTheirFields)
{
    ConfigurationVersion atLeast;
    const CallerCall call = submission();
    const auto decoded
        = decodeRelayedCall(encodeRelayedCall(call, ConfigurationVersion(9), milliseconds(600)), atLeast);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->method, call.method);
    EXPECT_EQ(decoded->host, call.host);
    EXPECT_EQ(decoded->path, call.path);
    EXPECT_EQ(decoded->credential, call.credential);
    EXPECT_EQ(decoded->body, call.body);
    EXPECT_LE(decoded->timeLimit, milliseconds(600));
    EXPECT_GE(decoded->timeLimit, milliseconds(500));
    EXPECT_EQ(atLeast, ConfigurationVersion(9));

    RoutedAnswer answer;
    answer.answer = {CallOutcome::Refused, "reason \xff", milliseconds(1500), JobState::Running, 7};
    answer.configuration = ConfigurationVersion(11);
    ProtocolError error;
    const auto read = decodeRoutedAnswer(encodeRoutedAnswer(answer), error);
    ASSERT_TRUE(read) << error.reason;
    EXPECT_EQ(read->answer.outcome, CallOutcome::Refused);
    EXPECT_EQ(read->answer.retryAfter, milliseconds(1500));
    EXPECT_EQ(read->answer.state, JobState::Running);
    EXPECT_EQ(read->answer.waiting, 7U);
    EXPECT_EQ(read->configuration, ConfigurationVersion(11));
}

// Guards against an answer that cannot be read being taken as an acceptance.
TEST(CallRelay, malformedMessagesAreRejected)
{
    ProtocolError error;
    for (const char *body : {"",
                             "{}",
                             "[1]",
                             R"({"outcome":"maybe","reason":"","retry_after_ms":0,"configuration":1})",
                             R"({"outcome":"done","reason":"","retry_after_ms":0,"configuration":1,"state":"x"})"}) {
        EXPECT_FALSE(decodeRoutedAnswer(jsonResponse(200, body), error)) << body;
    }
    ConfigurationVersion atLeast;
    HttpRequest request = encodeRelayedCall(submission(), ConfigurationVersion(1), seconds(1));
    request.query["limit_ms"] = "x";
    EXPECT_FALSE(decodeRelayedCall(request, atLeast));
}

// Guards against a relayed call that is lost, or answered by the wrong instance, on real connections.
TEST(CallRelay, carriesCallsOverConnections)
{
    boost::asio::io_context loop;
    std::string served;
    CallRelay server(
        loop,
        [&served](const CallerCall &call, ConfigurationVersion, const std::function<void(const RoutedAnswer &)> &done) {
            served = call.path;
            RoutedAnswer answer;
            answer.answer.state = JobState::Queued;
            done(answer);
        },
        [](const RowChange &, const std::function<void(bool)> &done) { done(true); });
    CallRelay client(
        loop, [](const CallerCall &, ConfigurationVersion, const auto &) {}, [](const RowChange &, const auto &) {});
    TransportError error;
    ASSERT_TRUE(server.listen("127.0.0.1:0", error)) << error.reason;
    std::vector<RelayResult> results;
    const auto collect = [&](const RelayResult &result) {
        results.push_back(result);
        if (results.size() == 2) {
            loop.stop();
        }
    };
    client.send(
        "127.0.0.1:" + std::to_string(server.port()), submission(), ConfigurationVersion(1), seconds(2), collect);
    client.send("127.0.0.1:1", submission(), ConfigurationVersion(1), seconds(2), collect);
    loop.run_for(seconds(5));
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(served, submission().path);
    const bool firstAnswered = results[0].answer.has_value();
    const RelayResult &answered = results[firstAnswered ? 0 : 1];
    const RelayResult &refused = results[firstAnswered ? 1 : 0];
    ASSERT_TRUE(answered.answer);
    EXPECT_EQ(answered.answer->answer.state, JobState::Queued);
    EXPECT_FALSE(refused.answer);
    EXPECT_FALSE(refused.sent) << "a refused connection proves that the call did not arrive";
}

// Guards against a call that a neighbour refused for lack of memory counting as one that may have run.
TEST(CallRelay, callThatTheNeighbourHasNoMemoryForWasNotSent)
{
    boost::asio::io_context loop;
    std::size_t served = 0;
    CallRelay server(
        loop,
        [&served](const CallerCall &, ConfigurationVersion, const auto &) { ++served; },
        [](const RowChange &, const auto &) {});
    decision::ConnectionLimits limits;
    limits.bytes = 1000;
    server.setConnectionLimits(limits);
    CallRelay client(
        loop, [](const CallerCall &, ConfigurationVersion, const auto &) {}, [](const RowChange &, const auto &) {});
    TransportError error;
    ASSERT_TRUE(server.listen("127.0.0.1:0", error)) << error.reason;
    std::optional<RelayResult> result;
    client.send("127.0.0.1:" + std::to_string(server.port()),
                submission(),
                ConfigurationVersion(1),
                seconds(2),
                [&](const RelayResult &received) {
                    result = received;
                    loop.stop();
                });
    loop.run_for(seconds(5));
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->answer);
    EXPECT_FALSE(result->sent) << result->reason;
    EXPECT_EQ(served, 0U);
}

// Guards against a neighbour that releases another version of the term than the owner asked for.
TEST(CallRelay, termReleasesKeepTheirFields)
{
    RowChange release;
    release.expected.push_back({OwnerTable, OwnerKey, RowVersion(77)});
    release.written.push_back({OwnerTable, OwnerKey, encodeTerm({InstanceId(), Epoch(3), 9}), {}, false});
    const auto decoded = decodeTermRelease(encodeTermRelease(release));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->expected.front().version, RowVersion(77));
    EXPECT_EQ(decoded->written.front().value, release.written.front().value);
    EXPECT_FALSE(decodeTermRelease(HttpRequest{}));
    EXPECT_FALSE(decodeTermRelease(encodeRelayedCall(submission(), ConfigurationVersion(1), seconds(1))));
}

} // namespace
} // namespace coriander::workflow
