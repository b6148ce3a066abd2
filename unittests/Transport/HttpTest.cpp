#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/HttpClient.h"
#include "corianderscale/Transport/HttpServer.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

#include "Support/TestAddress.h"

namespace coriander {
namespace {

constexpr auto CallTimeout = std::chrono::seconds(20);

class Http : public ::testing::Test
{
protected:
    Http()
        : m_clock(systemClock())
        , m_client(m_clock)
        , m_server(testAddress(0), {.maximumBodyBytes = 1000, .maximumRequests = 16, .receiveTimeoutSeconds = 1})
    {
    }

    std::optional<HttpResponse> call(const HttpRequest &request, TransportError &error)
    {
        return m_client.call(testAddress(0), request, m_clock.now() + CallTimeout, error);
    }

    Clock m_clock;
    HttpClient m_client;
    HttpServer m_server;
};

// Guards against the client or server dropping a capture, query, header or body, or decoding it twice.
TEST_F(Http, preservesAllPartsOfARequest)
{
    m_server.route(
        "PUT", "/v1/items/{key}/end", [](const HttpRequest &request, const auto &captures, const auto &respond) {
            HttpResponse response;
            response.headers["X-Seen"] = request.header("x-sent");
            response.body = captures.at(0) + "|" + request.parameter("q") + "|" + request.body;
            respond(response);
        });
    TransportError error;
    ASSERT_TRUE(m_server.start(error)) << error.reason;
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/items/one/end";
    request.query["q"] = "a b&c";
    request.headers["X-Sent"] = "yes";
    request.body = std::string("body\0!", 6);
    const auto response = call(request, error);
    ASSERT_TRUE(response) << error.reason;
    EXPECT_EQ(response->header("X-Seen"), "yes");
    EXPECT_EQ(response->body, std::string("one|a b&c|body\0!", 16));
}

// Guards against oversized bodies reaching a handler, and against unknown paths or methods getting no response.
TEST_F(Http, rejectsOversizedBodiesAndUnknownRoutes)
{
    m_server.route("POST", "/only", [](const HttpRequest &, const auto &, const auto &respond) { respond({}); });
    TransportError error;
    ASSERT_TRUE(m_server.start(error)) << error.reason;
    HttpRequest request;
    request.method = "POST";
    request.path = "/only";
    request.body.assign(2000, 'x');
    EXPECT_EQ(call(request, error)->status, 413);
    request.body.clear();
    request.path = "/other";
    EXPECT_EQ(call(request, error)->status, 404);
    request.method = "GET";
    request.path = "/only";
    EXPECT_EQ(call(request, error)->status, 405);
}

// Guards against a call blocking past its deadline when the handler never responds.
TEST_F(Http, callFailsAtItsDeadline)
{
    HttpRespond kept;
    m_server.route(
        "GET", "/never", [&kept](const HttpRequest &, const auto &, const auto &respond) { kept = respond; });
    TransportError error;
    ASSERT_TRUE(m_server.start(error)) << error.reason;
    HttpRequest request;
    request.path = "/never";
    const auto response = m_client.call(testAddress(0), request, m_clock.now() + std::chrono::milliseconds(100), error);
    EXPECT_FALSE(response);
    EXPECT_EQ(error.code, TransportCode::Timeout);
    kept({});
}

// Guards against a closed port being reported with a code that allows for the request having been sent.
TEST_F(Http, closedPortIsUnreachable)
{
    TransportError error;
    EXPECT_FALSE(call({}, error));
    EXPECT_EQ(error.code, TransportCode::Unreachable);
}

/** Sends raw bytes to the test server and returns its response, read until it closes or has sent @p expected. */
std::string exchangeRaw(const std::string &bytes, const std::string &expected)
{
    const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(testPort(0)));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval limit{20, 0};
    setsockopt(socketFd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string answer;
    if (connect(socketFd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        send(socketFd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        char buffer[1024];
        while (answer.find(expected) == std::string::npos) {
            const ssize_t count = recv(socketFd, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                break;
            }
            answer.append(buffer, static_cast<std::size_t>(count));
        }
    }
    close(socketFd);
    return answer;
}

// Guards against a client that sends only part of a body never getting a response, or blocking other clients.
TEST_F(Http, truncatedBodyTimesOutWithoutBlockingOthers)
{
    m_server.route("POST", "/only", [](const HttpRequest &, const auto &, const auto &respond) { respond({}); });
    TransportError error;
    ASSERT_TRUE(m_server.start(error)) << error.reason;
    const std::string truncated = "POST /only HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nabc";
    EXPECT_NE(exchangeRaw(truncated, " 408 ").find(" 408 "), std::string::npos);
    HttpRequest request;
    request.method = "POST";
    request.path = "/only";
    request.body = "whole";
    const auto response = call(request, error);
    ASSERT_TRUE(response) << error.reason;
    EXPECT_EQ(response->status, 200);
}

// Guards against a body of unknown length being read without limit.
TEST_F(Http, chunkedBodyIsRejected)
{
    m_server.route("POST", "/only", [](const HttpRequest &, const auto &, const auto &respond) { respond({}); });
    TransportError error;
    ASSERT_TRUE(m_server.start(error)) << error.reason;
    const std::string chunked
        = "POST /only HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    EXPECT_NE(exchangeRaw(chunked, " 411 ").find(" 411 "), std::string::npos);
}

// Guards against a full queue dropping an item silently or growing beyond its capacity.
TEST(BoundedRing, rejectsItemsWhenFullAndKeepsOrder)
{
    BoundedRing<int> ring(2);
    EXPECT_TRUE(ring.push(1));
    EXPECT_TRUE(ring.push(2));
    EXPECT_FALSE(ring.push(3));
    EXPECT_EQ(ring.pop(Duration(0)), 1);
    EXPECT_TRUE(ring.push(4));
    EXPECT_EQ(ring.pop(Duration(0)), 2);
    EXPECT_EQ(ring.pop(Duration(0)), 4);
    EXPECT_EQ(ring.pop(Duration(0)), std::nullopt);
}

} // namespace
} // namespace coriander
