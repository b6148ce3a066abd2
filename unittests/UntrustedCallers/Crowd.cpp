#include "UntrustedCallers/Crowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace coriander::soak {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

} // namespace

/** One connection of the crowd. */
class Crowd::Client : public std::enable_shared_from_this<Client>
{
public:
    Client(asio::io_context &loop, ClientScript script)
        : m_socket(loop)
        , m_timer(loop)
        , m_script(std::move(script))
    {
    }

    void start(unsigned short port)
    {
        const Tcp::endpoint server(asio::ip::address_v4::loopback(), port);
        m_socket.async_connect(server, [self = shared_from_this()](boost::system::error_code code) {
            if (code) {
                self->m_finished = true;
                return;
            }
            self->sendNext();
            if (self->m_script.reads) {
                self->read();
            }
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
    }

    bool hasFinishedSending() const
    {
        return m_finished;
    }

private:
    void sendNext()
    {
        if (m_sent == m_script.pieces.size()) {
            m_finished = true;
            if (m_script.closesSendingSide) {
                boost::system::error_code ignored;
                m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
            }
            return;
        }
        const std::shared_ptr<const std::string> piece = m_script.pieces[m_sent++];
        asio::async_write(m_socket,
                          asio::buffer(*piece),
                          [self = shared_from_this(), piece](boost::system::error_code code, std::size_t) {
                              if (code) {
                                  self->m_finished = true;
                                  return;
                              }
                              self->pause();
                          });
    }

    void pause()
    {
        if (m_script.pause == Duration::zero()) {
            sendNext();
            return;
        }
        m_timer.expires_after(m_script.pause);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code code) {
            if (!code) {
                self->sendNext();
            }
        });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_received),
                                 [self = shared_from_this()](boost::system::error_code code, std::size_t) {
                                     if (!code) {
                                         self->read();
                                     }
                                 });
    }

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    ClientScript m_script;
    std::size_t m_sent = 0;
    bool m_finished = false;
    std::array<char, 4096> m_received{};
};

Crowd::Crowd(asio::io_context &loop, unsigned short port, const std::vector<ClientScript> &scripts)
{
    for (const ClientScript &script : scripts) {
        m_clients.push_back(std::make_shared<Client>(loop, script));
        m_clients.back()->start(port);
    }
}

Crowd::~Crowd()
{
    for (const std::shared_ptr<Client> &client : m_clients) {
        client->close();
    }
}

bool Crowd::hasFinishedSending() const
{
    return std::all_of(m_clients.begin(), m_clients.end(), [](const std::shared_ptr<Client> &client) {
        return client->hasFinishedSending();
    });
}

} // namespace coriander::soak
