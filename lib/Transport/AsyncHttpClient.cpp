#include "corianderscale/Transport/AsyncHttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

#include "UriText.h"

namespace coriander {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

/** Limit on a response body, in bytes; the platform sends at most 1 MB of rows or 8 MB of an object. */
constexpr std::uint64_t MaximumResponseBytes = 12 * 1024 * 1024;

struct Call {
    HttpRequest request;
    SteadyTime deadline;
    AsyncHttpCompletion done;
};

} // namespace

class AsyncHttpClient::Implementation : public std::enable_shared_from_this<AsyncHttpClient::Implementation>
{
public:
    class Connection;

    struct Pool {
        Tcp::endpoint endpoint;
        std::vector<std::shared_ptr<Connection>> idle;
        std::size_t openConnections = 0;
        std::deque<Call> queued;
    };

    Implementation(asio::io_context &loop, Settings settings)
        : m_loop(loop)
        , m_settings(settings)
    {
    }

    void send(const std::string &address, Call call);
    void startQueued(const std::string &address);
    /** Fails the queued requests to @p address that are out of time. */
    void failExpired(const std::string &address);
    /** Calls failExpired() at @p deadline. */
    void watchQueue(const std::string &address, SteadyTime deadline);
    void closeIdle(const std::string &address);
    /** Whether one more connection may be open, possibly after an idle one is closed. */
    bool hasRoom() const;
    /** Makes room for one more connection; returns false if all connections are in use. */
    bool makeRoom();
    /** Starts requests that wait because all connections were in use. */
    void startWaiting();
    void fail(AsyncHttpCompletion done, TransportError error);

    asio::io_context &m_loop;
    Settings m_settings;
    std::map<std::string, Pool> m_pools;
    std::size_t m_openConnections = 0;
    /** Idle connections of all pools, the least recently used first. */
    std::list<std::weak_ptr<Connection>> m_idle;
    /** Addresses with requests that found no connection, in the order of their waiting. */
    std::deque<std::string> m_waiting;
};

/** One connection to an address; carries one request at a time. */
class AsyncHttpClient::Implementation::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Implementation> client, std::string address)
        : m_client(std::move(client))
        , m_address(std::move(address))
        , m_socket(m_client->m_loop)
        , m_timer(m_client->m_loop)
    {
        ++pool().openConnections;
        ++m_client->m_openConnections;
    }

    void start(Call call)
    {
        m_call = std::move(call);
        endIdle();
        m_failureCode = TransportCode::Unreachable;
        if (m_connected) {
            m_reused = true;
            startTimer(m_call.deadline);
            writeRequest();
            return;
        }
        startTimer(std::min(m_call.deadline, std::chrono::steady_clock::now() + m_client->m_settings.connectTimeout));
        m_socket.async_connect(
            pool().endpoint, [self = shared_from_this()](boost::system::error_code code) { self->onConnected(code); });
    }

    /** Closes the idle connection when the peer closes it, so that it is not reused. */
    void watchIdle()
    {
        m_idle = true;
        m_idlePosition = m_client->m_idle.insert(m_client->m_idle.end(), weak_from_this());
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code code) {
            if (code == asio::error::operation_aborted || !self->m_idle) {
                return;
            }
            self->close();
        });
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        endIdle();
        stopTimer();
        boost::system::error_code ignored;
        m_socket.close(ignored);
        Pool &own = pool();
        --own.openConnections;
        --m_client->m_openConnections;
        std::erase(own.idle, shared_from_this());
    }

private:
    void endIdle()
    {
        if (m_idle) {
            m_client->m_idle.erase(m_idlePosition);
            m_idle = false;
        }
    }

    Pool &pool()
    {
        return m_client->m_pools[m_address];
    }

    void startTimer(SteadyTime deadline)
    {
        m_timedOut = false;
        m_timer.expires_at(deadline);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code code) {
            const std::shared_ptr<Connection> self = weak.lock();
            // A wait that had ended before it could be cancelled is recognised by the later expiry.
            if (code || !self || self->m_closed || self->m_timer.expiry() > std::chrono::steady_clock::now()) {
                return;
            }
            self->m_timedOut = true;
            // cancel() would have no effect between two parts of a read or write; after close() the next part fails.
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
        });
    }

    void stopTimer()
    {
        m_timer.expires_at(SteadyTime::max());
    }

    void onConnected(boost::system::error_code code)
    {
        // After the process was stopped, the connection may be open before the timer has run.
        if (code || m_timedOut || m_call.deadline <= std::chrono::steady_clock::now()) {
            finishWithError(code);
            return;
        }
        m_connected = true;
        boost::system::error_code ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        const unsigned int milliseconds = static_cast<unsigned int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_client->m_settings.unacknowledgedTimeout).count());
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
        startTimer(m_call.deadline);
        writeRequest();
    }

    void writeRequest()
    {
        m_failureCode = TransportCode::Broken;
        const HttpRequest &request = m_call.request;
        m_message = http::request<http::string_body>();
        m_message.version(11);
        m_message.method_string(request.method);
        m_message.target(formatTarget(request));
        m_message.set(http::field::host, m_address);
        for (const auto &[name, value] : request.headers) {
            m_message.set(name, value);
        }
        m_message.body() = request.body;
        m_message.prepare_payload();
        http::async_write(
            m_socket, m_message, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                if (code) {
                    self->finishWithError(code);
                    return;
                }
                self->readResponse();
            });
    }

    void readResponse()
    {
        m_parser.emplace();
        m_parser->body_limit(MaximumResponseBytes);
        http::async_read(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                if (code) {
                    self->finishWithError(code);
                    return;
                }
                self->finish();
            });
    }

    void finish()
    {
        stopTimer();
        http::response<http::string_body> &message = m_parser->get();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &field : message) {
            response.headers.emplace(std::string(field.name_string()), std::string(field.value()));
        }
        response.body = std::move(message.body());
        const bool keep = message.keep_alive() && !m_timedOut;
        const AsyncHttpCompletion done = std::move(m_call.done);
        m_call = {};
        m_parser.reset();
        m_message = {};
        if (keep) {
            pool().idle.push_back(shared_from_this());
            watchIdle();
        } else {
            close();
        }
        m_client->startQueued(m_address);
        m_client->startWaiting();
        done(std::move(response), {});
    }

    void finishWithError(boost::system::error_code code)
    {
        const bool nothingRead = !m_parser || !m_parser->got_some();
        const bool canRetry = m_reused && nothingRead && !m_timedOut && m_call.request.method == "GET";
        Call call = std::move(m_call);
        m_call = {};
        close();
        if (canRetry) {
            m_client->send(m_address, std::move(call));
            return;
        }
        TransportError error{m_failureCode, m_address + ": " + code.message()};
        if (m_timedOut && m_failureCode == TransportCode::Broken) {
            error = {TransportCode::Timeout, m_address + ": no response in time"};
        } else if (m_timedOut) {
            error.reason = m_address + ": no connection in time";
        }
        m_client->closeIdle(m_address);
        m_client->startQueued(m_address);
        m_client->startWaiting();
        call.done(std::nullopt, error);
    }

    std::shared_ptr<Implementation> m_client;
    std::string m_address;
    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_message;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Call m_call;
    /** Error code reported if the request fails now: Unreachable before anything was sent, Broken afterwards. */
    TransportCode m_failureCode = TransportCode::Unreachable;
    bool m_connected = false;
    bool m_reused = false;
    bool m_idle = false;
    /** Position in the client's list of idle connections; valid while the connection is idle. */
    std::list<std::weak_ptr<Connection>>::iterator m_idlePosition;
    bool m_timedOut = false;
    bool m_closed = false;
};

void AsyncHttpClient::Implementation::fail(AsyncHttpCompletion done, TransportError error)
{
    asio::post(m_loop, [done = std::move(done), error = std::move(error)] { done(std::nullopt, error); });
}

void AsyncHttpClient::Implementation::send(const std::string &address, Call call)
{
    const std::optional<Tcp::endpoint> endpoint = parseAddress(address);
    if (!endpoint) {
        fail(std::move(call.done), {TransportCode::Unreachable, "expected IPv4:port, found " + address});
        return;
    }
    Pool &pool = m_pools[address];
    pool.endpoint = *endpoint;
    if (pool.queued.size() >= m_settings.maximumQueuedPerAddress) {
        fail(std::move(call.done), {TransportCode::LimitExceeded, address + ": too many requests wait"});
        return;
    }
    const SteadyTime deadline = call.deadline;
    pool.queued.push_back(std::move(call));
    startQueued(address);
    if (!pool.queued.empty()) {
        watchQueue(address, deadline);
    }
}

void AsyncHttpClient::Implementation::failExpired(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found == m_pools.end()) {
        return;
    }
    std::deque<Call> &queued = found->second.queued;
    const SteadyTime now = std::chrono::steady_clock::now();
    for (Call &call : queued) {
        if (call.deadline <= now) {
            fail(std::move(call.done), {TransportCode::Unreachable, address + ": no connection became free in time"});
        }
    }
    std::erase_if(queued, [now](const Call &call) { return call.deadline <= now; });
}

void AsyncHttpClient::Implementation::watchQueue(const std::string &address, SteadyTime deadline)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, deadline);
    timer->async_wait([weak = weak_from_this(), timer, address](boost::system::error_code code) {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (!code && self) {
            self->failExpired(address);
        }
    });
}

void AsyncHttpClient::Implementation::startQueued(const std::string &address)
{
    failExpired(address);
    Pool &pool = m_pools[address];
    while (!pool.queued.empty()) {
        std::shared_ptr<Connection> connection;
        if (!pool.idle.empty()) {
            connection = pool.idle.back();
            pool.idle.pop_back();
        } else if (pool.openConnections < m_settings.maximumConnectionsPerAddress) {
            if (!makeRoom()) {
                m_waiting.push_back(address);
                return;
            }
            connection = std::make_shared<Connection>(shared_from_this(), address);
        } else {
            return;
        }
        Call call = std::move(pool.queued.front());
        pool.queued.pop_front();
        connection->start(std::move(call));
    }
}

bool AsyncHttpClient::Implementation::hasRoom() const
{
    return m_settings.maximumConnections == 0 || m_openConnections < m_settings.maximumConnections || !m_idle.empty();
}

bool AsyncHttpClient::Implementation::makeRoom()
{
    if (m_settings.maximumConnections == 0 || m_openConnections < m_settings.maximumConnections) {
        return true;
    }
    if (m_idle.empty()) {
        return false;
    }
    if (const std::shared_ptr<Connection> oldest = m_idle.front().lock()) {
        oldest->close();
    }
    return m_openConnections < m_settings.maximumConnections;
}

void AsyncHttpClient::Implementation::startWaiting()
{
    // The requests of an address may have run out of time, so its turn may leave room for the next one.
    while (!m_waiting.empty() && hasRoom()) {
        const std::string address = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (m_pools.count(address) > 0) {
            startQueued(address);
        }
    }
}

void AsyncHttpClient::Implementation::closeIdle(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found == m_pools.end()) {
        return;
    }
    const std::vector<std::shared_ptr<Connection>> idle = found->second.idle;
    for (const std::shared_ptr<Connection> &connection : idle) {
        connection->close();
    }
    if (found->second.openConnections == 0 && found->second.queued.empty()) {
        m_pools.erase(found);
    }
}

AsyncHttpClient::AsyncHttpClient(asio::io_context &loop, Settings settings)
    : m_implementation(std::make_shared<Implementation>(loop, settings))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::send(const std::string &address, HttpRequest request, Duration limit, AsyncHttpCompletion done)
{
    m_implementation->send(address, {std::move(request), std::chrono::steady_clock::now() + limit, std::move(done)});
}

void AsyncHttpClient::closeIdle(const std::string &address)
{
    m_implementation->closeIdle(address);
}

bool AsyncHttpClient::isAddress(const std::string &address)
{
    const std::optional<Tcp::endpoint> endpoint = parseAddress(address);
    return endpoint && endpoint->port() > 0;
}

std::size_t AsyncHttpClient::connections() const
{
    return m_implementation->m_openConnections;
}

} // namespace coriander
