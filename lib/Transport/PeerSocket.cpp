#include "corianderscale/Transport/PeerSocket.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coriander {

namespace {

constexpr int ListenBacklog = 128;
constexpr std::size_t ReadBufferBytes = 64 * 1024;

/** TCP_USER_TIMEOUT: the kernel closes a connection whose sent data is unacknowledged for this long. */
constexpr unsigned int UnacknowledgedTimeoutMs = 10000;

/** TCP keepalive: idle time before the first probe, interval between probes, and probes before the close. */
constexpr int KeepAliveIdleSeconds = 30;
constexpr int KeepAliveIntervalSeconds = 10;
constexpr int KeepAliveProbes = 3;

using AddressInfo = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

AddressInfo parseNumericAddress(const std::string &address, TransportError &error)
{
    const std::size_t colon = address.rfind(':');
    std::string host = colon == std::string::npos ? std::string() : address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo *found = nullptr;
    if (host.empty() || getaddrinfo(host.c_str(), address.c_str() + colon + 1, &hints, &found) != 0) {
        error = {TransportCode::Unreachable, address + ": expected a numeric address and port such as 10.0.0.1:9000"};
        found = nullptr;
    }
    return AddressInfo(found, &freeaddrinfo);
}

TransportError systemError(const std::string &address, const char *action)
{
    return {TransportCode::Unreachable, address + ": " + action + ": " + std::strerror(errno)};
}

void setOption(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof value);
}

void setConnectionOptions(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(UnacknowledgedTimeoutMs));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace

FileDescriptor::~FileDescriptor()
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

FileDescriptor listenSocket(const std::string &address, TransportError &error)
{
    const AddressInfo info = parseNumericAddress(address, error);
    if (!info) {
        return FileDescriptor();
    }
    FileDescriptor listener(socket(info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!listener.valid()) {
        error = systemError(address, "no socket");
        return FileDescriptor();
    }
    setOption(listener.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(listener.get(), info->ai_addr, info->ai_addrlen) != 0 || listen(listener.get(), ListenBacklog) != 0) {
        error = systemError(address, "cannot listen");
        return FileDescriptor();
    }
    return listener;
}

FileDescriptor connectSocket(const std::string &address, TransportError &error)
{
    const AddressInfo info = parseNumericAddress(address, error);
    if (!info) {
        return FileDescriptor();
    }
    FileDescriptor connection(socket(info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!connection.valid()) {
        error = systemError(address, "no socket");
        return FileDescriptor();
    }
    setConnectionOptions(connection.get());
    if (connect(connection.get(), info->ai_addr, info->ai_addrlen) != 0 && errno != EINPROGRESS) {
        error = systemError(address, "cannot connect");
        return FileDescriptor();
    }
    return connection;
}

FileDescriptor acceptSocket(const FileDescriptor &listener)
{
    FileDescriptor connection(accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (connection.valid()) {
        setConnectionOptions(connection.get());
    }
    return connection;
}

int connectError(const FileDescriptor &socket)
{
    int result = 0;
    socklen_t length = sizeof result;
    if (getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &result, &length) != 0) {
        return errno;
    }
    return result;
}

SocketProgress readSocket(const FileDescriptor &socket, std::string &into)
{
    thread_local std::array<char, ReadBufferBytes> buffer;
    const ssize_t length = recv(socket.get(), buffer.data(), buffer.size(), 0);
    if (length > 0) {
        into.assign(buffer.data(), static_cast<std::size_t>(length));
        return SocketProgress::Done;
    }
    const bool wouldBlock = length < 0 && (errno == EAGAIN || errno == EINTR);
    return wouldBlock ? SocketProgress::WouldBlock : SocketProgress::Closed;
}

SocketProgress writeSocket(const FileDescriptor &socket, std::string &from)
{
    const ssize_t length = send(socket.get(), from.data(), from.size(), MSG_NOSIGNAL);
    if (length >= 0) {
        from.erase(0, static_cast<std::size_t>(length));
        return SocketProgress::Done;
    }
    return errno == EAGAIN || errno == EINTR ? SocketProgress::WouldBlock : SocketProgress::Closed;
}

} // namespace coriander
