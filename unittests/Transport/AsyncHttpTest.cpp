#include "corianderscale/Transport/AsyncHttpClient.h"
#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace coriander {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AsyncHttp : public ::testing::Test
{
protected:
    AsyncHttp()
        : m_server(m_loop,
                   {.headerBytes = 2000, .bodyBytes = 1000, .receiveTime = milliseconds(200), .idleTime = seconds(5)},
                   [this](const HttpRequest &request, const AsyncHttpRespond &respond) {
                       ++m_handled;
                       if (request.path == "/late") {
                           m_pending.push_back(respond);
                           return;
                       }
                       HttpResponse response;
                       response.body = request.method + "|" + request.path + "|" + request.parameter("q") + "|"
                           + request.header("x-sent") + "|" + request.body;
                       respond(response);
                   })
        , m_client(m_loop, {.connectTimeout = milliseconds(500)})
    {
        TransportError error;
        EXPECT_TRUE(m_server.listen("127.0.0.1:0", error)) << error.reason;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
    }

    /** Runs the event loop until @p done returns true; fails after 10 s. */
    void runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!done() && std::chrono::steady_clock::now() < end) {
            m_loop.run_for(milliseconds(5));
            m_loop.restart();
        }
        EXPECT_TRUE(done());
    }

    struct Result {
        bool done = false;
        std::optional<HttpResponse> response;
        TransportError error;
    };

    Result call(const HttpRequest &request, Duration limit)
    {
        Result result;
        m_client.send(address(), request, limit, [&result](const auto &response, const TransportError &error) {
            result = {true, response, error};
        });
        runUntil([&result] { return result.done; });
        return result;
    }

    /** Sends raw bytes and returns everything received until the server closes the connection. */
    std::string sendRaw(const std::string &bytes)
    {
        Tcp::socket socket(m_loop);
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), m_server.port()});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::array<char, 4096> buffer{};
        bool closed = false;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer), [&](boost::system::error_code code, std::size_t count) {
                if (code) {
                    closed = true;
                    return;
                }
                received.append(buffer.data(), count);
                read();
            });
        };
        read();
        runUntil([&closed] { return closed; });
        return received;
    }

    asio::io_context m_loop;
    std::vector<AsyncHttpRespond> m_pending;
    std::size_t m_handled = 0;
    AsyncHttpServer m_server;
    AsyncHttpClient m_client;
};

// Guards against the client or server dropping a part of a request or decoding it twice.
TEST_F(AsyncHttp, preservesAllPartsOfARequest)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/a b";
    request.query["q"] = "x&y=z";
    request.headers["X-Sent"] = "yes";
    request.body = "body";
    const Result result = call(request, seconds(5));
    ASSERT_TRUE(result.response) << result.error.reason;
    EXPECT_EQ(result.response->body, "POST|/a b|x&y=z|yes|body");
}

// Guards against a client that sends only part of a body never getting a response, or blocking other clients.
TEST_F(AsyncHttp, truncatedBodyTimesOutWithoutBlockingOthers)
{
    Tcp::socket truncatedSender(m_loop);
    truncatedSender.connect({asio::ip::make_address_v4("127.0.0.1"), m_server.port()});
    asio::write(truncatedSender,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")));
    EXPECT_TRUE(call({}, seconds(5)).response);
    const std::string answer = sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    EXPECT_NE(answer.find("408"), std::string::npos) << answer;
    EXPECT_EQ(m_server.requestsInProgress(), 0U);
}

// Guards against malformed or oversized requests being accepted, or the connection closing without a response.
TEST_F(AsyncHttp, malformedRequestsGetErrorResponses)
{
    EXPECT_NE(sendRaw("nonsense\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n").find(" 413 "), std::string::npos);
    EXPECT_NE(sendRaw("GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n").find(" 431 "), std::string::npos);
    EXPECT_EQ(m_handled, 0U);
}

// Guards against a call that never ends when the server does not respond.
TEST_F(AsyncHttp, missingResponseCausesTimeout)
{
    HttpRequest request;
    request.path = "/late";
    const Result result = call(request, milliseconds(100));
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.error.code, TransportCode::Timeout);
}

// Guards against a refused connection being reported with a code that allows for the request having been served.
TEST_F(AsyncHttp, refusedConnectionIsUnreachable)
{
    Tcp::acceptor closed(m_loop, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const unsigned short port = closed.local_endpoint().port();
    closed.close();
    Result result;
    m_client.send("127.0.0.1:" + std::to_string(port), {}, seconds(1), [&result](const auto &, const auto &error) {
        result = {true, std::nullopt, error};
    });
    runUntil([&result] { return result.done; });
    EXPECT_EQ(result.error.code, TransportCode::Unreachable);
}

// Guards against calls failing when they reuse a connection, or when the server has closed it.
TEST_F(AsyncHttp, callsSucceedOnReusedAndClosedConnections)
{
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(call({}, seconds(5)).response);
    }
    m_server.startDraining();
    EXPECT_TRUE(call({}, seconds(5)).response);
    EXPECT_TRUE(call({}, seconds(5)).response);
    EXPECT_EQ(m_handled, 7U);
}

// Guards against a request in progress that is cut off when the server closes idle connections.
TEST_F(AsyncHttp, requestInProgressSurvivesCloseIdle)
{
    HttpRequest request;
    request.path = "/late";
    Result result;
    m_client.send(address(), request, seconds(5), [&result](const auto &response, const TransportError &error) {
        result = {true, response, error};
    });
    runUntil([this] { return !m_pending.empty(); });
    m_server.closeIdle();
    m_pending.front()({});
    runUntil([&result] { return result.done; });
    EXPECT_TRUE(result.response) << result.error.reason;
}

// Guards against a call that never ends: part of the response arrives while the event loop stands still beyond the
// deadline, so that the timer expires between two reads.
TEST_F(AsyncHttp, partOfAResponseAtTheDeadlineCausesTimeout)
{
    constexpr Duration Limit = milliseconds(200);
    Tcp::acceptor acceptor(m_loop, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    Result result;
    m_client.send(address, {}, Limit, [&result](const auto &response, const TransportError &error) {
        result = {true, response, error};
    });
    m_loop.run_for(Limit / 4);
    m_loop.restart();
    ASSERT_FALSE(result.done);
    Tcp::socket peer = acceptor.accept();
    asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n" + std::string(2000, 'x')));
    std::this_thread::sleep_for(Limit);
    runUntil([&result] { return result.done; });
    EXPECT_EQ(result.error.code, TransportCode::Timeout);
    EXPECT_EQ(m_client.connections(), 0U);
}

// Guards against an owner of thousands of workers that uses up all descriptors, so that it accepts no callers.
TEST_F(AsyncHttp, connectionsToAllAddressesStayBelowTheLimit)
{
    constexpr std::size_t Limit = 3;
    AsyncHttpClient client(m_loop, {.connectTimeout = milliseconds(500), .maximumConnections = Limit});
    std::vector<std::unique_ptr<AsyncHttpServer>> servers;
    for (int i = 0; i < 8; ++i) {
        servers.push_back(std::make_unique<AsyncHttpServer>(
            m_loop, AsyncHttpLimits{}, [](const HttpRequest &, const AsyncHttpRespond &respond) { respond({}); }));
        TransportError error;
        ASSERT_TRUE(servers.back()->listen("127.0.0.1:0", error)) << error.reason;
    }
    std::size_t answered = 0;
    std::size_t failed = 0;
    for (int round = 0; round < 3; ++round) {
        for (const auto &server : servers) {
            client.send("127.0.0.1:" + std::to_string(server->port()),
                        {},
                        seconds(5),
                        [&answered, &failed](const auto &response, const TransportError &) {
                            ++(response ? answered : failed);
                        });
            EXPECT_LE(client.connections(), Limit);
        }
    }
    runUntil([&] {
        EXPECT_LE(client.connections(), Limit);
        return answered + failed == 24;
    });
    EXPECT_EQ(failed, 0U);
}

// Guards against a call that never ends: the calls that waited for a connection before it have run out of time, and no
// other call ends after that.
TEST_F(AsyncHttp, waitingCallStartsAfterOthersRanOutOfTime)
{
    AsyncHttpClient client(m_loop, {.maximumConnections = 1});
    AsyncHttpServer other(
        m_loop, AsyncHttpLimits{}, [](const HttpRequest &, const AsyncHttpRespond &respond) { respond({}); });
    TransportError error;
    ASSERT_TRUE(other.listen("127.0.0.1:0", error)) << error.reason;
    std::size_t ended = 0;
    const auto countEnd = [&ended](const auto &, const TransportError &) {
        ++ended;
    };
    HttpRequest late;
    late.path = "/late";
    client.send(address(), late, milliseconds(200), countEnd);
    const std::string unusedAddress = "127.0.0.1:9";
    client.send(unusedAddress, {}, milliseconds(100), countEnd);
    client.send(unusedAddress, {}, milliseconds(100), countEnd);
    Result result;
    client.send("127.0.0.1:" + std::to_string(other.port()),
                {},
                seconds(5),
                [&result](const auto &response, const TransportError &failure) {
                    result = {true, response, failure};
                });
    runUntil([&result] { return result.done; });
    EXPECT_TRUE(result.response) << result.error.reason;
    EXPECT_EQ(ended, 3U);
}

// Guards against a call that ends long after its time limit because no connection becomes free.
TEST_F(AsyncHttp, callThatFindsNoConnectionEndsInTime)
{
    AsyncHttpClient client(m_loop, {.maximumConnectionsPerAddress = 1});
    HttpRequest late;
    late.path = "/late";
    bool firstEnded = false;
    client.send(
        address(), late, seconds(5), [&firstEnded](const auto &, const TransportError &) { firstEnded = true; });
    Result second;
    client.send(address(), {}, milliseconds(100), [&second](const auto &response, const TransportError &error) {
        second = {true, response, error};
    });
    runUntil([&second] { return second.done; });
    EXPECT_FALSE(firstEnded);
    EXPECT_EQ(second.error.code, TransportCode::Unreachable);
}

} // namespace
} // namespace coriander
