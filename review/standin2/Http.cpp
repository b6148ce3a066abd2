#include "Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr unsigned short FirstPort = 20000;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

/** A loopback address of this process, so that tests that run at the same time don't take each other's ports. */
asio::ip::address_v4 ownAddress()
{
    const auto process = static_cast<unsigned>(getpid());
    return asio::ip::address_v4((127U << 24) | ((process / 250 % 250 + 1) << 16) | ((process % 250 + 1) << 8) | 1U);
}

std::string lowerCase(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

Request toRequest(const http::request<http::string_body> &message)
{
    Request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t question = target.find('?');
    request.path = decodePercent(target.substr(0, question));
    std::size_t start = question == std::string::npos ? target.size() : question + 1;
    while (start < target.size()) {
        const std::size_t end = std::min(target.find('&', start), target.size());
        const std::string pair = target.substr(start, end - start);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        request.query[decodePercent(pair.substr(0, equals))]
            = equals < pair.size() ? decodePercent(pair.substr(equals + 1)) : "";
        start = end + 1;
    }
    for (const auto &field : message) {
        request.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
    }
    request.body = message.body();
    return request;
}

void serveConnection(Tcp::socket socket, const Handler &handler)
{
    beast::flat_buffer buffer;
    boost::system::error_code code;
    socket.set_option(Tcp::no_delay(true), code);
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(16 * 1024 * 1024);
        http::read(socket, buffer, parser, code);
        if (code) {
            return;
        }
        const Response answer = handler(toRequest(parser.get()));
        if (answer.status == 0) {
            return;
        }
        http::response<http::string_body> message(static_cast<http::status>(answer.status), 11);
        message.set(http::field::content_type, "application/json");
        message.keep_alive(parser.get().keep_alive());
        message.body() = answer.body;
        message.prepare_payload();
        http::write(socket, message, code);
        if (code || !parser.get().keep_alive()) {
            return;
        }
    }
}

} // namespace

void serve(unsigned short port, Handler handler)
{
    auto loop = std::make_shared<asio::io_context>();
    const auto acceptor = std::make_shared<Tcp::acceptor>(*loop, Tcp::endpoint(ownAddress(), port), true);
    const auto shared = std::make_shared<Handler>(std::move(handler));
    std::thread([loop, acceptor, shared] {
        while (true) {
            boost::system::error_code code;
            Tcp::socket socket(*loop);
            acceptor->accept(socket, code);
            if (code) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                continue;
            }
            std::thread([loop, shared, socket = std::move(socket)]() mutable {
                try {
                    serveConnection(std::move(socket), *shared);
                } catch (const std::exception &) {
                    // The connection is closed.
                }
            }).detach();
        }
    }).detach();
}

Response call(const std::string &method,
              const std::string &address,
              const std::string &path,
              const std::map<std::string, std::string> &headers,
              const std::string &body,
              std::chrono::milliseconds limit)
{
    asio::io_context loop;
    beast::tcp_stream stream(loop);
    stream.expires_after(limit);
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(path);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> message;
    bool received = false;
    const auto ip = asio::ip::make_address_v4(address.substr(0, colon));
    stream.async_connect(Tcp::endpoint(ip, port), [&](boost::system::error_code code) {
        if (code) {
            return;
        }
        http::async_write(stream, request, [&](boost::system::error_code writeCode, std::size_t) {
            if (writeCode) {
                return;
            }
            http::async_read(stream, buffer, message, [&](boost::system::error_code readCode, std::size_t) {
                received = !readCode;
            });
        });
    });
    loop.run();
    return received ? Response{static_cast<int>(message.result_int()), message.body()} : Response{};
}

unsigned short freePort()
{
    // Below the ports of outgoing connections, and none is given twice.
    static std::atomic<unsigned short> next = FirstPort;
    asio::io_context loop;
    while (true) {
        const unsigned short port = next++;
        boost::system::error_code code;
        Tcp::acceptor acceptor(loop);
        acceptor.open(Tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(Tcp::endpoint(ownAddress(), port), code);
        if (!code) {
            return port;
        }
    }
}

std::string loopback(unsigned short port)
{
    return ownAddress().to_string() + ":" + std::to_string(port);
}

} // namespace review
