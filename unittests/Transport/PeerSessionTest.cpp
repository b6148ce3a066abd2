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
struct Pair {
    explicit Pair(const std::string &clientKey = Key, const std::string &serverKey = Key)
        : client({PeerSide::Client, InstanceId("c"), clientKey, MaximumBytes}, {})
        , server({PeerSide::Server, InstanceId("s"), serverKey, MaximumBytes},
                 [this](const std::string &message, const InstanceId &from, const std::string &body) {
                     handled.push_back(message + " " + from.value() + " " + std::to_string(body.size()));
                     return reply;
                 })
    {
    }

    /** Passes output between the sessions until neither has any or one of them ends the connection. */
    void exchange()
    {
        for (bool moved = true; moved;) {
            std::string there;
            std::string back;
            client.produce(there, 1 << 20);
            clientBytes += there;
            clientOpen = client.failure().code == TransportCode::None;
            serverOpen = server.receive(there) && serverOpen;
            server.produce(back, 1 << 20);
            clientOpen = client.receive(back) && clientOpen;
            moved = clientOpen && serverOpen && !(there.empty() && back.empty());
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
        exchange();
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
std::string rawRequests(const RawRequests &requests)
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
    Pair pair;
    pair.exchange();
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
    Pair pair(Key, "another key of tests");
    pair.exchange();
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
        Pair pair;
        EXPECT_FALSE(pair.server.receive(rawRequests(requests)));
        EXPECT_EQ(pair.server.failure().code, TransportCode::Unauthenticated);
        EXPECT_TRUE(pair.handled.empty());
    }
}

// Guards against a proof being valid for the other side (reflection) or for another connection (replay).
TEST(PeerHandshake, proofCoversSideAndChallenge)
{
    const PeerChallenge challenge{InstanceId("c"), InstanceId("s"), makePeerNonce(), makePeerNonce()};
    const std::string proof = peerProof(Key, PeerSide::Client, challenge);
    EXPECT_TRUE(proofsEqual(proof, peerProof(Key, PeerSide::Client, challenge)));
    EXPECT_FALSE(proofsEqual(proof, peerProof(Key, PeerSide::Server, challenge)));
    EXPECT_FALSE(proofsEqual(proof, peerProof("another key of tests", PeerSide::Client, challenge)));
    PeerChallenge other = challenge;
    other.serverNonce = makePeerNonce();
    EXPECT_FALSE(proofsEqual(proof, peerProof(Key, PeerSide::Client, other)));
}

// Guards against a peer using unlimited memory, and against a truncated reply being accepted as complete.
TEST(PeerSession, refusesOversizedMessagesAndReplies)
{
    Pair request;
    request.exchange();
    request.send("gossip", std::string(MaximumBytes + 1, 'x'));
    EXPECT_TRUE(request.handled.empty());
    EXPECT_EQ(request.result.error.code, TransportCode::LimitExceeded);
    EXPECT_TRUE(request.serverOpen) << "other messages on the connection must still work";
    request.send("gossip", "small");
    EXPECT_EQ(request.result.reply, "reply");

    Pair reply;
    reply.exchange();
    reply.reply = std::string(MaximumBytes + 1, 'x');
    reply.send("gossip", "small");
    EXPECT_EQ(reply.result.error.code, TransportCode::LimitExceeded);
}

// Guards against header fields using unlimited memory.
TEST(PeerSession, refusesOversizedHeaders)
{
    auto hello = rawRequest("/peer/hello");
    hello.emplace_back("peer-instance", std::string(6000, 'i'));
    Pair pair;
    EXPECT_FALSE(pair.server.receive(rawRequests({hello})));
    EXPECT_EQ(pair.server.failure().code, TransportCode::LimitExceeded);
}

// Guards against truncated or corrupted input reaching a handler or crashing the process.
TEST(PeerSession, survivesTruncatedAndGarbledInput)
{
    Pair whole;
    whole.exchange();
    whole.send("gossip", "text");
    for (std::size_t length = 0; length < whole.clientBytes.size(); ++length) {
        Pair cut;
        cut.server.receive(whole.clientBytes.substr(0, length));
        EXPECT_TRUE(cut.handled.empty());
        Pair garbled;
        std::string bytes = whole.clientBytes;
        bytes[length] = static_cast<char>(bytes[length] ^ 0x55);
        garbled.server.receive(bytes);
        EXPECT_TRUE(garbled.handled.empty()) << "the recorded proof must not be valid for a new challenge";
    }
}

// Guards against callers that never get a result when a connection breaks.
TEST(PeerSession, failsOpenRequestsAtItsEnd)
{
    int calls = 0;
    TransportCode code = TransportCode::None;
    {
        Pair pair;
        pair.exchange();
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
