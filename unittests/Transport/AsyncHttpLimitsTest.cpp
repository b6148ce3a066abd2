#include "corianderscale/Transport/AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace coriander {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A connection that collects what the server sends. */
class RawClient : public std::enable_shared_from_this<RawClient>
{
public:
    RawClient(asio::io_context &loop, unsigned short port)
        : m_socket(loop)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self = shared_from_this()](boost::system::error_code code, std::size_t count) {
                                     if (code) {
                                         self->closed = true;
                                         return;
                                     }
                                     self->received.append(self->m_buffer.data(), count);
                                     self->read();
                                 });
    }

    std::string received;
    bool closed = false;

private:
    Tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
};

class AsyncHttpLimitsOfConnections : public ::testing::Test
{
protected:
    AsyncHttpLimitsOfConnections()
        : m_server(m_loop, {.receiveTime = seconds(30)}, [this](const HttpRequest &, const AsyncHttpRespond &respond) {
            ++m_handled;
            if (m_respondsAtOnce) {
                respond({});
                return;
            }
            m_pending.push_back(respond);
        })
    {
    }

    ~AsyncHttpLimitsOfConnections() override
    {
        respondToAll();
    }

    void listen(const decision::ConnectionLimits &limits)
    {
        m_server.setConnectionLimits(limits);
        TransportError error;
        ASSERT_TRUE(m_server.listen("127.0.0.1:0", error)) << error.reason;
    }

    std::shared_ptr<RawClient> connect(const std::string &bytes = "")
    {
        const auto client = std::make_shared<RawClient>(m_loop, m_server.port());
        client->read();
        client->send(bytes);
        return client;
    }

    void respondToAll()
    {
        for (const AsyncHttpRespond &respond : std::exchange(m_pending, {})) {
            respond({});
        }
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!done() && std::chrono::steady_clock::now() < end) {
            m_loop.run_for(milliseconds(5));
            m_loop.restart();
        }
        return done();
    }

    std::size_t refused(HttpRefusal reason) const
    {
        return m_server.refusals().at(static_cast<std::size_t>(reason));
    }

    static std::string incompleteRequest()
    {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nabc";
    }

    static std::string completeRequest()
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    asio::io_context m_loop;
    std::vector<AsyncHttpRespond> m_pending;
    std::size_t m_handled = 0;
    bool m_respondsAtOnce = false;
    AsyncHttpServer m_server;
};

// Guards against incomplete requests that hold the memory while ordinary requests are refused.
TEST_F(AsyncHttpLimitsOfConnections, oldestIncompleteRequestGivesWay)
{
    listen({.bytes = 250000});
    const auto first = connect(incompleteRequest());
    ASSERT_TRUE(runUntil([this] { return m_server.load().incompleteBytes >= 100000; }));
    const auto second = connect(incompleteRequest());
    ASSERT_TRUE(runUntil([this] { return m_server.load().incompleteBytes >= 200000; }));
    const auto third = connect(incompleteRequest());
    ASSERT_TRUE(runUntil([&first] { return first->closed; }));
    EXPECT_NE(first->received.find(" 503 "), std::string::npos) << first->received;
    EXPECT_NE(first->received.find("Retry-After: 1"), std::string::npos) << first->received;
    EXPECT_FALSE(second->closed);
    const auto ordinary = connect(completeRequest());
    ASSERT_TRUE(runUntil([this] { return m_handled == 1; }));
    respondToAll();
    EXPECT_TRUE(runUntil([&ordinary] { return ordinary->received.find(" 200 ") != std::string::npos; }));
    EXPECT_EQ(m_handled, 1U);
    EXPECT_GE(refused(HttpRefusal::IncompleteGaveWay), 1U);
}

// Guards against a body without a length that grows beyond what is counted for it.
TEST_F(AsyncHttpLimitsOfConnections, chunkedBodyIsCountedAsItGrows)
{
    listen({.bytes = 100000});
    const auto client = connect("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "2000\r\n" + std::string(0x2000, ' ') + "\r\n";
    for (int i = 0; i < 8; ++i) {
        client->send(chunk);
        m_loop.run_for(milliseconds(5));
        m_loop.restart();
        EXPECT_LE(m_server.load().bytes, 100000U);
    }
    EXPECT_TRUE(runUntil([&client] { return client->closed; }));
    EXPECT_EQ(m_handled, 0U);
    EXPECT_EQ(refused(HttpRefusal::Bytes), 1U);
}

// Guards against giving up requests that are being handled, and against running a request that was refused.
TEST_F(AsyncHttpLimitsOfConnections, handledRequestsAreKeptAndNewOnesRefused)
{
    listen({.bytes = 60000});
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 12000\r\n\r\n" + std::string(12000, ' ');
    const auto first = connect(request);
    ASSERT_TRUE(runUntil([this] { return m_handled == 1; }));
    const auto second = connect(request);
    ASSERT_TRUE(runUntil([&second] { return second->closed; }));
    EXPECT_NE(second->received.find(" 503 "), std::string::npos) << second->received;
    EXPECT_EQ(m_handled, 1U);
    respondToAll();
    EXPECT_TRUE(runUntil([&first] { return first->received.find(" 200 ") != std::string::npos; }));
    EXPECT_TRUE(runUntil([this] { return m_server.load().bytes == 0; }));
    const auto third = connect(request);
    EXPECT_TRUE(runUntil([this] { return m_handled == 2; }));
}

// Guards against silent connections that keep others out, and against closing one whose request is being handled.
TEST_F(AsyncHttpLimitsOfConnections, connectionsGiveWayOrWait)
{
    listen({.connections = 2});
    const auto silent = connect();
    const auto busy = connect(completeRequest());
    ASSERT_TRUE(runUntil([this] { return m_handled == 1; }));
    const auto next = connect(completeRequest());
    ASSERT_TRUE(runUntil([this] { return m_handled == 2; }));
    EXPECT_TRUE(runUntil([&silent] { return silent->closed; }));
    EXPECT_FALSE(busy->closed);
    // Both connections have requests that are being handled, so the next one waits.
    const auto waiting = connect(completeRequest());
    m_loop.run_for(milliseconds(50));
    m_loop.restart();
    EXPECT_EQ(m_handled, 2U);
    // Once while `silent` was recent, and once because both requests are being handled.
    EXPECT_EQ(refused(HttpRefusal::AcceptPaused), 2U);
    respondToAll();
    EXPECT_TRUE(runUntil([this] { return m_handled == 3; }));
    EXPECT_EQ(m_server.load().connections, 2U);
}

// Guards against clients that connect again at once and push out one that is about to send its request.
TEST_F(AsyncHttpLimitsOfConnections, recentConnectionIsKept)
{
    listen({.connections = 4, .newConnections = 2});
    const auto ordinary = connect();
    std::vector<std::shared_ptr<RawClient>> silent;
    for (int i = 0; i < 20; ++i) {
        silent.push_back(connect());
    }
    m_loop.run_for(milliseconds(20));
    m_loop.restart();
    ordinary->send(completeRequest());
    EXPECT_TRUE(runUntil([this] { return m_handled == 1; }));
    EXPECT_FALSE(ordinary->closed);
}

// Guards against requests that wait unread while their connections are closed as ones that sent nothing: a burst on a
// VM that is too slow to read them within the time for which a connection counts as recent.
TEST_F(AsyncHttpLimitsOfConnections, connectionsWithUnreadRequestsAreKept)
{
    constexpr std::size_t Burst = 300;
    listen({.connections = 2 * Burst, .newConnections = Burst});
    std::vector<std::shared_ptr<RawClient>> ordinary;
    for (std::size_t i = 0; i < Burst; ++i) {
        ordinary.push_back(connect());
        m_loop.poll();
        m_loop.restart();
    }
    ASSERT_TRUE(runUntil([this] { return m_server.load().connections == Burst; }));
    std::this_thread::sleep_for(milliseconds(350));
    std::vector<std::shared_ptr<RawClient>> next;
    for (std::size_t i = 0; i < 20; ++i) {
        next.push_back(connect());
    }
    for (const auto &client : ordinary) {
        client->send(completeRequest());
    }
    EXPECT_TRUE(runUntil([this] { return m_handled >= Burst; }));
    EXPECT_EQ(refused(HttpRefusal::ConnectionGaveWay), 0U);
}

// Guards against counts that stay when a connection is closed while its written response is still to be noted.
TEST_F(AsyncHttpLimitsOfConnections, pipelinedRequestsLeaveNothingCounted)
{
    listen({.bytes = 250000, .connections = 4, .newConnections = 3, .incompleteRequests = 3});
    m_respondsAtOnce = true;
    std::string pipelined;
    for (int i = 0; i < 300; ++i) {
        pipelined += completeRequest();
    }
    std::vector<std::shared_ptr<RawClient>> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(connect(pipelined));
        clients.push_back(connect(pipelined));
        m_loop.run_for(milliseconds(1));
        m_loop.restart();
    }
    for (const auto &client : clients) {
        client->close();
    }
    const auto isEmpty = [this] {
        const decision::ConnectionLoad load = m_server.load();
        return load.connections + load.bytes + load.incompleteBytes + load.incompleteRequests + load.newConnections
            + load.idleConnections + load.unreadResponses
            == 0;
    };
    EXPECT_TRUE(runUntil(isEmpty));
}

// Guards against a client that opens connections until none is left for others.
TEST_F(AsyncHttpLimitsOfConnections, connectionsOfOneAddressAreBounded)
{
    listen({.connectionsPerAddress = 1});
    const auto first = connect(completeRequest());
    ASSERT_TRUE(runUntil([this] { return m_handled == 1; }));
    const auto second = connect();
    EXPECT_TRUE(runUntil([&second] { return second->closed; }));
    EXPECT_FALSE(first->closed);
    EXPECT_EQ(refused(HttpRefusal::AddressConnections), 1U);
}

// Guards against counts that do not return to zero, so that the limits refuse ordinary clients after a while.
TEST_F(AsyncHttpLimitsOfConnections, nothingIsCountedAfterTheClientsLeft)
{
    listen({.bytes = 250000, .connections = 4, .newConnections = 3, .incompleteRequests = 3});
    std::vector<std::shared_ptr<RawClient>> clients;
    for (int i = 0; i < 20; ++i) {
        for (const std::string &bytes :
             {incompleteRequest(), completeRequest(), std::string(), std::string("x\r\n\r\n")}) {
            clients.push_back(connect(bytes));
        }
        m_loop.run_for(milliseconds(5));
        m_loop.restart();
        respondToAll();
    }
    for (const std::shared_ptr<RawClient> &client : clients) {
        client->close();
    }
    EXPECT_TRUE(runUntil([this] {
        respondToAll();
        return m_server.load().connections == 0;
    }));
    const decision::ConnectionLoad load = m_server.load();
    EXPECT_EQ(load.bytes + load.incompleteBytes, 0U);
    EXPECT_EQ(load.incompleteRequests + load.idleConnections + load.unreadResponses + load.newConnections, 0U);
}

} // namespace
} // namespace coriander
