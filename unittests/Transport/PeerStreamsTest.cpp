#include "corianderscale/Transport/PeerStreams.h"

#include "corianderscale/Transport/PeerSocket.h"

#include <gtest/gtest.h>

#include <future>

#include "Support/TestAddress.h"

namespace coriander {
namespace {

constexpr const char *Key = "a shared key of tests";

using Result = std::pair<std::optional<std::string>, TransportError>;

std::string peerAddress(int index)
{
    return fmt::format("127.0.0.1:{}", testPort(index));
}

std::unique_ptr<PeerStreams> startStreams(const std::string &name, int index, const std::string &key)
{
    PeerStreams::Settings settings;
    settings.instance = InstanceId(name);
    settings.listenAddress = peerAddress(index);
    settings.key = key;
    settings.maximumMessageBytes = 300 * 1024;
    auto streams = std::make_unique<PeerStreams>(
        settings, systemClock(), [name](const std::string &message, const InstanceId &from, const std::string &body) {
            return name + " got " + message + " of " + std::to_string(body.size()) + " from " + from.value();
        });
    TransportError error;
    EXPECT_TRUE(streams->start(error)) << error.reason;
    return streams;
}

std::future<Result> send(PeerStreams &streams, const std::string &address, std::string body, Duration timeout)
{
    auto promise = std::make_shared<std::promise<Result>>();
    streams.send(address,
                 "hint",
                 std::move(body),
                 systemClock().now() + timeout,
                 [promise](std::optional<std::string> reply, const TransportError &error) {
                     promise->set_value({std::move(reply), error});
                 });
    return promise->get_future();
}

// Guards against messages being lost, confused or truncated in either direction, including ones that exceed the
// default HTTP/2 window of 64 KiB.
TEST(PeerStreams, carriesMessagesBothWays)
{
    const auto a = startStreams("a", 0, Key);
    const auto b = startStreams("b", 1, Key);
    std::vector<std::future<Result>> replies;
    for (std::size_t size : {0U, 1U, 250000U}) {
        replies.push_back(send(*a, peerAddress(1), std::string(size, 'x'), std::chrono::seconds(20)));
    }
    EXPECT_EQ(replies[0].get().first, "b got hint of 0 from a");
    EXPECT_EQ(replies[1].get().first, "b got hint of 1 from a");
    EXPECT_EQ(replies[2].get().first, "b got hint of 250000 from a");
    EXPECT_EQ(send(*b, peerAddress(0), "xyz", std::chrono::seconds(20)).get().first, "a got hint of 3 from b");
    EXPECT_GT(a->traffic().bytesSent, 250000);
    EXPECT_GT(b->traffic().bytesReceived, 250000);
}

// Guards against a peer with a different key being accepted.
TEST(PeerStreams, disconnectsAPeerWithAnotherKey)
{
    const auto a = startStreams("a", 0, Key);
    const auto b = startStreams("b", 1, "another key of tests");
    const Result result = send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get();
    EXPECT_FALSE(result.first);
    EXPECT_EQ(result.second.code, TransportCode::Unauthenticated);
}

// Guards against a message to an unreachable peer being reported as possibly received, and against the peer not being
// used again once it is up.
TEST(PeerStreams, reportsAnUnreachablePeerAndReconnectsLater)
{
    const auto a = startStreams("a", 0, Key);
    const Result refused = send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get();
    EXPECT_EQ(refused.second.code, TransportCode::Unreachable);
    const auto b = startStreams("b", 1, Key);
    EXPECT_TRUE(send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get().first);
    const Result malformed = send(*a, "nowhere", "x", std::chrono::seconds(20)).get();
    EXPECT_EQ(malformed.second.code, TransportCode::Unreachable);
}

// Guards against callers that never get a result from a peer that accepts connections but sends nothing.
TEST(PeerStreams, failsAtTheDeadlineWhenThePeerSendsNothing)
{
    TransportError error;
    const FileDescriptor silent = listenSocket(peerAddress(1), error);
    ASSERT_TRUE(silent.valid()) << error.reason;
    const auto a = startStreams("a", 0, Key);
    const Result result = send(*a, peerAddress(1), "x", std::chrono::milliseconds(100)).get();
    EXPECT_EQ(result.second.code, TransportCode::Unreachable) << "no message is sent before the handshake";
}

// Guards against a paused peer blocking its callers past the deadline, and against the peer not being used again.
TEST(PeerStreams, pausedPeerTimesOutAndWorksAfterResuming)
{
    std::promise<void> resume;
    std::shared_future<void> resumed = resume.get_future().share();
    PeerStreams::Settings settings;
    settings.instance = InstanceId("b");
    settings.listenAddress = peerAddress(1);
    settings.key = Key;
    PeerStreams b(settings, systemClock(), [&](const std::string &, const InstanceId &, const std::string &body) {
        if (body == "pause") {
            resumed.wait();
        }
        return "got " + body;
    });
    TransportError error;
    ASSERT_TRUE(b.start(error)) << error.reason;
    const auto a = startStreams("a", 0, Key);
    ASSERT_TRUE(send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get().first);
    auto paused = send(*a, peerAddress(1), "pause", std::chrono::milliseconds(100));
    const TransportCode code = paused.get().second.code;
    resume.set_value();
    EXPECT_EQ(code, TransportCode::Timeout) << "the peer may have handled the message";
    EXPECT_EQ(send(*a, peerAddress(1), "y", std::chrono::seconds(20)).get().first, "got y");
}

// Guards against a broken connection being reused after the peer restarted.
TEST(PeerStreams, reconnectsAfterAPeerRestarts)
{
    const auto a = startStreams("a", 0, Key);
    auto b = startStreams("b1", 1, Key);
    EXPECT_TRUE(send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get().first);
    b.reset();
    b = startStreams("b2", 1, Key);
    // The first message may be sent on the old connection before its end is noticed.
    Result result = send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get();
    if (!result.first) {
        EXPECT_EQ(result.second.code, TransportCode::Broken);
        result = send(*a, peerAddress(1), "x", std::chrono::seconds(20)).get();
    }
    EXPECT_EQ(result.first, "b2 got hint of 1 from a");
}

// Guards against messages beyond the size limit being sent, and against callers without a result at shutdown.
TEST(PeerStreams, rejectsOversizedMessagesAndFailsOpenOnesOnDestruction)
{
    TransportError error;
    const FileDescriptor silent = listenSocket(peerAddress(1), error);
    auto a = startStreams("a", 0, Key);
    const Result large = send(*a, peerAddress(1), std::string(400 * 1024, 'x'), std::chrono::seconds(20)).get();
    EXPECT_EQ(large.second.code, TransportCode::LimitExceeded);
    auto open = send(*a, peerAddress(1), "x", std::chrono::seconds(20));
    a.reset();
    EXPECT_EQ(open.get().second.code, TransportCode::Unreachable);
}

} // namespace
} // namespace coriander
