#include "corianderscale/Transport/PeerSession.h"

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <optional>
#include <vector>

namespace coriander {
namespace {

constexpr std::size_t MaximumBytes = 1000;
constexpr const char *Key = "a shared key of tests";

/** A client and a server session connected without sockets; records the bytes that the client sent. */
struct SessionPair {
    explicit SessionPair(const std::string &clientKey = Key, const std::string &serverKey = Key)
        : client({PeerSide::Client, InstanceId("c"), clientKey, MaximumBytes}, {})
        , server({PeerSide::Server, InstanceId("s"), serverKey, MaximumBytes},
                 [this](const std::string &message, const InstanceId &from, const std::string &body) {
                     handled.push_back(message + " " + from.value() + " " + std::to_string(body.size()));
                     return reply;
                 })
    {
    }

    /** Passes output between the sessions until neither has any or one of them ends the connection. */
    void transferUntilIdle()
    {
        for (bool progressed = true; progressed;) {
            std::string toServer;
            std::string toClient;
            client.produceOutput(toServer, 1 << 20);
            clientBytes += toServer;
            clientOpen = client.failure().code == TransportCode::None;
            serverOpen = server.receive(toServer) && serverOpen;
            server.produceOutput(toClient, 1 << 20);
            clientOpen = client.receive(toClient) && clientOpen;
            progressed = clientOpen && serverOpen && !(toServer.empty() && toClient.empty());
        }
    }

    struct Result {
        int calls = 0;
        std::optional<std::string> reply;
        TransportError error;
    };

    void send(const std::string &message, std::string body)
    {
        client.request(message, std::move(body), [this](std::optional<std::string> text, const TransportError &error) {
            ++result.calls;
            result.reply = std::move(text);
            result.error = error;
        });
        transferUntilIdle();
    }

    std::vector<std::string> handled;
    std::string reply = "reply";
    std::string clientBytes;
    bool clientOpen = true;
    bool serverOpen = true;
    PeerSession client;
    PeerSession server;
    Result result;
};

using RawRequest = std::vector<std::pair<std::string, std::string>>;
using RawRequests = std::vector<RawRequest>;

/** Returns the bytes of an HTTP/2 client that sends @p requests without a handshake. */
std::string encodeRawRequests(const RawRequests &requests)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session *session = nullptr;
    nghttp2_session_client_new(&session, callbacks, nullptr);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
    for (const auto &headers : requests) {
        std::vector<nghttp2_nv> list;
        for (const auto &[name, value] : headers) {
            list.push_back({const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data())),
                            const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data())),
                            name.size(),
                            value.size(),
                            NGHTTP2_NV_FLAG_NONE});
        }
        nghttp2_submit_request(session, nullptr, list.data(), list.size(), nullptr, nullptr);
    }
    std::string bytes;
    const std::uint8_t *data = nullptr;
    for (ssize_t length = 0; (length = nghttp2_session_mem_send(session, &data)) > 0;) {
        bytes.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    nghttp2_session_del(session);
    return bytes;
}

RawRequest rawRequest(const std::string &path)
{
    return {{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "peer"}};
}

// Guards against messages arriving with a wrong name, body or sender.
TEST(PeerSession, carriesMessagesAfterTheHandshake)
{
    SessionPair pair;
    pair.transferUntilIdle();
    ASSERT_TRUE(pair.client.authenticated() && pair.server.authenticated());
    pair.send("gossip", std::string(MaximumBytes, 'x'));
    EXPECT_EQ(pair.handled, std::vector<std::string>{"gossip c 1000"});
    EXPECT_EQ(pair.result.reply, "reply");
    EXPECT_EQ(pair.result.calls, 1);
    EXPECT_EQ(pair.client.openStreams(), 0U);
    EXPECT_EQ(pair.server.openStreams(), 0U);
}

// Guards against a client accepting a server that does not hold the key.
TEST(PeerSession, clientRejectsAServerWithAnotherKey)
{
    SessionPair pair(Key, "another key of tests");
    pair.transferUntilIdle();
    EXPECT_FALSE(pair.clientOpen);
    EXPECT_EQ(pair.client.failure().code, TransportCode::Unauthenticated);
    EXPECT_FALSE(pair.server.authenticated());
}

// Guards against a server handling messages of a client that has not proved that it holds the key.
TEST(PeerSession, serverRejectsAClientWithoutProof)
{
    auto hello = rawRequest("/peer/hello");
    hello.insert(hello.end(), {{"peer-instance", "c"}, {"peer-nonce", makePeerNonce()}});
    auto proof = rawRequest("/peer/prove");
    proof.emplace_back("peer-proof", std::string(64, '0'));
    const std::vector<RawRequests> cases{RawRequests{hello, proof, rawRequest("/peer/gossip")},
                                         RawRequests{rawRequest("/peer/gossip")},
                                         RawRequests{hello, rawRequest("/peer/gossip")},
                                         RawRequests{proof},
                                         RawRequests{hello, hello}};
    for (const RawRequests &requests : cases) {
        SessionPair pair;
        EXPECT_FALSE(pair.server.receive(encodeRawRequests(requests)));
        EXPECT_EQ(pair.server.failure().code, TransportCode::Unauthenticated);
        EXPECT_TRUE(pair.handled.empty());
    }
}

// Guards against a proof being valid for the other side (reflection) or for another connection (replay).
TEST(PeerHandshake, proofCoversSideAndChallenge)
{
    const PeerChallenge challenge{InstanceId("c"), InstanceId("s"), makePeerNonce(), makePeerNonce()};
    const std::string proof = computePeerProof(Key, PeerSide::Client, challenge);
    EXPECT_TRUE(equalInConstantTime(proof, computePeerProof(Key, PeerSide::Client, challenge)));
    EXPECT_FALSE(equalInConstantTime(proof, computePeerProof(Key, PeerSide::Server, challenge)));
    EXPECT_FALSE(equalInConstantTime(proof, computePeerProof("another key of tests", PeerSide::Client, challenge)));
    PeerChallenge other = challenge;
    other.serverNonce = makePeerNonce();
    EXPECT_FALSE(equalInConstantTime(proof, computePeerProof(Key, PeerSide::Client, other)));
}

// Guards against a peer using unlimited memory, and against a truncated reply being accepted as complete.
TEST(PeerSession, rejectsOversizedMessagesAndReplies)
{
    SessionPair request;
    request.transferUntilIdle();
    request.send("gossip", std::string(MaximumBytes + 1, 'x'));
    EXPECT_TRUE(request.handled.empty());
    EXPECT_EQ(request.result.error.code, TransportCode::LimitExceeded);
    EXPECT_TRUE(request.serverOpen) << "other messages on the connection must still work";
    request.send("gossip", "small");
    EXPECT_EQ(request.result.reply, "reply");

    SessionPair reply;
    reply.transferUntilIdle();
    reply.reply = std::string(MaximumBytes + 1, 'x');
    reply.send("gossip", "small");
    EXPECT_EQ(reply.result.error.code, TransportCode::LimitExceeded);
}

// Guards against header fields using unlimited memory.
TEST(PeerSession, rejectsOversizedHeaders)
{
    auto hello = rawRequest("/peer/hello");
    hello.emplace_back("peer-instance", std::string(6000, 'i'));
    SessionPair pair;
    EXPECT_FALSE(pair.server.receive(encodeRawRequests({hello})));
    EXPECT_EQ(pair.server.failure().code, TransportCode::LimitExceeded);
}

// Guards against truncated or corrupted input reaching a handler or crashing the process.
TEST(PeerSession, ignoresTruncatedAndCorruptedInput)
{
    SessionPair whole;
    whole.transferUntilIdle();
    whole.send("gossip", "text");
    for (std::size_t length = 0; length < whole.clientBytes.size(); ++length) {
        SessionPair truncated;
        truncated.server.receive(whole.clientBytes.substr(0, length));
        EXPECT_TRUE(truncated.handled.empty());
        SessionPair corrupted;
        std::string bytes = whole.clientBytes;
        bytes[length] = static_cast<char>(bytes[length] ^ 0x55);
        corrupted.server.receive(bytes);
        EXPECT_TRUE(corrupted.handled.empty()) << "the recorded proof must not be valid for a new challenge";
    }
}

// Guards against callers that never get a result when a connection breaks.
TEST(PeerSession, failsOpenRequestsOnDestruction)
{
    int calls = 0;
    TransportCode code = TransportCode::None;
    {
        SessionPair pair;
        pair.transferUntilIdle();
        pair.client.request("gossip", "text", [&](const std::optional<std::string> &, const TransportError &error) {
            ++calls;
            code = error.code;
        });
    }
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(code, TransportCode::Broken);
}

} // namespace
} // namespace coriander
