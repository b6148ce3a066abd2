#include "Soak/LoopbackProxy.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace coriander::soak {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Interval between checks whether held bytes may be forwarded. Also the minimum of a delay other than 0. */
constexpr auto HoldCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t ChunkBytes = 16 * 1024;

void closeWithReset(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/** A client connection and its connection to the target. */
class LoopbackProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(LoopbackProxy &proxy, Tcp::socket client)
        : m_proxy(&proxy)
        , m_requests{std::move(client), asio::steady_timer(proxy.m_loop), {}}
        , m_responses{Tcp::socket(proxy.m_loop), asio::steady_timer(proxy.m_loop), {}}
    {
    }

    void start(const Tcp::endpoint &target)
    {
        m_responses.source.async_connect(target, [self = shared_from_this()](boost::system::error_code code) {
            if (code) {
                self->end(false);
                return;
            }
            self->read(self->m_requests, self->m_responses);
            self->read(self->m_responses, self->m_requests);
        });
    }

    void end(bool reset)
    {
        if (m_proxy == nullptr) {
            return;
        }
        LoopbackProxy *proxy = std::exchange(m_proxy, nullptr);
        for (Flow *flow : {&m_requests, &m_responses}) {
            boost::system::error_code ignored;
            flow->timer.cancel();
            if (reset) {
                closeWithReset(flow->source);
            } else {
                flow->source.close(ignored);
            }
        }
        proxy->m_connections.erase(shared_from_this());
    }

    /** Stops forwarding in both directions for good, without closing the connection. */
    void silence()
    {
        m_silent = true;
    }

private:
    /**
     * One direction of the connection: the socket from which its bytes are read, and the chunk to be forwarded. The
     * chunk is written to the socket of the opposite direction.
     */
    struct Flow {
        Tcp::socket source;
        asio::steady_timer timer;
        std::array<char, ChunkBytes> chunk;
    };

    bool isHeld(const Flow &flow) const
    {
        const LinkFaults &faults = m_proxy->m_faults;
        return m_silent || (&flow == &m_requests ? faults.holdsRequests : faults.holdsResponses);
    }

    void read(Flow &flow, Flow &opposite)
    {
        flow.source.async_read_some(
            asio::buffer(flow.chunk),
            [self = shared_from_this(), &flow, &opposite](boost::system::error_code code, std::size_t size) {
                if (code || self->m_proxy == nullptr) {
                    self->end(false);
                    return;
                }
                self->forwardAfter(self->m_proxy->m_faults.delay, flow, opposite, size);
            });
    }

    void forwardAfter(Duration wait, Flow &flow, Flow &opposite, std::size_t size)
    {
        if (wait == Duration(0) && !isHeld(flow)) {
            write(flow, opposite, size);
            return;
        }
        flow.timer.expires_after(std::max(wait, Duration(HoldCheckInterval)));
        flow.timer.async_wait([self = shared_from_this(), &flow, &opposite, size](boost::system::error_code code) {
            if (!code && self->m_proxy != nullptr) {
                self->forwardAfter(Duration(0), flow, opposite, size);
            }
        });
    }

    void write(Flow &flow, Flow &opposite, std::size_t size)
    {
        asio::async_write(opposite.source,
                          asio::buffer(flow.chunk.data(), size),
                          [self = shared_from_this(), &flow, &opposite](boost::system::error_code code, std::size_t) {
                              if (code || self->m_proxy == nullptr) {
                                  self->end(false);
                                  return;
                              }
                              self->read(flow, opposite);
                          });
    }

    /** Null once the connection has ended. */
    LoopbackProxy *m_proxy;
    Flow m_requests;
    Flow m_responses;
    bool m_silent = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context &loop, unsigned short targetPort)
    : m_loop(loop)
    , m_acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_target(asio::ip::address_v4::loopback(), targetPort)
{
    accept();
}

LoopbackProxy::~LoopbackProxy()
{
    resetConnections();
}

unsigned short LoopbackProxy::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::string LoopbackProxy::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

void LoopbackProxy::setFaults(LinkFaults faults)
{
    m_faults = faults;
}

void LoopbackProxy::resetConnections()
{
    const std::set<std::shared_ptr<Connection>> connections = m_connections;
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->end(true);
    }
}

void LoopbackProxy::silenceConnections()
{
    for (const std::shared_ptr<Connection> &connection : m_connections) {
        connection->silence();
    }
}

void LoopbackProxy::accept()
{
    m_acceptor.async_accept(
        [this, alive = std::weak_ptr<int>(m_alive)](boost::system::error_code code, Tcp::socket socket) {
            if (!alive.lock() || code == asio::error::operation_aborted) {
                return;
            }
            if (!code) {
                const auto connection = std::make_shared<Connection>(*this, std::move(socket));
                m_connections.insert(connection);
                connection->start(m_target);
            }
            accept();
        });
}

} // namespace coriander::soak
